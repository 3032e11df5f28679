// Package soaker runs the real programs as separate processes on one machine
// under random faults and checks the promises of the system by what callers and
// servers observe. Callers, servers, the fabric and the store are stand-ins in
// the soak's own process. All traffic between the programs passes through it, so
// that links can be cut, delayed and made lossy. Programs are paused, killed and
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

// Options configures a soak.
type Options struct {
	// Program is the path of gooseberrymastd.
	Program string
	// Folder is the directory for the logs and settings of the processes.
	Folder string
	// Network is the second octet of the soak's loopback addresses. Soaks that
	// run at the same time need different ones.
	Network byte
	// Seed seeds the random faults and load.
	Seed uint64
	// Length is the duration of the traffic.
	Length time.Duration
	// Instances is the number of processes, 6 to 250. Two in five are
	// balancers.
	Instances int
	// Sabotage makes the stand-ins break promises on purpose, to show that the
	// checker detects it.
	Sabotage bool
	// schedule replaces the faults of the seed unless it is nil.
	schedule []Fault
	// OnFault is called at the start of each fault unless it is nil.
	OnFault func(fault Fault)
}

// The services and zones of every soak.
var (
	services = []string{"ledger", "receipts"}
	zones    = []string{"a", "b", "c"}
)

const (
	// callersPerZone is the number of callers in each zone, flowsPerCaller the
	// number of flows that each uses at the same time.
	callersPerZone = 3
	flowsPerCaller = 4
	// idleStreams is the first of the random streams of idle flows.
	idleStreams = 1000
	// readyTimeout is the maximum wait for the first ready balancer.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two polls of the processes' resource use
	// and document version.
	pollInterval = time.Second
	// recoveryCheckShare is the share of the recovery window, at its end, in which
	// requests must be served again.
	recoveryCheckShare = 0.25
	// routeCount is the number of routes of the first document.
	routeCount = 4
	// minInstances ensures that each service and each zone has at least one
	// instance.
	minInstances, maxInstances = 6, 250
)

// soak is the state of one run.
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
	// lateTicks counts the times at which the soak was scheduled too late.
	lateTicks atomic.Int64

	// writeMu is held while operators write to the store, and from the store's restore
	// until they have repeated their writes. It is locked before documentMu.
	writeMu    sync.Mutex
	documentMu sync.Mutex
	// documentNumber is the number of the document published last.
	documentNumber uint64
	routes         []gooseberrymast.Route

	// workMu guards random, from which the times of work are drawn.
	workMu sync.Mutex
	random *rand.Rand
}

