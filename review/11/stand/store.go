package main

import (
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

// store is a stand-in of the platform's metadata store. Each machine has its own address
// of it, so that a case can turn single machines away.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	// turned holds the machines that the store answers with 503.
	turned map[string]bool
	// delay is the time that an answer takes.
	delay time.Duration
}

func (s *store) setDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

func (s *store) currentDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay
}

type object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]*object{}, turned: map[string]bool{}}
}

func (s *store) turn(machine string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turned[machine] = away
}

// serve answers a machine's calls until the listener is closed.
func (s *store) serve(listener net.Listener, machine string) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, machine) })}
	_ = server.Serve(listener)
}

func (s *store) handle(w http.ResponseWriter, r *http.Request, machine string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	delay := s.currentDelay()
	time.Sleep(delay / 2)
	defer time.Sleep(delay / 2)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turned[machine] {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind := parts[0]
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(parts) == 1 {
		switch r.Method {
		case http.MethodGet:
			s.list(w, kind, r.URL.Query().Get("after"))
		case http.MethodPost:
			if found := s.objects[kind][sent.Meta.Name]; found != nil {
				reply(w, http.StatusConflict, found)
				return
			}
			reply(w, http.StatusOK, s.put(kind, sent.Meta.Name, sent.Spec))
		default:
			w.WriteHeader(http.StatusMethodNotAllowed)
		}
		return
	}
	found := s.objects[kind][parts[1]]
	if found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	expected := sent.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	if expected != 0 && expected != found.Meta.Revision {
		reply(w, http.StatusConflict, found)
		return
	}
	switch r.Method {
	case http.MethodGet:
		reply(w, http.StatusOK, found)
	case http.MethodPut:
		if len(parts) == 2 && string(found.Spec) != string(sent.Spec) {
			found = s.put(kind, parts[1], sent.Spec)
		}
		reply(w, http.StatusOK, found)
	case http.MethodDelete:
		s.revision++
		delete(s.objects[kind], parts[1])
		reply(w, http.StatusOK, found)
	}
}

// put changes an object. The caller must hold mu, unless the store isn't served yet.
func (s *store) put(kind, name string, spec json.RawMessage) *object {
	s.revision++
	written := &object{Spec: spec}
	written.Meta.Name, written.Meta.Revision = name, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.objects[kind][name] = written
	return written
}

// write is a write of the operator.
func (s *store) write(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, text)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	const perPage = 500
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := struct {
		Items   []*object `json:"items"`
		HasMore bool      `json:"hasMore"`
		At      uint64    `json:"at"`
	}{Items: []*object{}, HasMore: len(names) > perPage, At: s.revision}
	for _, name := range names[:min(len(names), perPage)] {
		page.Items = append(page.Items, s.objects[kind][name])
	}
	reply(w, http.StatusOK, page)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
