package trier

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// scenario is what a trial does to the system while traffic runs.
type scenario struct {
	name string
	// plan gives the traffic.
	plan func(Options) Plan
	// act changes the system. Its context ends with the trial; sending ends
	// when no more traffic is sent.
	act func(ctx, sending context.Context, t *trial) error
}

// DefaultScenario replaces every balancer and drains every backend server.
const DefaultScenario = "restart"

func scenarios() []scenario {
	return []scenario{
		{DefaultScenario, func(Options) Plan { return steady() }, restartAll},
		{"steady", func(Options) Plan { return steady() }, doNothing},
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

func doNothing(context.Context, context.Context, *trial) error {
	return nil
}

// restartAll replaces each balancer once and drains each backend server once,
// the services side by side and the servers of a service in turn.
func restartAll(ctx, _ context.Context, t *trial) error {
	faults := make(chan error)
	go func() { faults <- t.replaceBalancers(ctx) }()
	for _, service := range t.options.Deployment.Services {
		go func() { faults <- t.drainService(ctx, service) }()
	}
	var first error
	for range len(t.options.Deployment.Services) + 1 {
		if err := <-faults; err != nil && first == nil {
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
	for _, s := range t.fleet.servers {
		if s.service.Name != service.Name {
			continue
		}
		if err := t.fleet.drain(ctx, s); err != nil {
			return err
		}
		t.serversDrained.Add(1)
		t.say("backend server %s drained and replaced", s.name)
	}
	return nil
}
