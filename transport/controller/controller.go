// Package controller connects one process to the membership and configuration
// of its environment: it runs the state machine of package member over control
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

// The intervals and time limits of a controller.
const (
	// TickInterval is the period of the member's ticks.
	TickInterval = time.Second
	// LeaveDelay is the time between the announcements that a process is
	// leaving and that it is gone, in which peers and agents switch to others.
	LeaveDelay = 3 * time.Second
	// minWatchLength and maxWatchLength bound the random length of one watch.
	minWatchLength = 25 * time.Second
	maxWatchLength = 35 * time.Second
	// queryTimeout bounds the wait for the report of the root of the tree.
	queryTimeout = 2 * time.Second
)

// ErrClosed means that the controller was closed.
var ErrClosed = errors.New("the controller is closed")

// maxQueuedEvents bounds the events that wait for the loop.
const maxQueuedEvents = 1024

// Config holds the settings of a controller. The callbacks are called one at a
// time, in order, and must neither block nor call the controller.
type Config struct {
	// Environment is the environment's name.
	Environment string
	// Record is the process's own record: identity, control address, role,
	// service, availability zone and weight.
	Record gooseberrymast.Record
	// Seeds are control addresses of balancers.
	Seeds []netip.AddrPort
	// CellsPerZone is the number of cells of each availability zone; zero means
	// one.
	CellsPerZone int
	// Keys returns the fleet's keys.
	Keys linker.KeySource
	// Store is the platform's store, or nil. Only balancers use it.
	Store gooseberrymast.Store
	// Timer is the timer service; nil means the system's.
	Timer gooseberrymast.Timer
	// Seed makes the random choices repeatable; zero means a random seed.
	Seed uint64
	// Parse decodes and checks a document.
	Parse func(text []byte) (gooseberrymast.Document, error)
	// OnTable is called with each new snapshot of the members.
	OnTable func(table *gooseberrymast.Table)
	// OnRevision is called when a revision comes into force.
	OnRevision func(revision uint64, document gooseberrymast.Document)
	// OnBalancers is called at an agent with the forwarding addresses of the
	// balancers that it has sessions with, whenever they change.
	OnBalancers func(addresses []netip.AddrPort)
	// OnIdentity is called when the process's incarnation was raised above
	// that of an earlier one, which happens before the process is ready.
	OnIdentity func(identity gooseberrymast.Identity)
}

// Controller takes part in the membership on behalf of one process. Use New to
// create it.
type Controller struct {
	config Config
	timer  gooseberrymast.Timer
	events chan event
	ctx    context.Context
	cancel context.CancelFunc
	// goroutines counts the goroutines that must end before Close returns.
	// startMu keeps new ones from starting after that.
	goroutines sync.WaitGroup
	startMu    sync.Mutex
	metrics    metrics

	// The fields below are used by the loop only.
	member      *member.Member
	links       map[messenger.Session]*link
	lastSession messenger.Session
	answers     map[uint64]chan messenger.Answer
	lastQuery   uint64
	flushAt     time.Time
	cancelFlush func()
	cancelTick  func()
}

// event passes one event to the member and returns the member's actions.
type event func(now time.Time) member.Actions

