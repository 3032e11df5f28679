//go:build review

package main

import (
	_ "embed" // For the forms of the platform's texts.
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// Ports are the same on all machines; each machine has addresses of its own.
const (
	peersPort     = 17720
	packetsPort   = 18172
	outboundPort  = 18173
	readinessPort = 18167
	controlPort   = 18166
	appPort       = 18080
	storePort     = 18169
)

// The third byte of a loopback address says whose it is.
const (
	netListen = iota + 1
	netPeers
	netCallers
)

const (
	// crossZone is the delay of a packet between zones, as in the site file.
	crossZone = 3900 * time.Microsecond
	// stableWindow is the time without a disturbance after which a machine is in touch.
	stableWindow = 4 * time.Second
	// restartDelay is the time until the platform starts an ended process again.
	restartDelay = 600 * time.Millisecond
	grace        = 6 * time.Second
)

// nodeSettings are the settings of a small deployment beside those of the machine itself.
//
//go:embed node.conf
var nodeSettings string

// machine is a machine with one process of the load balancer and, for an agent, a host.
type machine struct {
	settings gooseberrymast.InstanceSettings
	listens  gooseberrymast.Endpoint
	host     *host
	folder   string
	link     *net.UDPConn

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// cutNear is set while the machine is cut off from the store and from all machines of
	// other zones.
	cutNear bool
	// refused is set while the store turns the machine away.
	refused bool
	// disturbed is when the machine was last started, stopped, cut off or turned away.
	disturbed time.Time
}

// world is one play of a case.
type world struct {
	network  byte
	folder   string
	program  string
	record   *os.File
	started  time.Time
	store    store
	mu       sync.Mutex
	machines []*machine
	byListen map[netip.Addr]*machine
	misses   map[*machine]int
	holders  map[gooseberrymast.FlowKey]*host
	lastVia  map[gooseberrymast.FlowKey]*machine
	broken   []string
	runs     int
	sent     int
	answered int
	resets   int
	ending   bool
	// planned is set if the case does only planned work, under which the rule FLOW always
	// counts.
	planned bool
}

func newWorld(program, record string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		folder: folder, program: program, record: file, started: time.Now(),
		byListen: map[netip.Addr]*machine{}, misses: map[*machine]int{},
		holders: map[gooseberrymast.FlowKey]*host{}, lastVia: map[gooseberrymast.FlowKey]*machine{},
	}
	// A network whose first address is free.
	for range 50 {
		w.network = byte(64 + rand.IntN(180))
		probe, err := net.Listen("tcp4", w.at(netListen, 1, storePort).String())
		if err == nil {
			return w, probe.Close()
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (w *world) at(kind, number byte, port uint16) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{127, w.network, kind, number}, Port: port}
}

// log writes a line of the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// add adds a machine. Its process isn't started yet.
func (w *world) add(role gooseberrymast.Role, zone, service string) (*machine, error) {
	number := byte(len(w.machines) + 1)
	at := func(kind byte, port uint16) gooseberrymast.Endpoint { return w.at(kind, number, port) }
	m := &machine{
		listens: at(netListen, peersPort),
		settings: gooseberrymast.InstanceSettings{
			Name: fmt.Sprintf("%s-%s-%d", role, zone, number), Role: role, Zone: zone, Service: service,
			Peers: at(netPeers, peersPort), Packets: at(netListen, packetsPort), Outbound: at(netListen, outboundPort),
			Readiness: at(netListen, readinessPort), Announcements: at(netListen, controlPort), Server: at(netListen, appPort),
			Store: at(netListen, storePort), AnnounceInterval: heartbeat, StopWithin: grace,
		},
	}
	m.folder = filepath.Join(w.folder, m.settings.Name)
	if err := os.MkdirAll(m.folder, 0o755); err != nil {
		return nil, err
	}
	own, err := os.ReadFile("deploy/gooseberrymastd.toml")
	if err != nil {
		return nil, err
	}
	own = fmt.Appendf(own, "\npeers-listen = %q\n", m.listens)
	if err := os.WriteFile(filepath.Join(m.folder, "own.toml"), own, 0o644); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(m.folder, "node.conf"), append(platform.FormatSettings(m.settings), nodeSettings...), 0o644); err != nil {
		return nil, err
	}
	if m.link, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.settings.Peers.AddrPort())); err != nil {
		return nil, err
	}
	if err := w.store.listen(m.settings.Store.String(), m.isCut, m.isRefused); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.machines = append(w.machines, m)
	w.byListen[m.listens.AddrPort().Addr()] = m
	w.misses[m] = 2
	w.mu.Unlock()
	go w.forward(m)
	return m, nil
}

// forward hands a machine the datagrams of its peers.
func (w *world) forward(to *machine) {
	buffer := make([]byte, 4096)
	for {
		n, from, err := to.link.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		w.mu.Lock()
		sender := w.byListen[from.Addr().Unmap()]
		w.mu.Unlock()
		if sender == nil {
			continue
		}
		other := sender.settings.Zone != to.settings.Zone
		if other && (sender.isCut() || to.isCut()) {
			continue
		}
		datagram := append([]byte(nil), buffer[:n]...)
		deliver := func() { _, _ = sender.link.WriteToUDPAddrPort(datagram, to.listens.AddrPort()) }
		if other {
			time.AfterFunc(crossZone, deliver)
		} else {
			deliver()
		}
	}
}

func (m *machine) isCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cutNear
}

func (m *machine) isRefused() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused
}

// refuse lets the store turn a machine away, or serve it again.
func (w *world) refuse(m *machine, on bool) {
	m.mu.Lock()
	m.refused, m.disturbed = on, time.Now()
	m.mu.Unlock()
	w.log("TROUBLE the store answers %s with 503: %t", m.settings.Name, on)
}

