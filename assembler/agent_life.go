package assembler

import (
	"context"
	"errors"
	"fmt"

	"gooseberrymast"
)

// observe takes what the poller learnt. The first healthy answer makes the
// agent ready; later ones are hints to the dispatcher.
func (a *Agent) observe(healthy bool, load int32) {
	if healthy {
		a.becomeReady()
	}
	a.healthy.Store(healthy)
	a.driver.Observe(healthy, load)
}

// becomeReady announces once that the agent takes new flows, unless it left
// before.
func (a *Agent) becomeReady() {
	a.ready.Do(func() { a.controller.Move(gooseberrymast.StateReady) })
}

// Run serves until Close or Shutdown. It gives a RaisedError when the agent
// must be made again with a higher incarnation.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 2)
	go func() { ended <- a.listener.Serve(ctx) }()
	go func() { ended <- a.terminator.Serve() }()
	a.controller.Start()
	defer a.evener.start(ctx)()
	if a.config.Settings.Backend.HealthPath == "" {
		a.becomeReady()
	}
	a.poller.Start()
	// A shutdown ends the terminator first. The sessions go on until Close, for
	// what peers handed over and for their questions.
	for range cap(ended) {
		select {
		case identity := <-a.raised:
			return &RaisedError{Identity: identity}
		case err := <-ended:
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// Ready gives nil while the agent takes new flows and otherwise says why not.
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

// Find gives a refusal that the agent still keeps.
func (a *Agent) Find(id string) (gooseberrymast.Refusal, bool) {
	return a.dispatcher.Recorder().Find(id)
}

// Status is what the agent says of itself.
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

// Leave stops new work at the agent's backend server. Open flows and what is in
// progress go on.
func (a *Agent) Leave() {
	a.leave.Do(func() {
		a.ready.Do(func() {})
		a.controller.Move(gooseberrymast.StateLeaving)
		a.receiver.Leaving()
		a.driver.Leave()
	})
}

// Shutdown waits until the requests in progress have ended and moves the
// callers on. The end of the context, or of the document's max-wait, cuts what
// is left.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.Leave()
	if wait := a.document().Drain.MaxWait.Std(); wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait)
		defer cancel()
	}
	if err := a.terminator.Shutdown(ctx); err != nil {
		return fmt.Errorf("Agent.Shutdown %s: %w", a.Identity(), err)
	}
	a.controller.Leave(ctx)
	if err := a.hander.Settle(ctx); err != nil {
		return fmt.Errorf("Agent.Shutdown %s: %w", a.Identity(), err)
	}
	return nil
}

// Close cuts every flow and closes the sockets.
func (a *Agent) Close() error {
	err := a.terminator.Close()
	a.poller.Stop()
	a.controller.Close()
	a.closeSockets()
	return err
}

// Kill closes the sockets without a word to callers or peers, as a crash does.
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
