package soaker

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// storeFault is how the store treats the calls of one instance.
type storeFault struct {
	// silent answers nothing, refused with 503, many with 429, reset closes.
	silent, refused, many, reset bool
	// slow delays each answer.
	slow time.Duration
	// loses is the share of writes that are done and not answered.
	loses float64
	// late is how much later a lost write is done.
	late time.Duration
}

// faultyStore is the platform's store. Each instance calls it at an address
// of its own, so that it can treat them differently.
type faultyStore struct {
	objects platform.StandinStore

	mu      sync.Mutex
	random  *rand.Rand
	faults  map[string]storeFault
	conns   map[string][]*silentConn
	servers []*http.Server
}

// serve begins to answer an instance at an address.
func (s *faultyStore) serve(instance string, at gooseberrymast.Endpoint) error {
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		return fmt.Errorf("store: listen for %s: %w", instance, err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.answer(instance, w, r) })}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(&silentListener{Listener: listener, store: s, instance: instance}) }()
	return nil
}

// set changes how an instance is treated.
func (s *faultyStore) set(instance string, fault storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[instance] = fault
}

// silence lets the open connections of an instance go silent for good, while
// new ones work.
func (s *faultyStore) silence(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns[instance] {
		conn.silence()
	}
	s.conns[instance] = nil
}

func (s *faultyStore) answer(instance string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.faults[instance]
	lost := !platform.IsReadRequest(r) && s.random.Float64() < fault.loses
	s.mu.Unlock()
	switch {
	case fault.silent:
		<-r.Context().Done()
		return
	case fault.reset:
		panic(http.ErrAbortHandler)
	case fault.refused:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault.many:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if fault.slow > 0 {
		time.Sleep(fault.slow)
	}
	if !lost {
		s.objects.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r = r.Clone(r.Context())
	r.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(fault.late, func() { s.objects.ServeHTTP(discarder{}, r) })
	<-r.Context().Done()
}

func (s *faultyStore) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// silentListener makes connections that can go silent.
type silentListener struct {
	net.Listener
	store    *faultyStore
	instance string
}

func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &silentConn{Conn: conn, silenced: make(chan struct{})}
	l.store.mu.Lock()
	l.store.conns[l.instance] = append(l.store.conns[l.instance], accepted)
	l.store.mu.Unlock()
	return accepted, nil
}

// silentConn is a connection that may stop to carry anything without a reset.
type silentConn struct {
	net.Conn
	once     sync.Once
	silenced chan struct{}
}

func (c *silentConn) silence() {
	c.once.Do(func() { close(c.silenced) })
}

// Read drops what arrives after the connection went silent, until its end.
func (c *silentConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		select {
		case <-c.silenced:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

// Write sends nothing after the connection went silent.
func (c *silentConn) Write(buffer []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(buffer), nil
	default:
		return c.Conn.Write(buffer)
	}
}

// discarder takes an answer that nobody gets.
type discarder struct{}

// Header implements http.ResponseWriter.
func (discarder) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discarder) Write(bytes []byte) (int, error) { return len(bytes), nil }

// WriteHeader implements http.ResponseWriter.
func (discarder) WriteHeader(int) {}
