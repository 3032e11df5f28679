package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers,omitempty"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

// store is a stand-in of the platform's store.
type store struct {
	rec *recorder

	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	// lateDelete, if set, is the key whose next DELETE gets no response and is executed
	// after lateBy if its condition still holds.
	lateDelete string
	lateBy     time.Duration
	// refused holds the addresses whose calls are refused. Each machine has an address
	// of the store of its own.
	refused map[netip.AddrPort]bool
}

// start serves the store at the address that one machine has for it.
func (s *store) start(at netip.AddrPort) error {
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			refused := s.refused[at]
			s.mu.Unlock()
			if refused {
				reply(w, http.StatusServiceUnavailable, struct{}{})
				return
			}
			s.ServeHTTP(w, r)
		}))
	}()
	return nil
}

// refuse refuses the calls of one machine, or serves them again.
func (s *store) refuse(m *machine, refuse bool) {
	s.rec.line("store: refuses the calls of %s with 503: %v", m.name, refuse)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[m.storeAddr] = refuse
}

// set writes an object as the operator does.
func (s *store) set(key string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, name, _ := strings.Cut(key, "/")
	written := s.objects[key]
	written.Meta.Name, written.Spec = name, spec
	s.put(key, written)
}

func (s *store) put(key string, written object) object {
	s.revision++
	written.Meta.Revision = s.revision
	if written.Meta.Created == 0 {
		written.Meta.Created = time.Now().UnixMilli()
	}
	s.objects[key] = written
	return written
}

func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[key]
	return ok
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	if r.Method == http.MethodDelete && key == s.lateDelete {
		s.lateDelete = ""
		s.mu.Unlock()
		s.rec.line("store: DELETE %s?%s gets no response; it is executed %v later", key, r.URL.RawQuery, s.lateBy)
		query := r.URL.Query().Get("revision")
		time.AfterFunc(s.lateBy, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			status, _ := s.remove(key, query)
			s.rec.line("store: the late DELETE %s is executed: %d", key, status)
		})
		<-r.Context().Done()
		return
	}
	defer s.mu.Unlock()
	_, name, one := strings.Cut(key, "/")
	switch {
	case r.Method == http.MethodGet && !one:
		s.list(w, key+"/")
	case r.Method == http.MethodGet:
		found, exists := s.objects[key]
		if !exists {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		reply(w, http.StatusOK, found)
	case r.Method == http.MethodDelete:
		status, found := s.remove(key, r.URL.Query().Get("revision"))
		s.rec.line("store: DELETE %s: %d", key, status)
		reply(w, status, found)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		var sent object
		if json.Unmarshal(body, &sent) != nil {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		if r.Method == http.MethodPost {
			name = sent.Meta.Name
			key += "/" + name
		}
		status, found := s.write(r.Method == http.MethodPost, key, name, sent)
		s.rec.line("store: %s %s: %d", r.Method, key, status)
		reply(w, status, found)
	}
}

func (s *store) list(w http.ResponseWriter, prefix string) {
	var page struct {
		Items   []object `json:"items"`
		HasMore bool     `json:"hasMore"`
		At      uint64   `json:"at"`
	}
	page.Items, page.At = []object{}, s.revision
	var keys []string
	for key := range s.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		page.Items = append(page.Items, s.objects[key])
	}
	reply(w, http.StatusOK, page)
}

func (s *store) remove(key, revision string) (int, any) {
	found, exists := s.objects[key]
	switch {
	case !exists:
		return http.StatusNotFound, struct{}{}
	case revision != "" && revision != strconv.FormatUint(found.Meta.Revision, 10):
		return http.StatusConflict, found
	}
	delete(s.objects, key)
	s.revision++
	return http.StatusOK, found
}

func (s *store) write(create bool, key, name string, sent object) (int, any) {
	found, exists := s.objects[key]
	switch {
	case create && exists:
		return http.StatusConflict, found
	case !create && !exists:
		return http.StatusNotFound, struct{}{}
	case !create && sent.Meta.Revision != 0 && sent.Meta.Revision != found.Meta.Revision:
		return http.StatusConflict, found
	case exists && string(found.Spec) == string(sent.Spec):
		return http.StatusOK, found
	}
	found.Meta.Name, found.Spec = name, sent.Spec
	return http.StatusOK, s.put(key, found)
}
