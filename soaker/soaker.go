// Package soaker runs the real programs as separate processes on one machine
// under random faults and checks what must hold, from what callers and servers
// see. Callers, servers, the fabric and the store are stand-ins in the soak's
// own process; every link between the programs goes through it, so that links
// can be cut, delayed and made lossy, and programs are paused, killed and
// restarted by signals.
package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrymast"
)

// Options say what a soak runs.
type Options struct {
	// Program is the path of gooseberrymastd.
	Program string
	// Folder takes the logs and settings of the processes.
	Folder string
	// Network is the second octet of the loopback addresses that the soak
	// uses, so that several run side by side.
	Network byte
	// Seed draws the faults and the load.
	Seed uint64
	// Length is how long traffic lasts.
	Length time.Duration
	// Instances is the number of processes, 6 to 250; two in five are
	// balancers.
	Instances int
	// Sabotage lets the stand-ins break promises now and then, to show that the
	// checks see it.
	Sabotage bool
	// Progress is told of each fault as it begins; nil is told nothing.
	Progress func(fault Fault)
}

// The services and zones of every soak.
var (
	services = []string{"ledger", "receipts"}
	zones    = []string{"a", "b", "c"}
)

const (
	// callersPerZone and usersPerCaller give the callers of a zone and the flows
	// that each keeps.
	callersPerZone = 3
	usersPerCaller = 4
	// readyWithin bounds the wait for the first balancers.
	readyWithin = 20 * time.Second
	// lookEvery is the time between two looks at what processes use and follow.
	lookEvery = time.Second
	// tailShare is the part of the quiet end, at its end, in which requests
	// must be served.
	tailShare = 0.25
	// routeCount is the number of routes of a document.
	routeCount = 4
	// minInstances leaves each service and zone with an instance.
	minInstances, maxInstances = 6, 250
)

// soak is one run.
type soak struct {
	options   Options
	checker   *Checker
	network   *network
	store     *faultyStore
	fabric    *fabric
	starter   *starter
	instances []*instance
	callers   []*caller
	tally     tally
	// late counts the times in which the soak didn't get to run.
	late atomic.Int64

	documentMu sync.Mutex
	routes     []gooseberrymast.Route

	workMu sync.Mutex
	random *rand.Rand
}

// Run runs a soak until its length has passed or the context ends.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.Instances < minInstances || options.Instances > maxInstances {
		return Report{}, fmt.Errorf("soak: %d instances: want %d to %d", options.Instances, minInstances, maxInstances)
	}
	if shortest := firstFault + quietEnd; options.Length < shortest {
		return Report{}, fmt.Errorf("soak: length %s: want %s or more", options.Length, shortest)
	}
	s := &soak{
		options: options, checker: &Checker{}, starter: newStarter(), random: rand.New(rand.NewPCG(options.Seed, 3)),
		network: &network{byAddress: map[netip.Addr]*link{}, random: rand.New(rand.NewPCG(options.Seed, 4))},
		store: &faultyStore{
			random: rand.New(rand.NewPCG(options.Seed, 5)), faults: map[string]storeFault{}, conns: map[string][]*silentConn{},
		},
	}
	s.fabric = &fabric{network: s.network}
	defer s.close()
	if err := s.setUp(); err != nil {
		return Report{}, err
	}
	return s.run(ctx)
}

// setUp makes and starts everything but the callers.
func (s *soak) setUp() error {
	s.firstRoutes()
	if err := s.putRoutes(); err != nil {
		return err
	}
	balancers := s.options.Instances * 2 / 5
	for number := range s.options.Instances {
		role, service := gooseberrymast.RoleBalancer, ""
		if number >= balancers {
			role, service = gooseberrymast.RoleAgent, services[number%len(services)]
		}
		i, err := s.newInstance(role, number+1, zones[number%len(zones)], service)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, i)
		if role == gooseberrymast.RoleBalancer {
			s.fabric.add(i.settings, i.listens)
		}
	}
	for _, i := range s.instances {
		if err := i.process.start(); err != nil {
			return err
		}
		if i.settings.Role == gooseberrymast.RoleAgent {
			if err := s.startServer(i); err != nil {
				return err
			}
		}
	}
	return s.listenCallers()
}

func (s *soak) listenCallers() error {
	names := map[[4]byte]string{}
	for _, i := range s.instances {
		names[i.listens.IP] = i.settings.Name
	}
	for number := range callersPerZone * len(zones) {
		c := &caller{
			zone: zones[number%len(zones)], address: [4]byte{127, s.options.Network, octetCaller, byte(number + 1)},
			packets: packetsPort, fabric: s.fabric, checker: s.checker, tally: &s.tally, routes: s.currentRoutes,
			nameOf: func(address [4]byte) string { return names[address] },
		}
		if err := c.listen(); err != nil {
			return err
		}
		s.callers = append(s.callers, c)
	}
	return nil
}

