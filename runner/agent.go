package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/assessor"
	"gooseberrymast/coordination/chooser"
	"gooseberrymast/coordination/deliverer"
	"gooseberrymast/coordination/tracker"
	"gooseberrymast/protocol/interpreter"
	"gooseberrymast/protocol/wrapper"
	"gooseberrymast/state/roster"
)

const (
	// agentReports is the time between two reports of an agent: a few service
	// times, so that placement sees the work of the moment.
	agentReports = 200 * time.Millisecond
	// announceInterval is the time between two announcements of flows.
	announceInterval = 100 * time.Millisecond
	// servedInterval is the time between two looks whether the agent's entry
	// lacks an address that its server has served.
	servedInterval = 50 * time.Millisecond
	// recordPause is the time between two writes of an agent's entry, so that a
	// document with many new routes costs few writes.
	recordPause = 250 * time.Millisecond
	// maxOwners is the number of flows in one datagram, 22 bytes each.
	maxOwners = 50
	// healthTimeout bounds the health check at the agent's start.
	healthTimeout = 500 * time.Millisecond
	// checkPause is the time between two checks whether the server is dead.
	checkPause = 500 * time.Millisecond
	// checkTimeout bounds one check, on the same instance.
	checkTimeout = 300 * time.Millisecond
	// lastReports is the number of reports by which an agent says that it stops,
	// since no later one makes up for a lost datagram.
	lastReports = 3
	// stopLook is the time between two looks for the end of work in progress.
	stopLook = 50 * time.Millisecond
)

// HealthCheck asks a backend server whether it is healthy and not leaving.
type HealthCheck func(ctx context.Context, server gooseberrymast.Endpoint, path string) (bool, error)

// Listener makes the handler of a server's announcements.
type Listener func(announce func(gooseberrymast.Announcement) error, depart func(id string, born int64) error,
	malformed func(id string, err error)) http.Handler

// Agent delivers packets to the backend server of its instance.
type Agent struct {
	member
	// Health checks the server once when the agent starts; nil never does.
	Health HealthCheck
	// Listen makes the handler of the server's announcements.
	Listen Listener

	deliverer deliverer.Deliverer
	outbound  *net.UDPConn
	stopping  atomic.Bool

	trackerMu sync.Mutex
	tracker   tracker.Tracker

	assessorMu sync.Mutex
	assessor   assessor.Assessor
	// failing is set while the server fails so many requests that balancers
	// leave it out.
	failing bool

	// recorded is what the entry in the store has, and recordAfter is when the
	// next write may be.
	recorded    recordState
	recordAfter time.Time

	// checked is when the server was last looked for.
	checked time.Time

	placesMu     sync.Mutex
	incarnations map[gooseberrymast.Endpoint]uint64
}

// NewAgent makes an agent.
func NewAgent(environment Environment) *Agent {
	return &Agent{member: member{Environment: environment}}
}

// Run delivers packets until the context ends, and then until the server has
// answered what it was asked.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.start(a.Timer.Now()); err != nil {
		return err
	}
	a.tracker = tracker.Tracker{Address: a.Settings.Server, Interval: a.Settings.AnnounceInterval}
	a.incarnations = map[gooseberrymast.Endpoint]uint64{}
	a.load = a.measure
	a.served, a.restore = a.servedNow, a.restored
	probed := make(chan string, 1)
	a.adopt = func(routes *gooseberrymast.Routes) {
		select {
		case probed <- routes.HealthPaths[a.Settings.Service]:
		default:
		}
	}
	var err error
	if a.outbound, err = listen(a.Settings.Outbound); err != nil {
		return err
	}
	stopServing, err := serve(a.Settings.Announcements, a.Listen(a.announced, a.departed, a.malformed), a.Log)
	if err != nil {
		return err
	}
	defer stopServing()
	stopReady, err := serve(a.Settings.Readiness, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), a.Log)
	if err != nil {
		return err
	}
	defer stopReady()
	defer a.serveMetrics()()
	working, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go a.receive(a.fromPeer)
	go a.fromServer()
	go a.register(working)
	go a.probe(working, probed)
	go a.reportEach(working, agentReports, func() []roster.Entry { return a.roster.Role(gooseberrymast.RoleBalancer) })
	stops := []func(){
		a.Timer.Every(pollInterval, func(time.Time) { a.confirm(working) }),
		a.Timer.Every(announceInterval, a.announce),
		a.Timer.Every(announceInterval, a.checkServer),
		a.Timer.Every(verifyInterval, func(time.Time) { a.verifyEntry(working) }),
		a.Timer.Every(servedInterval, func(now time.Time) { a.recordNews(working, now) }),
		a.Timer.Every(expireInterval, func(now time.Time) {
			a.deliverer.Expire(now)
			a.roster.Expire(now)
		}),
	}
	a.Log.Info(gooseberrymast.EventStarted).Str("role", "agent").Str("zone", a.Settings.Zone).
		Str("service", a.Settings.Service).Msg("")
	<-ctx.Done()
	a.leave()
	for _, stop := range stops {
		stop()
	}
	a.Log.Info(gooseberrymast.EventStopped).Msg("")
	return errors.Join(a.outbound.Close(), a.conn.Close())
}