// Run runs a soak until its length has passed or the context ends.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.Instances < minInstances || options.Instances > maxInstances {
		return Report{}, fmt.Errorf("soak: %d instances: want %d to %d", options.Instances, minInstances, maxInstances)
	}
	if shortest := firstFaultAt + recoveryWindow; options.Length < shortest {
		return Report{}, fmt.Errorf("soak: length %s: want %s or more", options.Length, shortest)
	}
	s := &soak{
		options: options, checker: &Checker{}, starter: newStarter(), random: rand.New(rand.NewPCG(options.Seed, 3)),
		network: &network{links: map[netip.Addr]*link{}, random: rand.New(rand.NewPCG(options.Seed, 4))},
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

// setUp creates all stand-ins and starts all processes. No traffic is sent yet.
func (s *soak) setUp() error {
	s.setInitialRoutes()
	if err := s.publishDocument(); err != nil {
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
	return s.startCallers()
}

// startCallers creates the callers and opens their sockets.
func (s *soak) startCallers() error {
	names := map[[4]byte]string{}
	for _, i := range s.instances {
		names[i.listens.IP] = i.settings.Name
	}
	for number := range callersPerZone * len(zones) {
		c := &caller{
			zone: zones[number%len(zones)], address: [4]byte{127, s.options.Network, octetCaller, byte(number + 1)},
			listenPort: packetsPort, fabric: s.fabric, checker: s.checker, tally: &s.tally, routes: s.currentRoutes,
			machineAt: func(address [4]byte) string { return names[address] },
		}
		if err := c.listen(); err != nil {
			return err
		}
		s.callers = append(s.callers, c)
	}
	return nil
}

// run sends traffic and injects the faults of the seed.
func (s *soak) run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.fabric.watch(ctx)
	for began := time.Now(); s.fabric.readyCount() == 0; {
		sleep(ctx, readinessInterval)
		if ctx.Err() != nil || time.Since(began) > readyTimeout {
			return Report{}, fmt.Errorf("soak: no balancer was ready within %s; see %s", readyTimeout, s.options.Folder)
		}
	}
	go s.pollProcesses(ctx)
	go s.watchScheduling(ctx)
	if s.options.Sabotage {
		go s.sabotage(ctx)
	}
	for number, c := range s.callers {
		for flow := range flowsPerCaller {
			random := rand.New(rand.NewPCG(s.options.Seed, uint64(100+number*flowsPerCaller+flow)))
			go c.run(ctx, random, flow)
		}
		go c.runIdle(ctx, rand.New(rand.NewPCG(s.options.Seed, uint64(idleStreams+number))))
	}
	began := time.Now()
	report := Report{Seed: s.options.Seed, Instances: len(s.instances), Seconds: s.options.Length.Seconds(), Faults: map[string]int{}}
	failed := make(chan error, 1)
	var faults sync.WaitGroup
	schedule := s.options.schedule
	if schedule == nil {
		schedule = Schedule(s.options.Seed, s.options.Length)
	}
	for _, fault := range schedule {
		sleep(ctx, time.Until(began.Add(fault.At)))
		if ctx.Err() != nil {
			break
		}
		if s.options.OnFault != nil {
			s.options.OnFault(fault)
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
	checkWindow := time.Duration(recoveryCheckShare * float64(recoveryWindow))
	sleep(ctx, time.Until(began.Add(s.options.Length-checkWindow)))
	requests, served := s.tally.requests.Load(), s.tally.served.Load()
	sleep(ctx, time.Until(began.Add(s.options.Length)))
	if ctx.Err() == nil {
		s.checker.CheckRecovery(int(s.tally.served.Load()-served), int(s.tally.requests.Load()-requests), time.Now())
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

// pollProcesses checks the resource use and document version of each process
// until the context ends.
func (s *soak) pollProcesses(ctx context.Context) {
	client := http.Client{Timeout: pollInterval}
	for ctx.Err() == nil {
		for _, i := range s.instances {
			incarnation := fmt.Sprintf("%s/%d", i.settings.Name, i.process.starts.Load())
			if descriptors, mebibytes, ok := i.process.resourceUse(); ok {
				s.checker.CheckResources(incarnation, descriptors, mebibytes, time.Now())
			}
			version, ok := documentVersion(ctx, &client, i)
			if ok && incarnation == fmt.Sprintf("%s/%d", i.settings.Name, i.process.starts.Load()) {
				s.checker.CheckVersion(incarnation, version, time.Now())
			}
		}
		sleep(ctx, pollInterval)
	}
}

const (
	// tickInterval is how often the soak checks that it is scheduled in time.
	tickInterval = 50 * time.Millisecond
	// lateTickThreshold is the delay of a tick from which time limits are not
	// checked. It is half of the shortest timeout of the processes.
	lateTickThreshold = 300 * time.Millisecond
)

// watchScheduling records all machines as disturbed while the soak itself was
// scheduled too late: the processes may have been late as well, so promises that
// depend on timing are not checked.
func (s *soak) watchScheduling(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		sleep(ctx, tickInterval)
		now := time.Now()
		if now.Sub(last) < lateTickThreshold {
			continue
		}
		s.lateTicks.Add(1)
		for _, i := range s.instances {
			s.checker.BeginDisturbance(i.settings.Name, false, last)(now)
		}
	}
}

// documentVersion reads the version of the document in force from a process's
// metrics. ok is false if the process doesn't answer or doesn't report one.
func documentVersion(ctx context.Context, client *http.Client, i *instance) (version uint64, ok bool) {
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

// drawWorkTime draws the time that a server works on a request.
func (s *soak) drawWorkTime() time.Duration {
	s.workMu.Lock()
	defer s.workMu.Unlock()
	return minWorkTime + time.Duration(s.random.Int64N(int64(maxWorkTime-minWorkTime)))
}

// close ends all processes and stand-ins of the soak.
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

// errMissingFolder means that no parent directory was given for the logs.
var errMissingFolder = errors.New("soak: a folder for logs is needed")

// MakeFolder creates an empty directory for the logs of a seed and returns its path.
func MakeFolder(parent string, seed uint64) (string, error) {
	if parent == "" {
		return "", errMissingFolder
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
