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
	"gooseberrymast/coordination/steerer"
	"gooseberrymast/protocol/wrapper"
	"gooseberrymast/state/roster"
	"gooseberrymast/transport/journaler"
)

const (
	// balancerReports is the time between two reports of a balancer. The
	// documents' age travels with them, so it is well below confirmer.Interval.
	balancerReports = 400 * time.Millisecond
	// expireInterval is the time between two sweeps of what is out of date.
	expireInterval = 2 * time.Second
	// idleBeforeStop is the time without a packet of a caller after which a
	// balancer that is being stopped has been taken out by the fabric.
	idleBeforeStop = 600 * time.Millisecond
	// minStop is how long a balancer that is being stopped goes on at least: the
	// fabric asks twice a second and takes it out after two misses.
	minStop = 1200 * time.Millisecond
	// stopReserve is left of the time before the kill.
	stopReserve = 700 * time.Millisecond
)

// Balancer forwards the packets that the fabric hands to an instance.
type Balancer struct {
	member
	steerer  steerer.Steerer
	owned    locator.Locator
	ingress  *net.UDPConn
	leaving  atomic.Bool
	lastSeen atomic.Int64
	started  time.Time
	ready    atomic.Bool
	// usable is set once the document in force was known to be recent. The
	// member's lock guards it.
	usable bool
}

// NewBalancer makes a balancer.
func NewBalancer(environment Environment) *Balancer {
	return &Balancer{member: member{Environment: environment}}
}

// Run forwards packets until the context ends, and then until the fabric sends
// no more.
func (b *Balancer) Run(ctx context.Context, readiness func(ready func() bool) http.Handler) error {
	b.started = b.Timer.Now()
	if err := b.start(b.started); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(uint64(b.started.UnixNano()), gooseberrymast.RendezvousScore(0, b.Settings.Peers)))
	b.steerer = steerer.Steerer{
		Self: b.Settings.Peers, Zone: b.Settings.Zone, Started: b.started, Roster: &b.roster, Owners: &b.owned, Random: random,
	}
	b.adopt = func(routes *gooseberrymast.Routes) { b.steerer.SetRoutes(routes) }
	b.owners = func(owner gooseberrymast.Endpoint, held []gooseberrymast.FlowKey, now time.Time) {
		for _, key := range held {
			b.owned.Learn(key, owner, now)
		}
	}
	var err error
	if b.ingress, err = listen(b.Settings.Packets); err != nil {
		return err
	}
	stopServing, err := serve(b.Settings.Readiness, readiness(b.Ready), b.Log)
	if err != nil {
		return err
	}
	defer stopServing()
	b.flowOwners = b.owned.Len
	defer b.serveMetrics()()
	working, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go b.receive(b.fromPeer)
	go b.fromFabric()
	go b.register(working)
	stops := []func(){
		b.Timer.Every(pollInterval, func(time.Time) { b.confirm(working) }),
		b.Timer.Every(expireInterval, func(now time.Time) { b.expire(working, now) }),
		b.Timer.Every(verifyInterval, func(time.Time) { b.verifyEntry(working) }),
	}
	go b.reportAll(working)
	b.Log.Info(gooseberrymast.EventStarted).Str("role", "balancer").Str("zone", b.Settings.Zone).Msg("")
	<-ctx.Done()
	b.leave()
	for _, stop := range stops {
		stop()
	}
	b.Log.Info(gooseberrymast.EventStopped).Msg("")
	return errors.Join(b.ingress.Close(), b.conn.Close())
}

// Ready reports whether the fabric may hand packets to the balancer: it holds
// a document whose age it knew when it began, and hears agents.
func (b *Balancer) Ready() bool {
	agents := 0
	now := b.Timer.Now()
	b.roster.Each(func(entry roster.Entry) {
		if entry.Role == gooseberrymast.RoleAgent && entry.Alive(now) {
			agents++
		}
	})
	routes := b.steerer.Routes()
	ready := !b.leaving.Load() && routes != nil && agents > 0 && b.began(now)
	if b.ready.Swap(ready) != ready {
		b.Log.Info(gooseberrymast.EventReadinessChanged).Bool("ready", ready).Bool("leaving", b.leaving.Load()).
			Uint64("version", versionOf(routes)).Int("agents-heard", agents).Msg("")
	}
	if ready {
		b.change(gooseberrymast.StateReady, "")
	}
	return ready
}

// began reports whether the balancer has held a document of a known age since
// it started. It goes on by the same one while the store is away.
func (b *Balancer) began(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usable = b.usable || b.confirmer.Usable(now, now.Sub(b.started))
	return b.usable
}

