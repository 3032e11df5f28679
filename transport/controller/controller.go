// Package controller runs one process's part in the membership and
// configuration of its environment: it drives the deciding code over control
// sessions and the platform's store.
package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"gooseberrymast"
	"gooseberrymast/coordination/member"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/protocol/translator"
	"gooseberrymast/state/timer"
	"gooseberrymast/transport/linker"
)

// The times of a controller.
const (
	// TickInterval is the period of the deciding code's ticks.
	TickInterval = time.Second
	// LeaveDelay is the time between the announcements that a process is
	// leaving and that it is gone, in which peers and agents turn to others.
	LeaveDelay = 3 * time.Second
	// minWatch and maxWatch bound the length of one watch.
	minWatch = 25 * time.Second
	maxWatch = 35 * time.Second
	// queryTimeout bounds the wait for the report of the tree's root.
	queryTimeout = 2 * time.Second
)

// ErrClosed means that the controller was closed.
var ErrClosed = errors.New("the controller is closed")

// eventBacklog bounds the events that wait.
const eventBacklog = 1024

// Config is what a controller needs. The callbacks are called one at a time,
// in order, and must neither block nor call the controller.
type Config struct {
	// Environment is the environment's name.
	Environment string
	// Record is the own record: identity, control address, role, service,
	// availability zone and weight.
	Record gooseberrymast.Record
	// Seeds are control addresses of balancers.
	Seeds []netip.AddrPort
	// CellsPerZone divides each availability zone; zero is one cell.
	CellsPerZone int
	// Keys gives the fleet's keys.
	Keys linker.KeySource
	// Store is the platform's store, or nil. Only balancers use it.
	Store gooseberrymast.Store
	// Timer is the timer service; nil is the system's.
	Timer gooseberrymast.Timer
	// Seed makes the random choices repeatable; zero draws one.
	Seed uint64
	// Parse decodes and checks a document.
	Parse func(text []byte) (gooseberrymast.Document, error)
	// OnTable is called with each new snapshot of the members.
	OnTable func(table *gooseberrymast.Table)
	// OnRevision is called when a revision comes into force.
	OnRevision func(revision uint64, document gooseberrymast.Document)
	// OnBalancers is called at an agent with the forwarding addresses of the
	// balancers that it has sessions with, each time that they change.
	OnBalancers func(addresses []netip.AddrPort)
	// OnIdentity is called when the own incarnation had to rise above that
	// of an earlier incarnation, which happens before the process is ready.
	OnIdentity func(identity gooseberrymast.Identity)
}

// Controller is one process's part. New makes it.
type Controller struct {
	config Config
	timer  gooseberrymast.Timer
	events chan event
	ctx    context.Context
	cancel context.CancelFunc
	// running counts the goroutines that must end before Close returns. The
	// gate keeps any from starting after that.
	running sync.WaitGroup
	gate    sync.Mutex
	counts  counts

	// The fields below belong to the loop.
	member  *member.Member
	links   map[messenger.Session]*link
	last    messenger.Session
	answers map[uint64]chan messenger.Answer
	queries uint64
	wakeAt  time.Time
	wakeOff func()
	tickOff func()
}

// event is one thing that happens to the member, with its actions.
type event func(now time.Time) member.Actions

// New makes a controller that has not started.
func New(config Config) *Controller {
	c := &Controller{
		config:  config,
		timer:   config.Timer,
		events:  make(chan event, eventBacklog),
		links:   map[messenger.Session]*link{},
		answers: map[uint64]chan messenger.Answer{},
	}
	if c.timer == nil {
		c.timer = timer.System{}
	}
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	c.counts.init()
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.member = member.New(member.Config{
		Environment:    config.Environment,
		Record:         config.Record,
		Seeds:          config.Seeds,
		CellsPerZone:   config.CellsPerZone,
		Store:          config.Store != nil,
		Parse:          config.Parse,
		DecodeRevision: translator.DecodeRevision,
		EncodeCell:     translator.EncodeCell,
		DecodeCell:     translator.DecodeCell,
		Random:         rand.New(rand.NewPCG(seed, seed)),
	})
	return c
}

// Attach serves control sessions that others open to a listener. It is called
// before the listener serves.
func (c *Controller) Attach(listener *linker.Listener) {
	listener.Handle(linker.KindControl, c.accept)
}

// Start begins to announce the process and to follow the environment.
func (c *Controller) Start() {
	if !c.begin() {
		return
	}
	go c.loop()
	c.post(func(now time.Time) member.Actions { return c.member.Start(now) })
	c.tickOff = c.timer.Every(TickInterval, func(time.Time) {
		c.post(func(now time.Time) member.Actions { return c.member.Tick(now) })
	})
}

// Move announces a state of the process. Ready takes effect once a revision is
// in force. Leave is the way to leave.
func (c *Controller) Move(state gooseberrymast.State) {
	c.post(func(now time.Time) member.Actions { return c.member.Move(now, state) })
}

