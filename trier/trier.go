package trier

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"gooseberrymast/caller"
	"gooseberrymast/coordination/dispatcher"
)

// Options select a trial.
type Options struct {
	Deployment Deployment
	// Scenario is one of ScenarioNames.
	Scenario string
	// Length is the time for which traffic is sent.
	Length time.Duration
	// Seed is the seed of the random traffic and faults.
	Seed uint64
	// FlowsPerServer is the number of callers for each backend server; zero
	// selects the scenario's.
	FlowsPerServer int
	// Baseline selects the baseline policy instead of the product's.
	Baseline bool
	// Progress receives a line for each step; nil discards them.
	Progress io.Writer
}

// Run starts a system, sends traffic through it while the scenario changes it,
// and returns a report.
func Run(ctx context.Context, options Options) (*Report, error) {
	chosen, err := scenarioByName(options.Scenario)
	if err != nil {
		return nil, err
	}
	t := &trial{options: options, plan: chosen.plan(options), tally: &tally{}}
	if options.Baseline {
		t.policy = baseline
	}
	if options.FlowsPerServer > 0 {
		t.plan.FlowsPerServer = options.FlowsPerServer
	}
	return t.run(ctx, chosen)
}

// baseline is the policy to compare with: round robin without hand-over or
// ejection, slots open to stragglers, an unbounded queue, and retries without a
// budget.
var baseline = dispatcher.Policy{NoHandOver: true, UnboundedQueue: true, UnlimitedRetries: true, NoSlotReserve: true, NoEjection: true}

// trial is one run of a scenario.
type trial struct {
	options Options
	plan    Plan
	policy  dispatcher.Policy
	tally   *tally
	fleet   *fleet
	load    *load
	started time.Time

	balancersReplaced atomic.Int64
	serversDrained    atomic.Int64
	serversKilled     atomic.Int64
	// lossesAllowed counts the requests and streams that were in progress at
	// killed instances. It bounds the streams that are reported as lost.
	lossesAllowed atomic.Int64
	sampler       imbalanceSampler
}

func (t *trial) run(ctx context.Context, chosen scenario) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if t.fleet, err = newFleet(t.options.Deployment, t.options.Seed, t.plan, t.policy); err != nil {
		return nil, err
	}
	defer t.fleet.close()
	if err := t.fleet.start(ctx); err != nil {
		return nil, err
	}
	t.started = time.Now()
	t.makeFlows()
	defer t.closeFlows()
	if err := t.sendTraffic(ctx, chosen); err != nil {
		return nil, err
	}
	return t.report(), nil
}

// sendTraffic sends the plan's requests while the scenario makes its changes. It
// returns once the trial's length has passed and the scenario has returned.
func (t *trial) sendTraffic(ctx context.Context, chosen scenario) error {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	t.load.openFlows(sending, t.options.Deployment.Services)
	t.started = time.Now()
	changed := make(chan error, 1)
	go func() {
		defer stop()
		err := chosen.change(ctx, t)
		sleepUntil(ctx, t.started.Add(t.options.Length))
		t.sampler.stop(t.fleet)
		changed <- err
	}()
	go t.sampler.watch(sending, t.fleet)
	t.printProgress("sending traffic for %s or longer", t.options.Length)
	t.load.run(sending, t.options.Deployment.Services)
	return <-changed
}

// makeFlows creates the callers; their flows open when traffic starts.
func (t *trial) makeFlows() {
	t.load = &load{plan: t.plan, seed: t.options.Seed, tally: t.tally, flows: map[string][]*flow{}}
	total := 0
	for _, service := range t.options.Deployment.Services {
		for i := range service.Servers * t.plan.FlowsPerServer {
			f := t.newFlow(service, i)
			t.load.flows[service.Name] = append(t.load.flows[service.Name], f)
			total++
		}
	}
	t.printProgress("%d callers over %d services, %d balancers", total, len(t.options.Deployment.Services), balancerCount)
}

func (t *trial) newFlow(service DeployedService, i int) *flow {
	client := &caller.Client{
		Addresses: []netip.AddrPort{t.fleet.addresses[service.Name]},
		TLS:       &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: t.fleet.tls.roots},
		OnFlow:    func(*quic.Conn) { t.tally.increment(&t.tally.flowsOpened) },
	}
	return &flow{service: service, name: fmt.Sprintf("%s%s/%d", streamPrefix, service.Name, i), client: client}
}

func (t *trial) closeFlows() {
	for _, flows := range t.load.flows {
		for _, f := range flows {
			f.client.Close()
		}
	}
}

func (t *trial) report() *Report {
	report := &Report{
		Deployment:        t.options.Deployment.Name,
		Scenario:          t.options.Scenario,
		Policy:            "product",
		Seed:              t.options.Seed,
		BalancersReplaced: t.balancersReplaced.Load(),
		ServersDrained:    t.serversDrained.Load(),
		ServersKilled:     t.serversKilled.Load(),
		Imbalance:         t.sampler.imbalance(),
		LeavingWork:       t.fleet.leavingWork.Load(),
		Seconds:           time.Since(t.started).Seconds(),
	}
	if t.options.Baseline {
		report.Policy = "baseline"
	}
	t.tally.fillReport(report)
	t.tally.checkRuns(report, t.fleet.runCounts())
	t.fillLosses(report)
	report.PeakShare = t.peakShare()
	for _, fault := range t.tally.faults {
		t.printProgress("%s", fault)
	}
	return report
}

// fillLosses reports cut streams as lost, up to the number of requests and streams
// that were in progress at killed instances. The others remain reported as cut.
func (t *trial) fillLosses(report *Report) {
	report.StreamsLost = min(report.StreamsCut, t.lossesAllowed.Load())
	report.StreamsCut -= report.StreamsLost
	report.FlowsBroken = report.StreamsCut
}

// printProgress prints a line with the elapsed time.
func (t *trial) printProgress(format string, args ...any) {
	if t.options.Progress == nil {
		return
	}
	fmt.Fprintf(t.options.Progress, "%6.1fs  %s\n", time.Since(t.started).Seconds(), fmt.Sprintf(format, args...))
}