// leave announces the departure and waits until the fabric sends no more.
func (b *Balancer) leave() {
	began := b.Timer.Now()
	b.leaving.Store(true)
	b.change(gooseberrymast.StateLeaving, "")
	b.notify()
	b.Log.Info(gooseberrymast.EventStopping).Msg("")
	const look = 100 * time.Millisecond
	for {
		sleep(context.Background(), b.Timer, look)
		now := b.Timer.Now()
		waited := now.Sub(began)
		quiet := now.Sub(b.started) - time.Duration(b.lastSeen.Load())
		if waited >= b.Settings.StopWithin-stopReserve || waited >= minStop && quiet >= idleBeforeStop {
			return
		}
	}
}

// fromFabric forwards the packets of callers until the socket is closed.
func (b *Balancer) fromFabric() {
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
			b.Log.Warn(gooseberrymast.EventPacketBad).Int("bytes", n).Msg("")
			continue
		}
		now := b.Timer.Now()
		b.lastSeen.Store(int64(now.Sub(b.started)))
		steps = b.steerer.FromCaller(steps[:0], header, now)
		datagram = b.carryOut(steps, header, packet[:n], datagram)
	}
}

// fromPeer handles a packet that a peer forwarded.
func (b *Balancer) fromPeer(received []byte, sender gooseberrymast.Endpoint, now time.Time) {
	hop, packet, err := wrapper.Split(received)
	if err != nil {
		b.Log.Warn(gooseberrymast.EventPacketBad).Stringer("peer", sender.AddrPort()).Err(err).Msg("")
		return
	}
	header, err := b.Codec.Decode(packet)
	if err != nil {
		b.Log.Warn(gooseberrymast.EventPacketBad).Stringer("peer", sender.AddrPort()).Err(err).Msg("")
		return
	}
	steps := b.steerer.FromPeer(nil, header, hop, sender, now)
	b.carryOut(steps, header, packet, nil)
}

// carryOut does what was decided on a packet. It returns the buffer that it
// used.
func (b *Balancer) carryOut(steps []steerer.Step, header gooseberrymast.PacketHeader, packet, buffer []byte) []byte {
	for _, step := range steps {
		switch step.Action {
		case steerer.Forward:
			buffer = append(wrapper.Append(buffer[:0], step.Hop), packet...)
			b.write(b.conn, buffer, step.To)
		case steerer.Reset:
			buffer = b.Codec.AppendReset(buffer[:0], step.Of)
			b.write(b.conn, buffer, callerEndpoint(step.Of.Source, b.Settings))
		}
		b.record(step, header)
	}
	return buffer
}

// callerEndpoint gives where a caller receives packets: at its address, at the
// port that all instances use for packets.
func callerEndpoint(caller gooseberrymast.Endpoint, settings gooseberrymast.InstanceSettings) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: caller.IP, Port: settings.Packets.Port}
}

// reportAll reports to all peers at each interval, and sooner when there is
// news.
func (m *member) reportAll(ctx context.Context) {
	m.reportEach(ctx, balancerReports, func() []roster.Entry { return m.roster.Entries(notGone) })
}

func notGone(entry roster.Entry) bool {
	return entry.State != gooseberrymast.StateGone
}

// reportEach reports to the peers that to gives, at each interval and sooner
// when there is news.
func (m *member) reportEach(ctx context.Context, interval time.Duration, to func() []roster.Entry) {
	cancel := m.Timer.Every(interval, func(time.Time) { m.notify() })
	defer cancel()
	for {
		m.reportTo(to(), m.Timer.Now())
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
	}
}

func (b *Balancer) expire(ctx context.Context, now time.Time) {
	b.owned.Expire(now)
	b.steerer.Expire(now)
	dropped := b.roster.Expire(now)
	for _, entry := range dropped {
		b.Log.Info(gooseberrymast.EventPeerForgotten).Stringer("peer", entry.Endpoint.AddrPort()).Msg("")
	}
	// A balancer that hears few agents takes itself for the one that is cut off.
	if len(dropped) > 0 && b.steerer.HearsMost(now) {
		b.removeEntries(ctx, dropped)
	}
}

// serve answers HTTP at an endpoint until the returned function is called.
func serve(at gooseberrymast.Endpoint, handler http.Handler, log *journaler.Journaler) (stop func(), err error) {
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, fmt.Errorf("listen on TCP %s: %w", at, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error(gooseberrymast.EventServeFailed).Str("address", at.String()).Err(err).Msg("")
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
	// idleTimeout closes connections that went silent: several intervals of the
	// platform's questions and of announcements.
	idleTimeout = 15 * time.Second
)
