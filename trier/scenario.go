package trier

import (
	"context"
	"fmt"
	"strings"
	"time"

	"gooseberrymast/standin/backend"
	"gooseberrymast/standin/fabric"
	"gooseberrymast/standin/platform"
)

// scenario combines traffic with the changes to the system during it.
type scenario struct {
	name string
	// plan returns the traffic.
	plan func(Options) Plan
	// change makes the changes. Traffic continues until it returns.
	change func(ctx context.Context, t *trial) error
}

// DefaultScenario replaces every balancer and drains every backend server.
const DefaultScenario = "restart"

func scenarios() []scenario {
	return []scenario{
		{DefaultScenario, steady, restartAll},
		{"drain", steady, drainAll},
		{"steady", steady, noChange},
		{"crest", peakLoad, noChange},
		{"crest-restart", peakLoad, restartAll},
		{"stragglers", stragglers, noChange},
		{"no-stragglers", noStragglers, noChange},
		{"faults", steady, injectFaults},
		{"imbalance", reopeningFlows, restartAll},
	}
}

// ScenarioNames returns the names of the scenarios.
func ScenarioNames() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

func scenarioByName(name string) (scenario, error) {
	for _, s := range scenarios() {
		if s.name == name {
			return s, nil
		}
	}
	return scenario{}, fmt.Errorf("scenario %q: want one of %s", name, strings.Join(ScenarioNames(), ", "))
}

func noChange(context.Context, *trial) error {
	return nil
}

// restartAll replaces each balancer once and drains each backend server once.
func restartAll(ctx context.Context, t *trial) error {
	replaced := make(chan error, 1)
	go func() { replaced <- t.replaceBalancers(ctx) }()
	err := drainAll(ctx, t)
	if failed := <-replaced; err == nil {
		err = failed
	}
	return err
}

// drainAll drains each backend server once: the services in parallel, the
// servers of a service in turn.
func drainAll(ctx context.Context, t *trial) error {
	services := t.options.Deployment.Services
	drained := make(chan error, len(services))
	for _, service := range services {
		go func() { drained <- t.drainService(ctx, service) }()
	}
	var first error
	for range services {
		if err := <-drained; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (t *trial) replaceBalancers(ctx context.Context) error {
	pause := t.options.Length / (balancerCount + 1)
	for i := range balancerCount {
		if !sleepUntil(ctx, t.started.Add(pause*time.Duration(i+1))) {
			return ctx.Err()
		}
		if err := t.fleet.replaceBalancer(ctx, i); err != nil {
			return err
		}
		t.balancersReplaced.Add(1)
		t.printProgress("balancer %d replaced", i)
	}
	return nil
}

func (t *trial) drainService(ctx context.Context, service DeployedService) error {
	for _, s := range t.fleet.serversOf(service.Name) {
		if err := t.fleet.drain(ctx, s); err != nil {
			return err
		}
		t.serversDrained.Add(1)
		t.printProgress("backend server %s drained and replaced", s.name)
	}
	return nil
}

// serversOf returns the servers of a service.
func (f *fleet) serversOf(service string) []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []*server
	for _, s := range f.servers {
		if s.service.Name == service {
			servers = append(servers, s)
		}
	}
	return servers
}

// fabricFaults are the packet faults in the faults scenario.
var fabricFaults = fabric.Faults{
	Drop:      0.01,
	Duplicate: 0.01,
	Reorder:   0.05,
	ReorderBy: 5 * time.Millisecond,
	Delay:     3 * time.Millisecond,
}

// zeroLoad is the false load that a backend server reports in the faults scenario.
var zeroLoad int

// injectFaults makes the fabric lossy, the store unavailable, and backend servers
// report wrong load and health or fail, then kills a balancer and an instance of
// each service abruptly.
func injectFaults(ctx context.Context, t *trial) error {
	f := t.fleet
	step := t.options.Length / 8
	faults := []struct {
		name   string
		inject func() error
	}{
		{"the fabric loses, delays, repeats and reorders packets", func() error { f.fabric.SetFaults(fabricFaults); return nil }},
		{"the store is down", func() error { f.platform.SetFaults(platform.Faults{Down: true}); return nil }},
		{"a backend server lies about its load", func() error {
			f.firstServer(0).backend.SetReportedLoad(&zeroLoad)
			return nil
		}},
		{"a healthy backend server says that it is ill", func() error { f.firstServer(0).backend.SetHealthy(false); return nil }},
		{"a backend server fails every request", func() error { f.serversOf(f.firstService())[1].backend.SetMode(backend.ModeFail); return nil }},
		{"a balancer is killed", func() error { return f.killBalancer(ctx, 0) }},
		{"an instance of each service is killed", func() error { return t.killOnePerService(ctx) }},
	}
	for i, fault := range faults {
		if !sleepUntil(ctx, t.started.Add(step*time.Duration(i+1))) {
			return ctx.Err()
		}
		t.printProgress("%s", fault.name)
		if err := fault.inject(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) firstService() string {
	return f.deployment.Services[0].Name
}

// firstServer returns the first server of the i-th service.
func (f *fleet) firstServer(i int) *server {
	return f.serversOf(f.deployment.Services[i].Name)[0]
}

// killOnePerService kills the last instance of each service and starts another in
// its place.
func (t *trial) killOnePerService(ctx context.Context) error {
	for _, service := range t.options.Deployment.Services {
		servers := t.fleet.serversOf(service.Name)
		s := servers[len(servers)-1]
		t.lossesAllowed.Add(t.fleet.kill(s))
		t.serversKilled.Add(1)
		if err := t.fleet.startServer(ctx, s); err != nil {
			return err
		}
	}
	return nil
}