// run sends traffic under the seed's faults.
func (s *soak) run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.fabric.watch(ctx)
	for began := time.Now(); s.fabric.ready() == 0; {
		wait(ctx, askEvery)
		if ctx.Err() != nil || time.Since(began) > readyWithin {
			return Report{}, fmt.Errorf("soak: no balancer was ready within %s; see %s", readyWithin, s.options.Folder)
		}
	}
	go s.look(ctx)
	go s.watchMachine(ctx)
	if s.options.Sabotage {
		go s.sabotage(ctx)
	}
	for number, c := range s.callers {
		for user := range usersPerCaller {
			random := rand.New(rand.NewPCG(s.options.Seed, uint64(100+number*usersPerCaller+user)))
			go c.run(ctx, random, user)
		}
	}
	began := time.Now()
	report := Report{Seed: s.options.Seed, Instances: len(s.instances), Seconds: s.options.Length.Seconds(), Faults: map[string]int{}}
	failed := make(chan error, 1)
	var faults sync.WaitGroup
	for _, fault := range Schedule(s.options.Seed, s.options.Length) {
		wait(ctx, time.Until(began.Add(fault.At)))
		if ctx.Err() != nil {
			break
		}
		if s.options.Progress != nil {
			s.options.Progress(fault)
		}
		report.Faults[fault.Kind]++
		faults.Add(1)
		go func() {
			defer faults.Done()
			if err := s.inject(ctx, fault); err != nil {
				select {
				case failed <- fmt.Errorf("%s at %s: %w", fault.Kind, fault.At, err):
				default:
				}
			}
		}()
	}
	tail := time.Duration(tailShare * float64(quietEnd))
	wait(ctx, time.Until(began.Add(s.options.Length-tail)))
	asked, served := s.tally.asked.Load(), s.tally.served.Load()
	wait(ctx, time.Until(began.Add(s.options.Length)))
	if ctx.Err() == nil {
		s.checker.Served(int(s.tally.served.Load()-served), int(s.tally.asked.Load()-asked), time.Now())
	} else {
		report.Interrupted = true
	}
	cancel()
	faults.Wait()
	report.finish(s)
	select {
	case err := <-failed:
		return report, err
	default:
		return report, nil
	}
}

// look watches what processes use and which document they follow.
func (s *soak) look(ctx context.Context) {
	client := http.Client{Timeout: lookEvery}
	for ctx.Err() == nil {
		for _, i := range s.instances {
			incarnation := fmt.Sprintf("%s/%d", i.settings.Name, i.process.starts.Load())
			if descriptors, mebibytes, ok := i.process.uses(); ok {
				s.checker.Uses(incarnation, descriptors, mebibytes, time.Now())
			}
			version, ok := versionOf(ctx, &client, i)
			if ok && incarnation == fmt.Sprintf("%s/%d", i.settings.Name, i.process.starts.Load()) {
				s.checker.InForce(incarnation, version, time.Now())
			}
		}
		wait(ctx, lookEvery)
	}
}

const (
	// tickEvery is how often the soak looks whether it gets its processor time.
	tickEvery = 50 * time.Millisecond
	// lateTick is the delay from which the machine was too busy for bounds of
	// time: half of the shortest time-out of the processes.
	lateTick = 300 * time.Millisecond
)

// watchMachine records the times in which the soak itself didn't get to run, in
// which no process can be held to bounds of time.
func (s *soak) watchMachine(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		wait(ctx, tickEvery)
		now := time.Now()
		if now.Sub(last) < lateTick {
			continue
		}
		s.late.Add(1)
		for _, i := range s.instances {
			s.checker.Disturb(i.settings.Name, false, last)(now)
		}
	}
}

// versionOf reads the version of the document that a process follows from its
// metrics; ok is false when it doesn't answer.
func versionOf(ctx context.Context, client *http.Client, i *instance) (version uint64, ok bool) {
	at := gooseberrymast.Endpoint{IP: i.listens.IP, Port: metricsPort}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "gooseberrymast_document_version "); found {
			number, err := strconv.ParseFloat(value, 64)
			return uint64(number), err == nil
		}
	}
	return 0, false
}

// work draws how long a server works on a request.
func (s *soak) work() time.Duration {
	s.workMu.Lock()
	defer s.workMu.Unlock()
	return shortWork + time.Duration(s.random.Int64N(int64(longWork-shortWork)))
}

// close ends every process and stand-in of the soak.
func (s *soak) close() {
	var stopping sync.WaitGroup
	for _, i := range s.instances {
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			i.process.stop(0)
		}()
	}
	stopping.Wait()
	for _, i := range s.instances {
		if server := i.currentServer(); server != nil {
			server.crash()
		}
	}
	for _, c := range s.callers {
		_ = c.conn.Close()
	}
	s.network.close()
	s.store.close()
}

// errNoFolder means that the folder for logs is missing.
var errNoFolder = errors.New("soak: a folder for logs is needed")

// Folder makes the folder of a seed's logs under a parent.
func Folder(parent string, seed uint64) (string, error) {
	if parent == "" {
		return "", errNoFolder
	}
	folder := fmt.Sprintf("%s/seed-%d", parent, seed)
	if err := os.RemoveAll(folder); err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	return folder, nil
}
