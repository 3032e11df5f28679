package assembler

import (
	"context"
	"errors"
	"fmt"

	"gooseberrymast"
)

// handlePoll receives a result of polling the backend server. The first healthy
// result makes the agent ready; later ones are only hints to the dispatcher.
func (a *Agent) handlePoll(healthy bool, load int32) {
	if healthy {
		a.announceReady()
	}
	a.healthy.Store(healthy)
	a.driver.HandleServerStatus(healthy, load)
}

// announceReady announces, once, that the agent takes new flows, unless it has
// already begun to leave.
func (a *Agent) announceReady() {
	a.readyOnce.Do(func() { a.controller.RequestState(gooseberrymast.StateReady) })
}

// Run serves until Close. It returns a StaleIncarnationError if the agent must be
// created again with a higher incarnation.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 2)
	go func() { ended <- a.listener.Serve(ctx) }()
	go func() { ended <- a.terminator.Serve() }()
	a.controller.Start()
	defer a.flowEvener.start(ctx)()
	if a.config.Settings.Backend.HealthPath == "" {
		a.announceReady()
	}
	a.poller.Start()
	// A shutdown ends the terminator first. Sessions with peers are served until
	// Close, for the requests that peers handed over and for their queries.
	for range cap(ended) {
		select {
		case identity := <-a.raisedIdentity:
			return &StaleIncarnationError{Identity: identity}
		case err := <-ended:
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// Ready returns nil while the agent takes new flows, and otherwise an error that says
// why not.
func (a *Agent) Ready() error {
	state := a.controller.State()
	if state == gooseberrymast.StateReady {
		return nil
	}
	if !a.healthy.Load() {
		return fmt.Errorf("the agent is %s and its backend server is not healthy", state)
	}
	return fmt.Errorf("the agent is %s", state)
}

// Find returns the refusal with an identifier, if the agent still keeps it.
func (a *Agent) Find(id string) (gooseberrymast.Refusal, bool) {
	return a.dispatcher.Recorder().Find(id)
}

// Status returns the agent's status.
func (a *Agent) Status() gooseberrymast.AgentStatus {
	load := a.driver.Load()
	return gooseberrymast.AgentStatus{
		Instance:    a.Identity(),
		Time:        a.config.Timer.Now(),
		Environment: a.config.Settings.Environment,
		Service:     a.config.Settings.Service,
		Zone:        a.config.Settings.Zone,
		Revision:    a.revision.Load(),
		State:       a.controller.State().String(),
		Healthy:     a.healthy.Load(),
		Flows:       a.terminator.Flows(),
		Streams:     int(load.Streams),
		Running:     a.driver.InProgress() - int(load.Streams) - int(load.Queued),
		Queued:      int(load.Queued),
	}
}

// Leave starts the drain: the agent takes no new flows and its backend server gets no
// new work. Open flows and requests in progress continue.
func (a *Agent) Leave() {
	a.leaveOnce.Do(func() {
		a.readyOnce.Do(func() {})
		a.controller.RequestState(gooseberrymast.StateLeaving)
		a.receiver.Leave()
		a.driver.Leave()
	})
}

// Shutdown drains the agent: it moves callers to other agents and waits until the
// requests in progress have ended. What is left is aborted when the context ends or
// the document's max-wait has passed.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.Leave()
	if wait := a.currentService().Drain.MaxWait.Std(); wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait)
		defer cancel()
	}
	if err := a.terminator.Shutdown(ctx); err != nil {
		return fmt.Errorf("Agent.Shutdown %s: %w", a.Identity(), err)
	}
	a.controller.Leave(ctx)
	if err := a.hander.Wait(ctx); err != nil {
		return fmt.Errorf("Agent.Shutdown %s: %w", a.Identity(), err)
	}
	return nil
}

// Close aborts all flows and closes the sockets.
func (a *Agent) Close() error {
	err := a.terminator.Close()
	a.poller.Stop()
	a.controller.Close()
	a.closeSockets()
	return err
}

// Kill closes the sockets without notifying callers or peers, as in a crash.
func (a *Agent) Kill() {
	a.poller.Stop()
	a.receiver.Close()
	a.pool.Close()
	a.listener.Close()
	a.controller.Close()
}

func (a *Agent) closeSockets() {
	var errs []error
	if a.transport != nil {
		errs = append(errs, a.transport.Close())
	}
	if a.receiver != nil {
		errs = append(errs, a.receiver.Close())
	}
	if a.pool != nil {
		errs = append(errs, a.pool.Close())
	}
	if a.listener != nil {
		errs = append(errs, a.listener.Close())
	}
	_ = errors.Join(errs...)
}
