package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	pingInterval = 1200 * time.Millisecond
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
	// readyInterval is the time between two readiness checks; after two misses a front
	// is out of rotation.
	readyInterval = 500 * time.Millisecond
)

// machine is one machine with the settings of its process.
type machine struct {
	name, class, zone, service                             string
	ip                                                     netip.Addr
	datagram, readiness, control, outbound, app, storeAddr netip.AddrPort
	settingsFile, logFile                                  string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	stopped bool // ended by this program
	misses  int
	inUse   bool // in rotation
}

// fleet is the platform with all of its machines.
type fleet struct {
	rec    *recorder
	root   string
	folder string
	net    byte // second octet of all addresses
	port   uint16
	store  *store

	mu       sync.Mutex
	machines []*machine
	hosts    map[*machine]*host
}

func (f *fleet) addr(group, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.net, group, number}), f.port+port)
}

// Offsets of the ports that all machines of a run use.
const (
	portDatagram = iota
	portReadiness
	portControl
	portOutbound
	portApp
	portStore
	portPeers
	portPeersLast
)

// newMachine describes a machine; number is unique within its class.
func (f *fleet) newMachine(class, zone, service string, number byte) *machine {
	group := byte(1)
	if class == "side" {
		group = 2
	}
	m := &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, number), class: class, zone: zone, service: service}
	m.datagram, m.readiness = f.addr(group, number, portDatagram), f.addr(group, number, portReadiness)
	m.control, m.outbound = f.addr(group, number, portControl), f.addr(group, number, portOutbound)
	m.app, m.storeAddr, m.ip = f.addr(group, number, portApp), f.addr(3, number, portStore), m.datagram.Addr()
	return m
}

func (f *fleet) add(m *machine) error {
	f.mu.Lock()
	f.machines = append(f.machines, m)
	label := fmt.Sprintf("%s.%d", m.name, len(f.machines))
	f.mu.Unlock()
	m.settingsFile = filepath.Join(f.folder, label+".conf")
	m.logFile = filepath.Join(f.folder, label+".log")
	settings := format("settings.conf", settingsValues{
		Name: m.name, Role: f.role(m), Class: m.class, Zone: m.zone, Service: m.service, IP: m.ip, Datagram: m.datagram,
		Readiness: m.readiness, Control: m.control, Outbound: m.outbound, App: m.app, Store: m.storeAddr,
		FirstPort: f.port + portPeers, LastPort: f.port + portPeersLast, PingMs: pingInterval.Milliseconds(),
	})
	if err := os.WriteFile(m.settingsFile, settings, 0o600); err != nil {
		return err
	}
	return f.start(m)
}

func (f *fleet) role(m *machine) string {
	if m.class == "front" {
		return "balancer"
	}
	return "agent"
}

// start starts the machine's process with the command of the deploy file. A process that
// ends by itself is started again.
func (f *fleet) start(m *machine) error {
	log, err := os.OpenFile(m.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/gooseberrymastd", f.role(m), "--settings", "deploy/gooseberrymastd.toml")
	command.Dir, command.Stdout, command.Stderr = f.root, log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		settingsVariable() + "=" + m.settingsFile}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited, m.stopped = command, exited, false
	m.mu.Unlock()
	f.rec.line("%s: process %d starts", m.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		close(exited)
		m.mu.Lock()
		stopped := m.stopped
		m.mu.Unlock()
		if stopped {
			f.rec.line("%s: process %d has ended", m.name, command.Process.Pid)
			return
		}
		f.rec.line("%s: process %d has ended by itself: %v", m.name, command.Process.Pid, err)
		time.Sleep(restartDelay)
		_ = f.start(m)
	}()
	return nil
}

// terminate sends SIGTERM, and SIGKILL after the grace period, and waits for the end.
func (f *fleet) terminate(m *machine) {
	m.mu.Lock()
	command, exited := m.command, m.exited
	m.stopped = true
	m.mu.Unlock()
	f.rec.line("%s: SIGTERM", m.name)
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		f.rec.line("%s: SIGKILL", m.name)
		_ = command.Process.Kill()
		<-exited
	}
}

// rollStep is the time between two steps of a roll, the shortest of the site file.
const rollStep = 1200 * time.Millisecond

// roll stops and starts machines in turn. A front is in rotation again before the next
// one is stopped.
func (f *fleet) roll(machines []*machine) error {
	for _, m := range machines {
		began := time.Now()
		f.terminate(m)
		time.Sleep(restartDelay)
		if err := f.start(m); err != nil {
			return err
		}
		if m.class == "front" && !waitFor(10*time.Second, m.isInUse) {
			return fmt.Errorf("%s is not ready after its restart", m.name)
		}
		time.Sleep(rollStep - time.Since(began))
	}
	return nil
}

func (f *fleet) list(class string) []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*machine
	for _, m := range f.machines {
		if m.class == class {
			found = append(found, m)
		}
	}
	return found
}

// remove takes a machine away whose process has ended.
func (f *fleet) remove(gone *machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.machines {
		if m == gone {
			f.machines = append(f.machines[:i:i], f.machines[i+1:]...)
			return
		}
	}
}

func (f *fleet) killAll() {
	f.mu.Lock()
	machines := append([]*machine(nil), f.machines...)
	f.mu.Unlock()
	for _, m := range machines {
		m.mu.Lock()
		m.stopped = true
		if m.command != nil {
			_ = m.command.Process.Kill()
		}
		exited := m.exited
		m.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
}

// isRunning reports whether the machine's process runs.
func (m *machine) isRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

func (m *machine) isInUse() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inUse
}

// checkReadiness checks the fronts as the platform's routers do.
func (f *fleet) checkReadiness() {
	client := http.Client{Timeout: readyInterval}
	for {
		for _, m := range f.list("front") {
			go func() {
				ready := false
				response, err := client.Get("http://" + m.readiness.String() + "/readyz")
				if err == nil {
					ready = response.StatusCode == http.StatusOK
					_ = response.Body.Close()
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				was := m.inUse
				if ready {
					m.misses, m.inUse = 0, true
				} else if m.misses++; m.misses >= 2 {
					m.inUse = false
				}
				if was != m.inUse {
					f.rec.line("%s: in rotation %v", m.name, m.inUse)
				}
			}()
		}
		time.Sleep(readyInterval)
	}
}

var errNoFront = errors.New("no front")

// route returns the front that a requester's packet goes to: one in rotation in the
// requester's zone, else one of the other zone, by a hash modulo their number.
func (f *fleet) route(zone string, hash uint32) (*machine, error) {
	fronts := f.list("front")
	var near, far []*machine
	for _, m := range fronts {
		switch {
		case !m.isInUse():
		case m.zone == zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil, errNoFront
	}
	return near[hash%uint32(len(near))], nil
}

func waitFor(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}
