//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer, as in the site file.
const storeDelay = 4 * time.Millisecond

// object is an object of the platform's store.
type object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision,omitempty"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec,omitempty"`
}

// store stands in for the platform's store: versioned objects, conditional writes, and a
// revision that a write without a change doesn't raise.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	servers  []*http.Server
}

// set writes an object as the operator does.
func (s *store) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, name, _ := strings.Cut(key, "/")
	var written object
	written.Meta.Name, written.Spec = name, value
	s.put(key, written)
}

func (s *store) put(key string, written object) object {
	if s.objects == nil {
		s.objects = map[string]object{}
	}
	if current, found := s.objects[key]; found && bytes.Equal(compact(current.Spec), compact(written.Spec)) {
		return current
	}
	s.revision++
	written.Meta.Revision = s.revision
	s.objects[key] = written
	return written
}

func compact(value json.RawMessage) []byte {
	var text bytes.Buffer
	if json.Compact(&text, value) != nil {
		return value
	}
	return text.Bytes()
}

// listen serves the store at an address of its own for one machine. While cut reports
// true, calls get no answer, and while refused does, they get 503.
func (s *store) listen(address string, cut, refused func() bool) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut() {
			for cut() && r.Context().Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			panic(http.ErrAbortHandler)
		}
		time.Sleep(storeDelay)
		if refused() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.serve(w, r)
	})}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	key, found := strings.CutPrefix(r.URL.Path, "/objects/")
	body, err := io.ReadAll(r.Body)
	if !found || err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, isObject := strings.Cut(key, "/")
	current, exists := s.objects[key]
	switch {
	case r.Method == http.MethodGet && !isObject:
		s.list(w, key+"/", r.URL.Query().Get("after"))
	case r.Method == http.MethodGet && !exists, r.Method == http.MethodDelete && !exists, r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		answer(w, http.StatusOK, current)
	case r.Method == http.MethodDelete:
		if revision := r.URL.Query().Get("revision"); revision != "" && revision != strconv.FormatUint(current.Meta.Revision, 10) {
			answer(w, http.StatusConflict, current)
			return
		}
		delete(s.objects, key)
		s.revision++
	default:
		s.write(w, r.Method == http.MethodPost, key, body)
	}
}

func (s *store) write(w http.ResponseWriter, create bool, key string, body []byte) {
	var sent object
	if json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if create {
		key += "/" + sent.Meta.Name
	}
	current, exists := s.objects[key]
	if create && exists || sent.Meta.Revision != 0 && sent.Meta.Revision != current.Meta.Revision {
		answer(w, http.StatusConflict, current)
		return
	}
	_, sent.Meta.Name, _ = strings.Cut(key, "/")
	answer(w, http.StatusOK, s.put(key, sent))
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	var names []string
	for key := range s.objects {
		if name, found := strings.CutPrefix(key, prefix); found && name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names {
		items = append(items, s.objects[prefix+name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": s.revision})
}

func answer(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
