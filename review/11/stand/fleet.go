package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// ports are the same on all machines.
type ports struct {
	packets, readiness, control, outbound, app, store, inner uint16
}

// machine is one machine with its process.
type machine struct {
	name, zone, role, service string
	ip                        netip.Addr
	ports                     ports
	fleet                     *fleet

	mu      sync.Mutex
	command *exec.Cmd
	log     *os.File
	ends    int
}

func (m *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *record
	store    *store
	ports    ports
	net      byte
	folder   string
	daemon   string
	settings string
	interval time.Duration
	// stableWindow is the time after which a machine is in touch again.
	stableWindow time.Duration
	// startGap is the time between the starts of two processes.
	startGap time.Duration
	zones    []string
	fronts   []*machine
	sides    []*machine
	hosts    []*host
}

func newFleet(record *record, daemon, settings string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-stand")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: record, store: newStore(), folder: folder, daemon: daemon, settings: settings, interval: 770 * time.Millisecond, stableWindow: 4 * time.Second}
	f.net = byte(30 + rand.IntN(200))
	var used []uint16
	free := func(span uint16) uint16 {
		for {
			port := uint16(20000 + rand.IntN(12000))
			ok := true
			for p := port; p < port+span; p++ {
				ok = ok && isFree(p)
				for _, other := range used {
					ok = ok && p != other
				}
			}
			if ok {
				for p := port; p < port+span; p++ {
					used = append(used, p)
				}
				return port
			}
		}
	}
	f.ports = ports{packets: free(1), readiness: free(1), control: free(1), outbound: free(1), app: free(1), store: free(1), inner: free(16)}
	return f, nil
}

func isFree(port uint16) bool {
	at := netip.AddrPortFrom(netip.IPv4Unspecified(), port)
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		return false
	}
	_ = listener.Close()
	conn, err := listenUDP(at)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (f *fleet) address(third, fourth byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.net, third, fourth})
}

func (f *fleet) addFront(zone string) *machine {
	m := &machine{name: fmt.Sprintf("front-%d", len(f.fronts)+1), zone: zone, role: "balancer", ip: f.address(1, byte(len(f.fronts)+1)), ports: f.ports, fleet: f}
	f.fronts = append(f.fronts, m)
	return m
}

// addSide adds a machine with its host.
func (f *fleet) addSide(zone, service string) (*machine, *host) {
	m := &machine{name: fmt.Sprintf("side-%d", len(f.sides)+1), zone: zone, role: "agent", service: service, ip: f.address(2, byte(len(f.sides)+1)), ports: f.ports, fleet: f}
	f.sides = append(f.sides, m)
	h := &host{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, app: m.at(f.ports.app), outbound: m.at(f.ports.outbound),
		control: m.at(f.ports.control), slots: 4, work: 30 * time.Millisecond, interval: f.interval, record: f.record,
	}
	f.hosts = append(f.hosts, h)
	return m, h
}

// listenStore opens the machine's address of the store.
func (m *machine) listenStore() error {
	listener, err := net.Listen("tcp4", m.storeAddress().String())
	if err == nil {
		go m.fleet.store.serve(listener, m.name)
	}
	return err
}

func (m *machine) storeAddress() netip.AddrPort {
	octets := m.ip.As4()
	octets[2] += 100
	return netip.AddrPortFrom(netip.AddrFrom4(octets), m.ports.store)
}

func (m *machine) settingsFile() string {
	return filepath.Join(m.fleet.folder, m.name+".conf")
}

func (m *machine) writeSettings() error {
	values := settingsValues{
		Name: m.name, Role: m.role, Zone: m.zone, Zones: m.fleet.zones, IP: m.ip.String(),
		Packets: m.at(m.ports.packets).String(), Readiness: m.at(m.ports.readiness).String(), Store: m.storeAddress().String(),
		FirstInner: m.ports.inner, LastInner: m.ports.inner + 15, StableWindowMs: m.fleet.stableWindow.Milliseconds(),
	}
	if m.service != "" {
		values.Service, values.App = m.service, m.at(m.ports.app).String()
		values.Outbound, values.Control = m.at(m.ports.outbound).String(), m.at(m.ports.control).String()
	}
	return os.WriteFile(m.settingsFile(), append(format("settings.conf", values), '\n'), 0o600)
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(m.fleet.daemon, m.role, "--settings", m.fleet.settings)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), settingsVariable() + "=" + m.settingsFile()}
	command.Stdout, command.Stderr = log, log
	// The process ends with the stand-in, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.command, m.log = command, log
	m.fleet.record.add("%s started, process %d", m.name, command.Process.Pid)
	return nil
}

// signal sends the machine's process a signal.
func (m *machine) signal(signal syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.record.add("%s to %s", signal, m.name)
	return m.command.Process.Signal(signal)
}

// wait waits for the end of the process.
func (m *machine) wait() {
	_ = m.command.Wait()
	_ = m.log.Close()
	m.fleet.record.add("%s ended: %s", m.name, m.command.ProcessState)
}

// restart stops the process as planned and starts it again.
func (m *machine) restart() error {
	if err := m.signal(syscall.SIGTERM); err != nil {
		return err
	}
	m.wait()
	return m.start()
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine(nil), f.fronts...), f.sides...)
}

// begin starts the store, all machines and all hosts.
func (f *fleet) begin() error {
	for _, m := range f.machines() {
		if err := m.listenStore(); err != nil {
			return err
		}
		if err := m.writeSettings(); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
		time.Sleep(f.startGap)
	}
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// end kills all processes and removes the folder. keep names a folder that gets the logs.
func (f *fleet) end(keep string) {
	for _, m := range f.machines() {
		if m.command != nil && m.command.ProcessState == nil {
			_ = m.command.Process.Kill()
			m.wait()
		}
		if keep != "" {
			if text, err := os.ReadFile(filepath.Join(f.folder, m.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, m.name+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(f.folder)
}

// routeOf is a route of the manifest.
type routeOf struct {
	at      netip.AddrPort
	service string
	kind    string
}

func (f *fleet) writeManifest(version uint64, routes []routeOf, services ...string) {
	values := manifestValues{Version: version, Services: services}
	for _, r := range routes {
		values.Routes = append(values.Routes, routeValues{Host: r.at.Addr().String(), Port: r.at.Port(), Service: r.service, Kind: r.kind})
	}
	f.store.write("config", "main", json.RawMessage(format("manifest.json", values)))
	f.record.add("manifest %d with %d routes", version, len(routes))
}
