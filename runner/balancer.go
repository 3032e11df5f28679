package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/locator"
	"gooseberrymast/coordination/relayer"
	"gooseberrymast/coordination/steerer"
	"gooseberrymast/protocol/wrapper"
	"gooseberrymast/state/roster"
	"gooseberrymast/transport/journaler"
)

const (
	// balancerReportInterval is the time between two reports of a balancer.
	// Reports carry the age of the document, so the interval is well below
	// confirmer.Interval.
	balancerReportInterval = 400 * time.Millisecond
	// expireInterval is the time between two removals of expired state.
	expireInterval = 2 * time.Second
	// minStopIdleTime is the time without a packet from a caller after which the
	// fabric is taken to have removed a stopping balancer.
	minStopIdleTime = 600 * time.Millisecond
	// minStopTime is how long a stopping balancer keeps running at least: the
	// fabric checks readiness twice a second and removes a balancer after two
	// failed checks.
	minStopTime = 1200 * time.Millisecond
	// stopReserve is the time reserved between the end of the drain and the kill.
	stopReserve = 700 * time.Millisecond
)

// Balancer forwards the packets that the fabric sends to this instance. The fabric
// is the platform's network, which distributes the callers' packets over the ready
// balancers.
type Balancer struct {
	member
	steerer steerer.Steerer
	owners  locator.Locator
	ingress *net.UDPConn
	leaving atomic.Bool
	// lastPacket is when a caller's packet last arrived, as time since started.
	lastPacket atomic.Int64
	started    time.Time
	ready      atomic.Bool
	// documentUsable is set once hasUsableDocument has been true. It is guarded by
	// member.mu.
	documentUsable bool
	// asking is what was last logged of the relayer's questions; relayerMu guards it.
	asking bool
	// recordedEra is the settled era that the balancer's entry in the store names, and
	// settledRetryAt is when a failed call for a settled era may be repeated. Only
	// handleSettledEra uses them.
	recordedEra    uint64
	settledRetryAt time.Time

	archive flowArchive
	// entryNamesFlowRecords is set once the balancer's entry says that there are flow
	// records. Only storeFlowRecords uses it.
	entryNamesFlowRecords bool

	// entriesWanted holds a value while a search waits for the store's entries.
	entriesWanted chan struct{}
	// kept holds a value after a packet was kept whose flow is searched for.
	kept chan struct{}
}

// NewBalancer returns a balancer; Run starts it.
func NewBalancer(environment Environment) *Balancer {
	return &Balancer{member: member{Environment: environment}}
}

