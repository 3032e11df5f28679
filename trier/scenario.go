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

// scenario is what a trial does to the system while traffic runs.
type scenario struct {
	name string
	// plan gives the traffic.
	plan func(Options) Plan
	// act changes the system. Traffic goes on until it has returned.
	act func(ctx context.Context, t *trial) error
}

// DefaultScenario replaces every balancer and drains every backend server.
const DefaultScenario = "restart"

func scenarios() []scenario {
	return []scenario{
		{DefaultScenario, steady, restartAll},
		{"drain", steady, drainAll},
		{"steady", steady, doNothing},
		{"crest", crest, doNothing},
		{"crest-restart", crest, restartAll},
		{"stragglers", stragglers, doNothing},
		{"no-stragglers", noStragglers, doNothing},
		{"faults", steady, causeFaults},
		{"imbalance", movingFlows, restartAll},
	}
}

// ScenarioNames lists the scenarios.
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

func doNothing(context.Context, *trial) error {
	return nil
}

// restartAll replaces each balancer once and drains each backend server once,
// the services side by side and the servers of a service in turn.
func restartAll(ctx context.Context, t *trial) error {
	replaced := make(chan error, 1)
	go func() { replaced <- t.replaceBalancers(ctx) }()
	err := drainAll(ctx, t)
	if failed := <-replaced; err == nil {
		err = failed
	}
	return err
}

// drainAll drains each backend server once.
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
	pause := t.options.Length / (balancers + 1)
	for i := range balancers {
		if !sleepUntil(ctx, t.begun.Add(pause*time.Duration(i+1))) {
			return ctx.Err()
		}
		if err := t.fleet.replaceBalancer(ctx, i); err != nil {
			return err
		}
		t.balancersReplaced.Add(1)
		t.say("balancer %d replaced", i)
	}
	return nil
}

func (t *trial) drainService(ctx context.Context, service DeployedService) error {
	for _, s := range t.fleet.serversOf(service.Name) {
		if err := t.fleet.drain(ctx, s); err != nil {
			return err
		}
		t.serversDrained.Add(1)
		t.say("backend server %s drained and replaced", s.name)
	}
	return nil
}

// serversOf lists the servers of a service.
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

// The faults of the fabric in the scenario faults.
var fabricFaults = fabric.Faults{
	Drop:      0.01,
	Duplicate: 0.01,
	Reorder:   0.05,
	ReorderBy: 5 * time.Millisecond,
	Delay:     3 * time.Millisecond,
}

// noLoad is the load that a lying backend server reports.
var noLoad int

// causeFaults makes the fabric lossy, the store fail, backend servers lie and
// fail, and kills instances and a balancer without a word.
func causeFaults(ctx context.Context, t *trial) error {
	f := t.fleet
	step := t.options.Length / 8
	faults := []struct {
		name  string
		cause func() error
	}{
		{"the fabric loses, delays, repeats and reorders packets", func() error { f.fabric.SetFaults(fabricFaults); return nil }},
		{"the store is down", func() error { f.platform.SetFaults(platform.Faults{Down: true}); return nil }},
		{"a backend server lies about its load", func() error {
			f.first(0).backend.SetLoadLie(&noLoad)
			return nil
		}},
		{"a healthy backend server says that it is ill", func() error { f.first(0).backend.SetHealthy(false); return nil }},
		{"a backend server fails every request", func() error { f.serversOf(f.firstService())[1].backend.SetMode(backend.ModeFail); return nil }},
		{"a balancer is killed", func() error { return f.killBalancer(ctx, 0) }},
		{"an instance of each service is killed", func() error { return t.killOfEach(ctx) }},
	}
	for i, fault := range faults {
		if !sleepUntil(ctx, t.begun.Add(step*time.Duration(i+1))) {
			return ctx.Err()
		}
		t.say("%s", fault.name)
		if err := fault.cause(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) firstService() string {
	return f.deployment.Services[0].Name
}

// first gives the first server of the i-th service.
func (f *fleet) first(i int) *server {
	return f.serversOf(f.deployment.Services[i].Name)[0]
}

// killOfEach kills the last instance of each service and starts another.
func (t *trial) killOfEach(ctx context.Context) error {
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