// Leave announces that the process leaves, waits for others to turn away and
// announces that it is gone. It returns early when the context ends.
func (c *Controller) Leave(ctx context.Context) {
	c.Move(gooseberrymast.StateLeaving)
	c.sleep(ctx, LeaveDelay)
	c.Move(gooseberrymast.StateGone)
	c.sleep(ctx, TickInterval)
}

// Close ends the sessions and waits for the controller's goroutines.
func (c *Controller) Close() {
	if c.tickOff != nil {
		c.tickOff()
	}
	c.gate.Lock()
	c.cancel()
	c.gate.Unlock()
	c.running.Wait()
}

// begin counts a goroutine, unless the controller is closed.
func (c *Controller) begin() bool {
	c.gate.Lock()
	defer c.gate.Unlock()
	if c.ctx.Err() != nil {
		return false
	}
	c.running.Add(1)
	return true
}

// Table gives the newest snapshot of the members, or nil before any.
func (c *Controller) Table() *gooseberrymast.Table {
	return c.member.Directory.Table()
}

func (c *Controller) sleep(ctx context.Context, delay time.Duration) {
	passed := make(chan struct{})
	cancel := c.timer.After(delay, func(time.Time) { close(passed) })
	defer cancel()
	select {
	case <-passed:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
}

// post hands an event to the loop, unless the controller is closed.
func (c *Controller) post(e event) {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
	}
}

// loop handles the events one at a time.
func (c *Controller) loop() {
	defer c.running.Done()
	defer c.stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case e := <-c.events:
			c.perform(e(c.timer.Now()))
			c.schedule()
		}
	}
}

// schedule asks for a call at the time of the next delta.
func (c *Controller) schedule() {
	next := c.member.NextTick()
	if next.IsZero() || next.Equal(c.wakeAt) {
		return
	}
	if c.wakeOff != nil {
		c.wakeOff()
	}
	c.wakeAt = next
	delay := max(next.Sub(c.timer.Now()), 0)
	c.wakeOff = c.timer.After(delay, func(time.Time) {
		c.post(func(now time.Time) member.Actions { return c.member.Flush(now) })
	})
}

func (c *Controller) stop() {
	if c.wakeOff != nil {
		c.wakeOff()
	}
	for _, l := range c.links {
		l.abort()
	}
}

// perform carries out the actions of one event.
func (c *Controller) perform(actions member.Actions) {
	for _, err := range actions.Faults {
		log.Warn().Err(err).Msg("membership")
	}
	c.callBack(actions)
	for _, address := range actions.Dials {
		if c.begin() {
			go c.dial(address)
		}
	}
	for _, send := range actions.Sends {
		if l := c.links[send.Session]; l != nil {
			l.send(send.Message)
		}
	}
	for _, id := range actions.Closes {
		if l := c.links[id]; l != nil {
			delete(c.links, id)
			l.finish()
		}
	}
	for _, call := range actions.Calls {
		if c.begin() {
			go c.call(call)
		}
	}
	for _, answer := range actions.Answers {
		if waiting := c.answers[answer.ID]; waiting != nil {
			delete(c.answers, answer.ID)
			waiting <- answer
		}
	}
}

func (c *Controller) callBack(actions member.Actions) {
	if actions.Identity != nil && c.config.OnIdentity != nil {
		c.config.OnIdentity(*actions.Identity)
	}
	if adopted := actions.Adopted; adopted != nil {
		log.Info().Uint64("revision", adopted.Revision.Number).Msg("revision in force")
		if c.config.OnRevision != nil {
			c.config.OnRevision(adopted.Revision.Number, adopted.Document)
		}
	}
	if actions.Balancers != nil && c.config.OnBalancers != nil {
		c.config.OnBalancers(*actions.Balancers)
	}
	if actions.Table != nil && c.config.OnTable != nil {
		c.config.OnTable(actions.Table)
	}
}

// call makes one call to the store and reports its result.
func (c *Controller) call(call member.Call) {
	defer c.running.Done()
	result := c.ask(call.Call)
	c.post(func(now time.Time) member.Actions { return c.member.Stored(now, call.ID, result) })
}

func (c *Controller) ask(call messenger.Call) messenger.Result {
	var result messenger.Result
	store := c.config.Store
	switch call.Method {
	case messenger.MethodGet:
		result.Object, result.Err = store.Get(c.ctx, call.Object.Key)
	case messenger.MethodList:
		result.Objects, result.Err = store.List(c.ctx, call.Object.Key)
	case messenger.MethodPut:
		result.Version, result.Err = store.Put(c.ctx, call.Object, call.Version)
	case messenger.MethodWatch:
		ctx, cancel := context.WithTimeout(c.ctx, minWatch+rand.N(maxWatch-minWatch))
		defer cancel()
		result.Object, result.Err = store.Watch(ctx, call.Object.Key, call.Version)
	default:
		result.Err = fmt.Errorf("Controller.ask: unknown method %d", call.Method)
	}
	return result
}