// leave refuses new flows and waits for the end of work in progress. An agent
// whose server has ended removes its entry from the store.
func (a *Agent) leave() {
	began := a.Timer.Now()
	a.stopping.Store(true)
	a.deliverer.Leave()
	ended := a.server(began).Status == tracker.Gone
	state := gooseberrymast.StateLeaving
	if ended {
		state = gooseberrymast.StateGone
	}
	a.change(state, a.own().Service)
	a.Log.Info(gooseberrymast.EventStopping).Bool("server-ended", ended).Msg("")
	for range lastReports {
		a.notify()
		sleep(context.Background(), a.Timer, stopLook)
	}
	if ended {
		// The instance is told to stop once its server has ended.
		a.resetLost("server-ended")
		ctx, cancel := context.WithTimeout(context.Background(), a.Settings.StopWithin-stopReserve)
		defer cancel()
		err := a.callStore(ctx, "remove the entry", func(ctx context.Context) error {
			return a.Store.Delete(ctx, recordKey(a.Settings.Peers), 0)
		})
		if err != nil {
			a.Log.Warn(gooseberrymast.EventEntryNotRemoved).Err(err).Msg("")
		}
		return
	}
	for a.Timer.Now().Sub(began) < a.Settings.StopWithin-stopReserve {
		if _, busy := a.deliverer.Load(); busy == 0 {
			return
		}
		sleep(context.Background(), a.Timer, stopLook)
	}
}

func (a *Agent) measure(now time.Time) gooseberrymast.FlowLoad {
	a.trackerMu.Lock()
	last, heard := a.tracker.Last()
	a.trackerMu.Unlock()
	flows, busy := a.deliverer.Load()
	return gooseberrymast.FlowLoad{
		Slots:      last.Slots,
		InProgress: busy,
		Flows:      flows,
		Cold:       max(0, last.Cold-now.Sub(heard)),
		Failing:    a.failingShare(now),
	}
}

// failingShare gives the share of requests that the server fails, and logs when
// it passes the limit at which balancers leave the server out.
func (a *Agent) failingShare(now time.Time) float64 {
	a.assessorMu.Lock()
	share := a.assessor.Failing(now)
	failing := share >= chooser.FailingLimit
	changed := failing != a.failing
	a.failing = failing
	a.assessorMu.Unlock()
	if changed {
		a.Log.Warn(gooseberrymast.EventServerFailing).Bool("failing", failing).Float64("share", share).
			Float64("limit", chooser.FailingLimit).Msg("")
	}
	return share
}

// assess judges the server by what became of a request.
func (a *Agent) assess(step deliverer.Step, packet []byte, now time.Time) {
	if !step.Answered && step.Event != deliverer.RequestCut && step.Event != deliverer.RequestAbandoned {
		return
	}
	a.trackerMu.Lock()
	last, _ := a.tracker.Last()
	a.trackerMu.Unlock()
	// The request that has just ended held a slot too.
	_, busy := a.deliverer.Load()
	full := last.Slots > 0 && busy+1 >= last.Slots
	a.assessorMu.Lock()
	defer a.assessorMu.Unlock()
	if step.Answered {
		if status := a.Codec.AnswerStatus(packet); status != 0 {
			a.assessor.Answered(status, full, now)
			a.metrics.status(status)
		}
		return
	}
	if step.Event == deliverer.RequestCut || !full {
		a.assessor.Unanswered(now)
	}
}

// announce tells the places of flows who owns them.
func (a *Agent) announce(now time.Time) {
	a.refresh(now)
	var balancers []gooseberrymast.Endpoint
	restarted := map[gooseberrymast.Endpoint]bool{}
	a.placesMu.Lock()
	a.roster.Each(func(entry roster.Entry) {
		if entry.Role != gooseberrymast.RoleBalancer || !entry.Alive(now) || entry.State != gooseberrymast.StateReady {
			return
		}
		balancers = append(balancers, entry.Endpoint)
		if a.incarnations[entry.Endpoint] != entry.Incarnation {
			a.incarnations[entry.Endpoint] = entry.Incarnation
			restarted[entry.Endpoint] = true
		}
	})
	a.placesMu.Unlock()
	for place, keys := range a.deliverer.Announce(balancers, restarted, now) {
		for len(keys) > 0 {
			part := keys[:min(maxOwners, len(keys))]
			keys = keys[len(part):]
			a.send(interpreter.Owners(a.Settings.Peers, part), place)
		}
	}
}