func (m *machine) disturb() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturbed = time.Now()
}

// inTouch reports whether nothing was done to a machine within the stable window.
func (m *machine) inTouch(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.cutNear && !m.refused && now.Sub(m.disturbed) > stableWindow
}

// cut cuts a machine off from the store and from all machines of other zones.
func (w *world) cut(m *machine, on bool) {
	m.mu.Lock()
	m.cutNear, m.disturbed = on, time.Now()
	m.mu.Unlock()
	if on {
		w.log("TROUBLE %s is cut off from the store and from the machines of other zones", m.settings.Name)
	} else {
		w.log("TROUBLE the cut of %s ends", m.settings.Name)
	}
}

// start starts the process of a machine. The platform starts it again when it ends.
func (w *world) start(m *machine) error {
	output, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(w.program, m.settings.Role.String(), "--settings", filepath.Join(m.folder, "own.toml"))
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+filepath.Join(m.folder, "node.conf"))
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.command, m.done, m.disturbed = command, done, time.Now()
	m.mu.Unlock()
	w.log("%s starts", m.settings.Name)
	go func() {
		_ = command.Wait()
		close(done)
		m.disturb()
		w.log("%s has ended", m.settings.Name)
		w.mu.Lock()
		ending := w.ending
		w.mu.Unlock()
		if ending {
			return
		}
		time.Sleep(restartDelay)
		if err := w.start(m); err != nil {
			w.log("%s can't be started: %v", m.settings.Name, err)
		}
	}()
	return nil
}

// terminate sends the process of a machine SIGTERM, as a planned stop does.
func (w *world) terminate(m *machine) {
	m.mu.Lock()
	m.disturbed = time.Now()
	_ = m.command.Process.Signal(syscall.SIGTERM)
	m.mu.Unlock()
	w.log("planned: %s gets SIGTERM", m.settings.Name)
}

// close ends all processes that were started.
func (w *world) close() {
	w.mu.Lock()
	w.ending = true
	machines := append([]*machine(nil), w.machines...)
	w.mu.Unlock()
	for _, m := range machines {
		m.mu.Lock()
		command, done := m.command, m.done
		m.mu.Unlock()
		if command != nil {
			_ = command.Process.Kill()
			<-done
		}
		if m.host != nil {
			m.host.stop()
		}
		_ = m.link.Close()
	}
	w.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", w.folder)
	}
}

// watch asks a balancer twice a second whether it is ready, as the platform does.
func (w *world) watch(m *machine) {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for {
		response, err := client.Get("http://" + m.settings.Readiness.String() + "/readyz")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		w.mu.Lock()
		before := w.misses[m]
		if ready {
			w.misses[m] = 0
		} else {
			w.misses[m]++
		}
		after, ending := w.misses[m], w.ending
		w.mu.Unlock()
		if (before < 2) != (after < 2) {
			w.log("routers: %s in rotation: %t", m.settings.Name, after < 2)
		}
		if ending {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// route returns the balancer that the routers choose for a packet of a caller.
func (w *world) route(zone string, key gooseberrymast.FlowKey) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all, ready, others []*machine
	for _, m := range w.machines {
		if m.settings.Role != gooseberrymast.RoleBalancer {
			continue
		}
		inRotation := w.misses[m] < 2
		switch {
		case m.settings.Zone != zone && inRotation:
			others = append(others, m)
		case m.settings.Zone == zone:
			all = append(all, m)
			if inRotation {
				ready = append(ready, m)
			}
		}
	}
	switch {
	case len(ready) == 0 && len(others) > 0:
		ready = others
	case 2*len(ready) < len(all):
		ready = all
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[key.Hash()%uint64(len(ready))]
}

// opened records that a host has the end of a flow's handshake.
func (w *world) opened(key gooseberrymast.FlowKey, h *host) {
	w.mu.Lock()
	w.holders[key] = h
	w.mu.Unlock()
	w.log("open    %s at %s", key, h.machine.settings.Name)
}

// closed records that a flow's caller has closed it.
func (w *world) closed(key gooseberrymast.FlowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.holders, key)
}

// ran records that a host began to work on a request.
func (w *world) ran(id string, key gooseberrymast.FlowKey, h *host) {
	w.mu.Lock()
	w.runs++
	w.mu.Unlock()
	w.log("run     %s on %s at %s", id, key, h.machine.settings.Name)
}

// judgeReset applies the rule FLOW (a) to a reset that a caller got.
func (w *world) judgeReset(key gooseberrymast.FlowKey, from netip.Addr) {
	now := time.Now()
	w.mu.Lock()
	sender, holder, taker := w.byListen[from.Unmap()], w.holders[key], w.lastVia[key]
	w.resets++
	w.mu.Unlock()
	if holder == nil || sender == nil || taker == nil || !holder.holds(key) {
		w.log("reset   %s, which is not open, by %s", key, nameOf(sender))
		return
	}
	age := now.Sub(holder.born).Seconds()
	touch := sender.inTouch(now) && taker.inTouch(now) && holder.machine.inTouch(now) && now.Sub(holder.born) > stableWindow
	line := fmt.Sprintf("reset   %s, OPEN at %s (host alive, %.1f s old), its last packet taken by %s, reset by %s, all three in touch: %t",
		key, holder.machine.settings.Name, age, taker.settings.Name, sender.settings.Name, touch)
	w.log("%s", line)
	if touch || w.planned {
		w.mu.Lock()
		w.broken = append(w.broken, line)
		w.mu.Unlock()
	}
}

func nameOf(m *machine) string {
	if m == nil {
		return "?"
	}
	return m.settings.Name
}