// Run forwards packets until the context ends, and then until the fabric stops
// sending.
func (b *Balancer) Run(ctx context.Context, readiness func(ready func() bool) http.Handler) error {
	b.started = b.Timer.Now()
	if err := b.start(b.started); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(uint64(b.started.UnixNano()), gooseberrymast.RendezvousScore(0, b.Settings.Peers)))
	b.steerer = steerer.Steerer{
		Self: b.Settings.Peers, Zone: b.Settings.Zone, Roster: &b.roster, Owners: &b.owners, Random: random,
		PlacesByWork: b.Placement.Mode == gooseberrymast.RuleOn || b.Placement.Mode == gooseberrymast.RuleAuto,
	}
	b.onRoutes = func(routes *gooseberrymast.Routes) { b.steerer.SetRoutes(routes) }
	b.onEvacuated = b.steerer.SetEvacuated
	b.onFlowOwners = func(owner gooseberrymast.Endpoint, keys []gooseberrymast.FlowKey, now time.Time) {
		for _, key := range keys {
			b.owners.Record(key, owner, now)
		}
	}
	b.entriesWanted, b.kept = make(chan struct{}, 1), make(chan struct{}, 1)
	var err error
	if b.ingress, err = listenUDP(b.Settings.Packets); err != nil {
		return err
	}
	stopReadiness, err := serveHTTP(b.Settings.Readiness, readiness(b.Ready), b.Log)
	if err != nil {
		return err
	}
	defer stopReadiness()
	b.countOwners = b.owners.Len
	b.countPlaced = b.steerer.Placed
	b.served = b.settledEra
	b.setUpFlowArchive()
	defer b.serveMetrics()()
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go b.receiveFromPeers(b.handlePeerPacket)
	go b.receiveFromFabric()
	go b.register(workCtx)
	go b.concludeWalks(workCtx)
	go tickWhileKept(workCtx, b.Timer, b.kept, b.repeatSearches)
	stops := []func(){
		b.startFlowArchive(workCtx),
		b.Timer.Every(documentPollInterval, func(time.Time) { b.confirmDocument(workCtx) }),
		b.Timer.Every(documentPollInterval, func(time.Time) { b.pollEvacuations(workCtx) }),
		b.Timer.Every(expireInterval, func(now time.Time) { b.expire(workCtx, now) }),
		b.Timer.Every(relayer.TickInterval, b.sendSummary),
		b.Timer.Every(roster.MarkerInterval, b.sendMarker),
		b.Timer.Every(verifyInterval, func(time.Time) { _ = b.verifyEntry(workCtx) }),
		b.Timer.Every(eraCheckInterval, func(time.Time) { b.verifyAfterRestore(workCtx) }),
		b.Timer.Every(eraCheckInterval, func(now time.Time) { b.handleSettledEra(workCtx, now) }),
	}
	go b.reportPeriodically(workCtx, balancerReportInterval)
	b.Log.Info(gooseberrymast.EventStarted).Str("role", "balancer").Str("zone", b.Settings.Zone).Str("build", buildName()).Msg("")
	<-ctx.Done()
	b.drain()
	for _, stop := range stops {
		stop()
	}
	b.Log.Info(gooseberrymast.EventStopped).Msg("")
	return errors.Join(b.ingress.Close(), b.conn.Close())
}

// Ready reports whether the fabric may send packets to the balancer: it has a
// usable document, knows which zones are evacuated, receives reports of agents and
// isn't leaving.
func (b *Balancer) Ready() bool {
	agents := 0
	now := b.Timer.Now()
	b.roster.Each(func(entry roster.Entry) {
		if entry.Role == gooseberrymast.RoleAgent && entry.Reporting(now) {
			agents++
		}
	})
	routes := b.steerer.Routes()
	ready := !b.leaving.Load() && routes != nil && agents > 0 && b.hasUsableDocument(now) && b.hasUsableEvacuations(now)
	if b.ready.Swap(ready) != ready {
		b.Log.Info(gooseberrymast.EventReadinessChanged).Bool("ready", ready).Bool("leaving", b.leaving.Load()).
			Uint64("version", routesVersion(routes)).Int("agents-heard", agents).Msg("")
	}
	if ready {
		b.setState(gooseberrymast.StateReady, "")
	}
	return ready
}

// hasUsableDocument reports whether the balancer has, at any time since it started,
// had a document that was known to be recent, or any document after
// confirmer.MaxJoinWait. It keeps using that document while the store is
// unavailable.
func (b *Balancer) hasUsableDocument(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.documentUsable = b.documentUsable || b.confirmer.Usable(now, now.Sub(b.started))
	return b.documentUsable
}

// drain reports the departure to peers and waits until the fabric stops sending.
func (b *Balancer) drain() {
	began := b.Timer.Now()
	b.leaving.Store(true)
	b.setState(gooseberrymast.StateLeaving, "")
	b.triggerReport()
	b.Log.Info(gooseberrymast.EventStopping).Msg("")
	const checkInterval = 100 * time.Millisecond
	for {
		sleep(context.Background(), b.Timer, checkInterval)
		now := b.Timer.Now()
		waited := now.Sub(began)
		idle := now.Sub(b.started) - time.Duration(b.lastPacket.Load())
		if waited >= b.Settings.StopWithin-stopReserve || waited >= minStopTime && idle >= minStopIdleTime {
			return
		}
	}
}

