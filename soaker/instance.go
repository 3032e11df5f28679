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

// The ports of every instance. They are the same for all, since each instance
// has its own addresses.
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
	octetListen = iota + 1
	octetAdvertised
	octetCaller
)

// instance is one machine: its program and, for an agent, its backend server.
type instance struct {
	settings gooseberrymast.InstanceSettings
	listens  gooseberrymast.Endpoint
	folder   string
	process  *process

	mu     sync.Mutex
	server *server
	// serverIncarnations counts the incarnations of the server.
	serverIncarnations int
	// ended are the last announcements of the server's earlier incarnations.
	ended []gooseberrymast.Announcement
	// faultMu is held while a fault acts on the program or server, so that
	// overlapping faults act on an instance one after another.
	faultMu sync.Mutex
}

// newInstance creates the instance with the given number, counted from 1, and
// writes its settings files.
func (s *soak) newInstance(role gooseberrymast.Role, number int, zone, service string) (*instance, error) {
	at := func(octet byte, port uint16) gooseberrymast.Endpoint {
		return gooseberrymast.Endpoint{IP: [4]byte{127, s.options.Network, octet, byte(number)}, Port: port}
	}
	i := &instance{
		listens: at(octetListen, peersPort),
		settings: gooseberrymast.InstanceSettings{
			Name: fmt.Sprintf("%s-%d", role, number), Role: role, Zone: zone, Service: service,
			Peers: at(octetAdvertised, peersPort), Packets: at(octetListen, packetsPort), Outbound: at(octetListen, outboundPort),
			Readiness: at(octetListen, readinessPort), Announcements: at(octetListen, announcementsPort),
			Server: at(octetListen, serverPort), Store: at(octetListen, storePort),
			AnnounceInterval: announceInterval, StopWithin: stopGrace, Places: placesSettings(),
		},
	}
	name := i.settings.Name
	i.folder = filepath.Join(s.options.Folder, name)
	if err := os.MkdirAll(i.folder, 0o755); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	text := fmt.Sprintf("log-rate = %d\nlog-burst = %d\nmetrics-port = %d\npeers-listen = %q\n", logRate, logRate, metricsPort, i.listens)
	settingsPath := filepath.Join(i.folder, "settings.toml")
	if err := os.WriteFile(settingsPath, []byte(text), 0o644); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	if err := i.writeSettings(); err != nil {
		return nil, err
	}
	if err := s.network.attach(name, zone, i.listens, i.settings.Peers); err != nil {
		return nil, err
	}
	for _, port := range []uint16{storePort, otherStorePort} {
		if err := s.store.listen(name, at(octetListen, port)); err != nil {
			return nil, err
		}
	}
	i.process = &process{
		name: name, program: s.options.Program, starter: s.starter,
		arguments:   []string{role.String(), "--settings", settingsPath},
		environment: append(os.Environ(), platform.SettingsVariable+"="+i.settingsFile()),
		logPath:     filepath.Join(i.folder, "log"),
		onExit:      func(how string) { s.checker.RecordExit(name, how, time.Now()) },
	}
	return i, nil
}

const (
	// stopGrace is the time between SIGTERM and SIGKILL.
	stopGrace = 6 * time.Second
	// logRate is the limit of log lines a second for one event. It is high enough
	// to log every flow of a soak.
	logRate = 500
)

func (i *instance) settingsFile() string {
	return filepath.Join(i.folder, "platform.conf")
}

// writeSettings replaces the platform's settings file atomically.
func (i *instance) writeSettings() error {
	temporary := i.settingsFile() + ".new"
	if err := os.WriteFile(temporary, platform.FormatSettings(i.settings), 0o644); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	if err := os.Rename(temporary, i.settingsFile()); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return nil
}

// startServer starts the next incarnation of the instance's server.
func (s *soak) startServer(i *instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.serverIncarnations++
	if i.server != nil {
		i.ended = append(i.ended, i.server.announcement(), i.server.announcement())
	}
	started, err := startServer(i.settings, i.serverIncarnations, s.checker, s.drawWorkTime, s.options.Sabotage)
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

// rewriteSettings writes the platform's settings file and, if sendSignal is set,
// sends SIGHUP to the program.
func (i *instance) rewriteSettings(sendSignal bool) error {
	if err := i.writeSettings(); err != nil {
		return err
	}
	if sendSignal {
		i.process.signal(syscall.SIGHUP)
	}
	return nil
}