// recordState tells apart what an agent's entry says of its server.
type recordState struct {
	// changes counts those of the served addresses.
	changes int
	server  string
}

func (a *Agent) incarnation() string {
	a.trackerMu.Lock()
	defer a.trackerMu.Unlock()
	return a.tracker.Incarnation()
}

// servedNow gives what the agent's entry in the store is to say.
func (a *Agent) servedNow() interpreter.Served {
	return interpreter.Served{Addresses: a.deliverer.Served(), Server: a.incarnation()}
}

// restored takes what an earlier agent of the instance has left in the store.
func (a *Agent) restored(served interpreter.Served) {
	// Without a name the earlier agent may have served any incarnation.
	if served.Server != "" || len(served.Addresses) == 0 {
		a.trackerMu.Lock()
		a.tracker.Predecessor(served.Server)
		a.trackerMu.Unlock()
	}
	a.deliverer.Restore(served.Addresses)
}

// recordNews updates the agent's entry when its server has served an address
// that the entry lacks or is another incarnation, since a later agent of the
// instance relies on both.
func (a *Agent) recordNews(ctx context.Context, now time.Time) {
	state := recordState{changes: a.deliverer.ServedChanges(), server: a.incarnation()}
	if state == a.recorded || now.Before(a.recordAfter) || !a.registered.Load() {
		return
	}
	a.recordAfter = now.Add(recordPause)
	if err := a.callStore(ctx, "update the entry", a.updateEntry); err != nil {
		a.Log.Warn(gooseberrymast.EventEntryNotUpdated).Err(err).Msg("")
		return
	}
	a.recorded = state
}

// fromPeer handles a packet that a peer forwarded.
func (a *Agent) fromPeer(received []byte, sender gooseberrymast.Endpoint, now time.Time) {
	hop, packet, err := wrapper.Split(received)
	if err != nil {
		a.Log.Warn(gooseberrymast.EventPacketBad).Stringer("peer", sender.AddrPort()).Err(err).Msg("")
		return
	}
	header, err := a.Codec.Decode(packet)
	if err != nil {
		a.Log.Warn(gooseberrymast.EventPacketBad).Stringer("peer", sender.AddrPort()).Err(err).Msg("")
		return
	}
	routes := a.currentRoutes()
	if header.Payload > 0 {
		a.deliverer.Begin(header.FromCaller(), a.Codec.RequestID(packet))
	}
	step := a.deliverer.FromPeer(header, hop, a.server(now), routes, now)
	a.assess(step, packet, now)
	a.carryOut(step, header.FromCaller(), packet)
}

// fromServer handles the packets of the backend server until the socket is
// closed.
func (a *Agent) fromServer() {
	packet := make([]byte, maxDatagram)
	for {
		n, _, err := a.outbound.ReadFromUDPAddrPort(packet)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			a.Log.Warn(gooseberrymast.EventReceiveFailed).Err(err).Msg("reading from the server failed")
			continue
		}
		header, err := a.Codec.Decode(packet[:n])
		if err != nil {
			a.Log.Warn(gooseberrymast.EventPacketBad).Int("bytes", n).Msg("")
			continue
		}
		now := a.Timer.Now()
		if header.Returned {
			a.Codec.ClearReturned(packet[:n])
			a.carryOut(a.deliverer.Returned(header, now), header.FromCaller(), packet[:n])
			continue
		}
		step := a.deliverer.FromServer(header, now)
		a.assess(step, packet[:n], now)
		a.carryOut(step, header.FromServer(), packet[:n])
	}
}

// carryOut does what was decided on a packet.
func (a *Agent) carryOut(step deliverer.Step, key gooseberrymast.FlowKey, packet []byte) {
	switch step.Action {
	case deliverer.ToServer:
		a.Codec.SetTag(packet, step.Tag)
		a.write(a.outbound, packet, a.Settings.Server)
	case deliverer.ToCaller:
		a.write(a.outbound, packet, callerEndpoint(key.Caller, a.Settings))
	case deliverer.Forward:
		a.write(a.conn, append(wrapper.Append(make([]byte, 0, maxDatagram), step.Hop), packet...), step.To)
	case deliverer.Reset:
		a.write(a.outbound, a.Codec.AppendReset(nil, step.Of), callerEndpoint(key.Caller, a.Settings))
	}
	if !step.Tell.IsZero() {
		a.send(interpreter.Owners(a.Settings.Peers, []gooseberrymast.FlowKey{key}), step.Tell)
	}
	a.record(step, key, packet)
}
