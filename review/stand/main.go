// Command stand plays one case of the review: it starts the load balancer's own
// processes on loopback with the commands of the deploy file, plays the platform, the
// hosts and the requesters, and judges what these have seen.
//
//	stand CASE ROOT RECORD
//
// It exits with 1 if a rule was broken, 0 if all held, and 2 if the case couldn't run.
// TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT RECORD")
		return 2
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "stand")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	s := &scene{
		fleet:   fleet{rec: rec, root: os.Args[2], folder: folder, hosts: map[*machine]*host{}},
		rec:     rec,
		trouble: os.Getenv("TROUBLE") != "0",
	}
	defer s.fleet.killAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.fleet.killAll()
		os.Exit(2)
	}()
	if err := s.begin(); err != nil {
		rec.line("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if err := cases[os.Args[1]](s); err != nil {
		rec.line("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.line("short requests beside: %d sent, %d answered", s.sent.Load(), s.answered.Load())
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.file, "broken rules: %v\n", rec.breaches)
	fmt.Println("broken rules:", rec.breaches)
	if len(rec.breaches) > 0 {
		return 1
	}
	return 0
}

// scene is a small deployment with two zones and two services.
type scene struct {
	fleet   fleet
	rec     *recorder
	trouble bool

	requesters []*requester
	// watch and slip are the addresses of the routes to the services ledger and receipts.
	// shared is that of a route that leads to receipts, and to ledger at times.
	watch, slip, shared netip.AddrPort
	idleTimeout         time.Duration
	sent, answered      atomic.Int64
}

// manifest writes config/main as the operator does.
func (s *scene) manifest(version int, shared ...string) {
	s.rec.line("operator: manifest %d, route %s leads to %v", version, s.shared, shared)
	values := manifestValues{Version: version, IdleMs: s.idleTimeout.Milliseconds(), Routes: []routeValues{
		{s.watch, "idempotent", []string{"ledger"}}, {s.slip, "download", []string{"receipts"}}, {s.shared, "idempotent", shared},
	}}
	for _, route := range values.Routes {
		for _, service := range route.Services {
			s.rec.allow(route.Address, service)
		}
	}
	s.fleet.store.set("config/main", format("manifest.json", values))
}

// begin starts the platform, the machines and the hosts, and waits until all fronts
// are in rotation.
func (s *scene) begin() error {
	if err := s.chooseAddresses(); err != nil {
		return err
	}
	f := &s.fleet
	f.store = &store{rec: s.rec, objects: map[string]object{}, refused: map[netip.AddrPort]bool{}, revision: 100}
	s.watch, s.slip, s.shared = f.addr(5, 1, portDatagram), f.addr(5, 2, portDatagram), f.addr(5, 3, portDatagram)
	s.idleTimeout = 15 * time.Second // as in the example of the pages
	if limit := idleTimeouts[os.Args[1]]; limit > 0 {
		s.idleTimeout = limit
	}
	s.manifest(7, "receipts")
	number := byte(0)
	for _, zone := range []string{"dixie-a", "dixie-b"} {
		for _, service := range []string{"", "ledger", "ledger", "receipts"} {
			number++
			class := "side"
			if service == "" {
				class = "front"
			}
			m := f.newMachine(class, zone, service, number)
			if err := f.store.start(m.storeAddr); err != nil {
				return err
			}
			if err := f.add(m); err != nil {
				return err
			}
			if class == "side" {
				h, err := startHost(s.rec, m, service)
				if err != nil {
					return err
				}
				f.hosts[m] = h
			}
		}
	}
	go f.checkReadiness()
	ready := func() bool {
		for _, m := range f.list("front") {
			if !m.isInUse() {
				return false
			}
		}
		return true
	}
	if !waitFor(20*time.Second, ready) {
		return fmt.Errorf("the fronts are not ready")
	}
	for i, zone := range []string{"dixie-a", "dixie-b"} {
		r, err := newRequester(f, zone, byte(i+1))
		if err != nil {
			return err
		}
		s.requesters = append(s.requesters, r)
	}
	time.Sleep(2 * time.Second)
	go s.shortRequests()
	return nil
}

// chooseAddresses looks for a loopback network and ports that are free.
func (s *scene) chooseAddresses() error {
	for range 50 {
		s.fleet.net = byte(20 + rand.IntN(200))
		s.fleet.port = uint16(20000 + 16*rand.IntN(600))
		free := true
		for port := range uint16(portPeersLast + 1) {
			at := s.fleet.addr(1, 1, port)
			listener, err := net.Listen("tcp4", at.String())
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// shortRequests opens flows for one request each, all the while.
func (s *scene) shortRequests() {
	for i := 0; ; i++ {
		time.Sleep(25 * time.Millisecond)
		r, to := s.requesters[i%2], s.watch
		if i%4 > 1 {
			to = s.slip
		}
		go func() {
			s.sent.Add(1)
			flow := r.open(to)
			if flow == nil {
				return
			}
			if result, _ := r.request(flow, fmt.Sprintf("short-%d", i), 3*time.Second); result == answered {
				s.answered.Add(1)
			}
			r.finish(flow)
		}()
	}
}

// longFlow is a flow that stays open between its requests.
type longFlow struct {
	requester *requester
	*clientFlow
	host *host
}

// openLong opens flows and sends one request on each.
func (s *scene) openLong(to netip.AddrPort, count int) ([]*longFlow, error) {
	var flows []*longFlow
	for i := range count {
		r := s.requesters[i%2]
		flow := r.open(to)
		if flow == nil {
			continue
		}
		id := fmt.Sprintf("long-%d-first", flow.key.src.Port())
		if result, _ := r.request(flow, id, 3*time.Second); result != answered {
			s.rec.line("request %s on %s: %s", id, flow.key, result)
			continue
		}
		found := &longFlow{requester: r, clientFlow: flow}
		for _, h := range s.fleet.hosts {
			if h.holds(flow.key) {
				found.host = h
			}
		}
		if found.host != nil {
			s.rec.line("flow %s is open at host %s on %s", flow.key, found.host.id, found.host.machine.name)
			flows = append(flows, found)
		}
	}
	if len(flows) < count/2 {
		return nil, fmt.Errorf("only %d of %d flows opened", len(flows), count)
	}
	return flows, nil
}

// useAgain sends the next request on each flow and judges resets by the rule FLOW.
func (s *scene) useAgain(flows []*longFlow) {
	var wait sync.WaitGroup
	for _, flow := range flows {
		wait.Add(1)
		go func() {
			defer wait.Done()
			idle, age := time.Since(flow.lastUsed), time.Since(flow.opened)
			id := fmt.Sprintf("long-%d-second", flow.key.src.Port())
			result, got := flow.requester.request(flow.clientFlow, id, 3*time.Second)
			s.rec.line("request %s on %s, idle for %.1f s, open for %.1f s: %s", id, flow.key, idle.Seconds(), age.Seconds(), result)
			inWindow := got.seq-flow.received+76800 <= 2*76800
			if result == reset && inWindow && flow.host.holds(flow.key) && idle < s.idleTimeout && age < flowMax {
				s.rec.breach("FLOW", "open flow %s is reset while host %s on %s holds it", flow.key, flow.host.id, flow.host.machine.name)
			}
		}()
	}
	wait.Wait()
}

// flowMax is flowMaxS of the settings.
const flowMax = 60 * time.Second
