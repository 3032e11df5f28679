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

// storeFault describes how the store handles the calls of one instance.
type storeFault struct {
	// With silent a call gets no answer, with unavailable status 503, with
	// rateLimited status 429, and with reset its connection is closed.
	silent, unavailable, rateLimited, reset bool
	// With refusesWrites writes get status 503.
	refusesWrites bool
	// delay is added before each answer.
	delay time.Duration
	// lossShare is the share of writes that are applied but never answered, and
	// removalLossShare the share of removals.
	lossShare, removalLossShare float64
	// lossDelay is the time after which such a write is applied.
	lossDelay time.Duration
}

// faultyStore is the platform's store with injected faults. Each instance has
// its own store addresses, so that faults can be set per instance.
type faultyStore struct {
	objects platform.StandinStore
	// restoreMu is held by a restore from its copy to the last repeated write.
	restoreMu sync.Mutex

	mu      sync.Mutex
	random  *rand.Rand
	faults  map[string]storeFault
	conns   map[string][]*silentConn
	servers []*http.Server
}

// listen starts to serve an instance at an address.
func (s *faultyStore) listen(instance string, at gooseberrymast.Endpoint) error {
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

// setFault sets the fault for an instance's calls. The zero value clears it.
func (s *faultyStore) setFault(instance string, fault storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[instance] = fault
}

// silence makes the open connections of an instance go silent for good. New
// connections work.
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
	lossShare := fault.lossShare
	if r.Method == http.MethodDelete {
		lossShare = max(lossShare, fault.removalLossShare)
	}
	lost := !platform.IsReadRequest(r) && s.random.Float64() < lossShare
	s.mu.Unlock()
	switch {
	case fault.silent:
		<-r.Context().Done()
		return
	case fault.reset:
		panic(http.ErrAbortHandler)
	case fault.unavailable, fault.refusesWrites && !platform.IsReadRequest(r):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault.rateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if fault.delay > 0 {
		time.Sleep(fault.delay)
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
	time.AfterFunc(fault.lossDelay, func() { s.objects.ServeHTTP(discardResponseWriter{}, r) })
	<-r.Context().Done()
}

func (s *faultyStore) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// silentListener accepts connections that can be silenced.
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

// silentConn is a connection that can stop carrying data without a reset, as if
// the network dropped every segment.
type silentConn struct {
	net.Conn
	once     sync.Once
	silenced chan struct{}
}

func (c *silentConn) silence() {
	c.once.Do(func() { close(c.silenced) })
}

// Read drops data that arrives after the connection was silenced and returns
// once the connection is closed.
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

// Write pretends to succeed after the connection was silenced.
func (c *silentConn) Write(buffer []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(buffer), nil
	default:
		return c.Conn.Write(buffer)
	}
}

// discardResponseWriter discards the answer to a lost write.
type discardResponseWriter struct{}

// Header implements http.ResponseWriter.
func (discardResponseWriter) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discardResponseWriter) Write(bytes []byte) (int, error) { return len(bytes), nil }

// WriteHeader implements http.ResponseWriter.
func (discardResponseWriter) WriteHeader(int) {}