// New creates a controller that has not started.
func New(config Config) *Controller {
	c := &Controller{
		config:  config,
		timer:   config.Timer,
		events:  make(chan event, maxQueuedEvents),
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
	c.metrics.init()
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

// Attach handles the control sessions that peers open to a listener. It must be
// called before the listener serves.
func (c *Controller) Attach(listener *linker.Listener) {
	listener.Handle(linker.KindControl, c.accept)
}

// Start begins to announce the process and to follow the membership and the
// configuration.
func (c *Controller) Start() {
	if !c.addGoroutine() {
		return
	}
	go c.loop()
	c.post(func(now time.Time) member.Actions { return c.member.Start(now) })
	c.cancelTick = c.timer.Every(TickInterval, func(time.Time) {
		c.post(func(now time.Time) member.Actions { return c.member.Tick(now) })
	})
}

// RequestState announces a state of the process. Ready takes effect once a
// revision is in force. To leave, call Leave instead.
func (c *Controller) RequestState(state gooseberrymast.State) {
	c.post(func(now time.Time) member.Actions { return c.member.RequestState(now, state) })
}

// Leave announces that the process is leaving, waits LeaveDelay for others to
// switch away and announces that it is gone. It returns early when the context
// ends.
func (c *Controller) Leave(ctx context.Context) {
	c.RequestState(gooseberrymast.StateLeaving)
	c.sleep(ctx, LeaveDelay)
	c.RequestState(gooseberrymast.StateGone)
	c.sleep(ctx, TickInterval)
}

// Close ends the sessions and waits for the controller's goroutines.
func (c *Controller) Close() {
	if c.cancelTick != nil {
		c.cancelTick()
	}
	c.startMu.Lock()
	c.cancel()
	c.startMu.Unlock()
	c.goroutines.Wait()
}

// addGoroutine counts a goroutine that is about to start. It returns false if
// the controller is closed.
func (c *Controller) addGoroutine() bool {
	c.startMu.Lock()
	defer c.startMu.Unlock()
	if c.ctx.Err() != nil {
		return false
	}
	c.goroutines.Add(1)
	return true
}

// Table returns the newest snapshot of the members, or nil before the first.
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

// post queues an event for the loop, unless the controller is closed.
func (c *Controller) post(e event) {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
	}
}

// loop handles the events one at a time.
func (c *Controller) loop() {
	defer c.goroutines.Done()
	defer c.abortLinks()
	for {
		select {
		case <-c.ctx.Done():
			return
		case e := <-c.events:
			c.perform(e(c.timer.Now()))
			c.scheduleFlush()
		}
	}
}

// scheduleFlush sets the timer for the member's next flush.
func (c *Controller) scheduleFlush() {
	next := c.member.NextFlush()
	if next.IsZero() || next.Equal(c.flushAt) {
		return
	}
	if c.cancelFlush != nil {
		c.cancelFlush()
	}
	c.flushAt = next
	delay := max(next.Sub(c.timer.Now()), 0)
	c.cancelFlush = c.timer.After(delay, func(time.Time) {
		c.post(func(now time.Time) member.Actions { return c.member.Flush(now) })
	})
}

func (c *Controller) abortLinks() {
	if c.cancelFlush != nil {
		c.cancelFlush()
	}
	for _, l := range c.links {
		l.abort()
	}
}

// perform carries out the actions of one event.
func (c *Controller) perform(actions member.Actions) {
	for _, err := range actions.Errors {
		log.Warn().Err(err).Msg("membership")
	}
	c.runCallbacks(actions)
	for _, address := range actions.Dials {
		if c.addGoroutine() {
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
			l.closeAfterQueue()
		}
	}
	for _, call := range actions.Calls {
		if c.addGoroutine() {
			go c.handleStoreCall(call)
		}
	}
	for _, answer := range actions.Answers {
		if waiting := c.answers[answer.ID]; waiting != nil {
			delete(c.answers, answer.ID)
			waiting <- answer
		}
	}
}

func (c *Controller) runCallbacks(actions member.Actions) {
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

// handleStoreCall makes one call to the store and passes its result to the
// member.
func (c *Controller) handleStoreCall(call member.Call) {
	defer c.goroutines.Done()
	result := c.callStore(call.Call)
	c.post(func(now time.Time) member.Actions { return c.member.HandleStoreResult(now, call.ID, result) })
}

func (c *Controller) callStore(call messenger.Call) messenger.Result {
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
		ctx, cancel := context.WithTimeout(c.ctx, minWatchLength+rand.N(maxWatchLength-minWatchLength))
		defer cancel()
		result.Object, result.Err = store.Watch(ctx, call.Object.Key, call.Version)
	default:
		result.Err = fmt.Errorf("Controller.callStore: unknown method %d", call.Method)
	}
	return result
}
