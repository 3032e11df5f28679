package soaker

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// The ports of every instance. Each has addresses of its own.
const (
	peersPort         = 17720
	packetsPort       = 18172
	outboundPort      = 18173
	readinessPort     = 18167
	announcementsPort = 18166
	serverPort        = 18080
	storePort         = 18169
	otherStorePort    = 18170
	metricsPort       = 19464
)

// The third octets of the loopback addresses of a soak.
const (
	octetReal = iota + 1
	octetAdvertised
	octetCaller
)

// instance is one machine with its program and, at an agent, its server.
type instance struct {
	settings gooseberrymast.InstanceSettings
	listens  gooseberrymast.Endpoint
	folder   string
	process  *process

	mu     sync.Mutex
	server *server
	// servers counts the server's incarnations.
	servers int
	// busy is held while a fault works on the instance's program or server, so
	// that faults that overlap on it come one after the other.
	busy sync.Mutex
}

// newInstance lays out the instance with a number from 1 and writes its files.
func (s *soak) newInstance(role gooseberrymast.Role, number int, zone, service string) (*instance, error) {
	at := func(octet byte, port uint16) gooseberrymast.Endpoint {
		return gooseberrymast.Endpoint{IP: [4]byte{127, s.options.Network, octet, byte(number)}, Port: port}
	}
	i := &instance{
		listens: at(octetReal, peersPort),
		settings: gooseberrymast.InstanceSettings{
			Name: fmt.Sprintf("%s-%d", role, number), Role: role, Zone: zone, Service: service,
			Peers: at(octetAdvertised, peersPort), Packets: at(octetReal, packetsPort), Outbound: at(octetReal, outboundPort),
			Readiness: at(octetReal, readinessPort), Announcements: at(octetReal, announcementsPort),
			Server: at(octetReal, serverPort), Store: at(octetReal, storePort),
			AnnounceInterval: announceEvery, StopWithin: graceful,
		},
	}
	name := i.settings.Name
	i.folder = filepath.Join(s.options.Folder, name)
	if err := os.MkdirAll(i.folder, 0o755); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	own := fmt.Sprintf("log-rate = %d\nlog-burst = %d\nmetrics-port = %d\npeers-listen = %q\n", logRate, logRate, metricsPort, i.listens)
	ownFile := filepath.Join(i.folder, "settings.toml")
	if err := os.WriteFile(ownFile, []byte(own), 0o644); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	if err := i.writeSettings(); err != nil {
		return nil, err
	}
	if err := s.network.attach(name, i.listens, i.settings.Peers); err != nil {
		return nil, err
	}
	for _, port := range []uint16{storePort, otherStorePort} {
		if err := s.store.serve(name, at(octetReal, port)); err != nil {
			return nil, err
		}
	}
	i.process = &process{
		name: name, program: s.options.Program, starter: s.starter,
		arguments:   []string{role.String(), "--settings", ownFile},
		environment: append(os.Environ(), platform.SettingsVariable+"="+i.settingsFile()),
		log:         filepath.Join(i.folder, "log"),
		ended:       func(how string) { s.checker.Exited(name, how, time.Now()) },
	}
	return i, nil
}

const (
	// graceful is the time from the request to stop to the kill.
	graceful = 6 * time.Second
	// logRate is the number of log lines a second of one event: enough to follow
	// each flow of a soak.
	logRate = 500
)

func (i *instance) settingsFile() string {
	return filepath.Join(i.folder, "platform.conf")
}

// writeSettings writes the platform's settings file in one step.
func (i *instance) writeSettings() error {
	written := i.settingsFile() + ".new"
	if err := os.WriteFile(written, platform.FormatSettings(i.settings), 0o644); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	if err := os.Rename(written, i.settingsFile()); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return nil
}

// startServer starts the next incarnation of the instance's server.
func (s *soak) startServer(i *instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.servers++
	started, err := startServer(i.settings, i.servers, s.checker, s.work, s.options.Sabotage)
	if err != nil {
		return err
	}
	i.server = started
	return nil
}

func (i *instance) currentServer() *server {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.server
}

// hangup writes the settings and, with a signal, says so.
func (i *instance) hangup(signalled bool) error {
	if err := i.writeSettings(); err != nil {
		return err
	}
	if signalled {
		i.process.signal(syscall.SIGHUP)
	}
	return nil
}