// receiveFromFabric forwards the packets of callers until the socket is closed.
func (b *Balancer) receiveFromFabric() {
	packet := make([]byte, maxDatagram)
	datagram := make([]byte, 0, maxDatagram)
	steps := make([]steerer.Step, 0, 8)
	for {
		n, _, err := b.ingress.ReadFromUDPAddrPort(packet)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			b.Log.Warn(gooseberrymast.EventReceiveFailed).Err(err).Msg("reading from the fabric failed")
			continue
		}
		header, err := b.Codec.Decode(packet[:n])
		if err != nil {
			b.Log.Warn(gooseberrymast.EventPacketMalformed).Int("bytes", n).Msg("")
			continue
		}
		now := b.Timer.Now()
		b.lastPacket.Store(int64(now.Sub(b.started)))
		steps = b.steerer.FromCaller(steps[:0], header, now)
		datagram = b.execute(steps, header, packet[:n], datagram)
	}
}

// handlePeerPacket processes a packet that a peer forwarded.
func (b *Balancer) handlePeerPacket(received []byte, sender gooseberrymast.Endpoint, now time.Time) {
	hop, packet, err := wrapper.Split(received)
	if err != nil {
		b.Log.Warn(gooseberrymast.EventPacketMalformed).Stringer("peer", sender.AddrPort()).Err(err).Msg("")
		return
	}
	header, err := b.Codec.Decode(packet)
	if err != nil {
		b.Log.Warn(gooseberrymast.EventPacketMalformed).Stringer("peer", sender.AddrPort()).Err(err).Msg("")
		return
	}
	steps := b.steerer.FromPeer(nil, header, hop, sender, now)
	b.execute(steps, header, packet, nil)
}

// execute carries out the steps decided for a packet. It returns the buffer, which
// may have grown.
func (b *Balancer) execute(steps []steerer.Step, header gooseberrymast.PacketHeader, packet, buffer []byte) []byte {
	for _, step := range steps {
		switch step.Action {
		case steerer.Forward:
			buffer = append(wrapper.Append(buffer[:0], step.Hop), packet...)
			b.write(b.conn, buffer, step.To)
		case steerer.Reset:
			buffer = b.Codec.AppendReset(buffer[:0], step.CallerHeader)
			b.write(b.conn, buffer, callerEndpoint(step.CallerHeader.Source, b.Settings))
		case steerer.ReadEntries:
			wake(b.entriesWanted)
		}
		if step.Search != 0 && b.steerer.Keep(step.Search, packet) {
			wake(b.kept)
		}
		b.recordStep(step, header)
	}
	return buffer
}

// callerEndpoint returns the endpoint at which a caller receives packets: its own
// address and the packet port that all instances use.
func callerEndpoint(caller gooseberrymast.Endpoint, settings gooseberrymast.InstanceSettings) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: caller.IP, Port: settings.Packets.Port}
}

func (b *Balancer) expire(ctx context.Context, now time.Time) {
	b.owners.Expire(now)
	b.steerer.Expire(now)
	dropped := b.roster.Expire(now)
	for _, entry := range dropped {
		b.Log.Info(gooseberrymast.EventPeerForgotten).Stringer("peer", entry.Endpoint.AddrPort()).Msg("")
	}
	// A balancer that receives few agents' reports is probably cut off itself, so
	// it removes nothing.
	if len(dropped) > 0 && b.steerer.HasMostReports(now) {
		b.removeStaleEntries(ctx, dropped)
	}
}

// serveHTTP serves HTTP at an address until the returned function is called.
func serveHTTP(address gooseberrymast.Endpoint, handler http.Handler, log *journaler.Journaler) (stop func(), err error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on TCP %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error(gooseberrymast.EventServeFailed).Str("address", address.String()).Err(err).Msg("")
		}
	}()
	return func() {
		if err := server.Close(); err != nil {
			log.Warn(gooseberrymast.EventServeFailed).Err(err).Msg("")
		}
	}, nil
}

const (
	// readHeaderTimeout bounds the wait for a request's header on a connection.
	readHeaderTimeout = 2 * time.Second
	// idleTimeout closes idle connections. It spans several intervals of the
	// platform's readiness checks and of announcements.
	idleTimeout = 15 * time.Second
)
