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
	// Scenario is one of Scenarios.
	Scenario string
	// Length is the time for which traffic is sent.
	Length time.Duration
	// Seed feeds the traffic and the faults.
	Seed uint64
	// FlowsPerServer is the number of callers for each backend server; zero
	// takes the scenario's.
	FlowsPerServer int
	// Baseline runs the plain policy instead of the product's.
	Baseline bool
	// Progress takes one line for each step; nil is silent.
	Progress io.Writer
}

// Run makes a system, sends traffic through it while the scenario changes it,
// and reports.
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

// baseline is round robin without hand-over, an unbounded queue and retries
// without a budget.
var baseline = dispatcher.Policy{NoHandOver: true, UnboundedQueue: true, UnlimitedRetries: true, NoSlotReserve: true, NoEjection: true}

// trial is one run.
type trial struct {
	options Options
	plan    Plan
	policy  dispatcher.Policy
	tally   *tally
	fleet   *fleet
	load    *load
	begun   time.Time

	balancersReplaced atomic.Int64
	serversDrained    atomic.Int64
	serversKilled     atomic.Int64
	// lossesAllowed counts the streams whose own instance was killed.
	lossesAllowed atomic.Int64
	balance       balance
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
	t.begun = time.Now()
	t.makeFlows()
	defer t.closeFlows()
	if err := t.traffic(ctx, chosen); err != nil {
		return nil, err
	}
	return t.report(), nil
}

// traffic sends the plan's requests while the scenario acts, until both the
// trial's length has passed and the scenario has ended.
func (t *trial) traffic(ctx context.Context, chosen scenario) error {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	t.load.open(sending, t.options.Deployment.Services)
	t.begun = time.Now()
	acted := make(chan error, 1)
	go func() {
		defer stop()
		err := chosen.act(ctx, t)
		sleepUntil(ctx, t.begun.Add(t.options.Length))
		t.balance.stop(t.fleet)
		acted <- err
	}()
	go t.balance.watch(sending, t.fleet)
	t.say("sending traffic for %s or longer", t.options.Length)
	t.load.run(sending, t.options.Deployment.Services)
	return <-acted
}

// makeFlows makes the callers.
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
	t.say("%d callers over %d services, %d balancers", total, len(t.options.Deployment.Services), balancers)
}

func (t *trial) newFlow(service DeployedService, i int) *flow {
	client := &caller.Client{
		Addresses: []netip.AddrPort{t.fleet.addresses[service.Name]},
		TLS:       &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: t.fleet.tls.roots},
		OnFlow:    func(*quic.Conn) { t.tally.count(&t.tally.flowsOpened) },
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
		Imbalance:         t.balance.imbalance(),
		LeavingWork:       t.fleet.leavingWork.Load(),
		Seconds:           time.Since(t.begun).Seconds(),
	}
	if t.options.Baseline {
		report.Policy = "baseline"
	}
	t.tally.fill(report)
	t.tally.check(report, t.fleet.truth())
	t.fillLosses(report)
	report.CrestShare = t.crestShare()
	for _, fault := range t.tally.faults {
		t.say("%s", fault)
	}
	return report
}

// fillLosses tells the streams that ended with their own killed instance from
// those that were cut though it lived.
func (t *trial) fillLosses(report *Report) {
	report.StreamsLost = min(report.StreamsCut, t.lossesAllowed.Load())
	report.StreamsCut -= report.StreamsLost
	report.FlowsBroken = report.StreamsCut
}

func (t *trial) say(format string, args ...any) {
	if t.options.Progress == nil {
		return
	}
	fmt.Fprintf(t.options.Progress, "%6.1fs  %s\n", time.Since(t.begun).Seconds(), fmt.Sprintf(format, args...))
}
