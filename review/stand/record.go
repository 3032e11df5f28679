package main

import (
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, and counts broken rules.
type recorder struct {
	mu       sync.Mutex
	file     *os.File
	began    time.Time
	breaches map[string]int
	runs     map[string]int
	// routes holds every service that a manifest has allowed for an address.
	routes map[netip.AddrPort]map[string]bool
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now(), breaches: map[string]int{}, runs: map[string]int{},
		routes: map[netip.AddrPort]map[string]bool{}}, nil
}

func (r *recorder) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// breach records that a rule was broken.
func (r *recorder) breach(rule, format string, values ...any) {
	r.line("BROKEN "+rule+": "+format, values...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches[rule]++
}

func (r *recorder) allow(address netip.AddrPort, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes[address] == nil {
		r.routes[address] = map[string]bool{}
	}
	r.routes[address][service] = true
}

func (r *recorder) allowed(address netip.AddrPort, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routes[address][service]
}

// ran records that a host began to work on a request.
func (r *recorder) ran(id string, h *host, key flowKey) {
	r.line("run: %s by %s on %s, flow %s", id, h.id, h.machine.name, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}
