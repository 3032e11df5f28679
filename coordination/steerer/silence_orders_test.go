package steerer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gooseberrymast"
)

// A packet reaches its server in time, whichever other parties on its way are silent: servers
// that have crashed or hang, instances that are frozen or cut off, and balancers. Before, most
// processes restart as planned, so that the owners of flows have to be searched for:
//
//	go test ./coordination/steerer -run TestPacketsPassSilentParties -rapid.checks 10000 -rapid.seed 3
func TestPacketsPassSilentParties(t *testing.T) {
	setRapidDefaults(t, map[string]string{"rapid.checks": "300", "rapid.seed": "4", "rapid.nofailfile": "true"})
	sent := 0
	rapid.Check(t, func(t *rapid.T) {
		o := playSilence(t)
		if o.missed != (gooseberrymast.FlowKey{}) {
			t.Fatalf("seed %d: a packet of %v did not reach its server in %v\n%s", o.seed, o.missed, reachesWithin, o.traceOf(o.missed))
		}
		if len(o.broken) > 0 {
			t.Fatalf("seed %d: reset although its server holds it: %v\n%s", o.seed, o.broken, o.traceOf(o.broken[0]))
		}
		sent += o.sent
	})
	t.Logf("%d packets sent", sent)
	if sent == 0 {
		t.Fatal("no packet was sent")
	}
}

// silence is a play in which some parties fall silent at the same time.
type silence struct {
	*order
	sent   int
	missed gooseberrymast.FlowKey
}

// The ways in which an agent's instance falls silent.
const (
	speaks = iota
	serverCrashes
	serverHangs
	instanceStops
)

// playSilence plays a silence that it draws, up to the first packet that misses its server.
func playSilence(t *rapid.T) *silence {
	o := &silence{order: newOrder(rapid.Uint64().Draw(t, "seed"))}
	o.changeDocument("ledger", "receipts")
	for range rapid.IntRange(0, 4).Draw(t, "agents") {
		o.addAgentOf("ledger", o.zoneOf(rapid.IntRange(0, 3).Draw(t, "zone")))
		o.announce(o.agents[len(o.agents)-1])
	}
	o.rest(2 * time.Second)
	o.openFlows(rapid.IntRange(4, 12).Draw(t, "flows"))
	if rapid.Bool().Draw(t, "agents-restart") {
		for _, a := range o.agents {
			o.restartAgent(a)
		}
	}
	for i, b := range o.balancers {
		if i != rapid.IntRange(0, 11).Draw(t, "spared") {
			o.rest(balancerDrain)
			o.startBalancer(b)
		}
	}
	o.rest(stableWindow + tick)
	o.pass(time.Duration(rapid.IntRange(0, 7).Draw(t, "offset"))*tick/8, nil)
	o.fallSilent(t)
	o.pass(time.Duration(rapid.IntRange(0, 20).Draw(t, "since"))*tick/8, nil)
	by := slices.DeleteFunc(slices.Clone(o.balancers), func(b *balancerModel) bool { return o.now.Before(b.pausedUntil) })
	for range rapid.IntRange(0, 3).Draw(t, "opened") {
		o.ports++
		o.opens(rapid.Permutation(by).Draw(t, "opened-by")[:1+len(by)/2], o.ports)
	}
	for range rapid.IntRange(1, 8).Draw(t, "packets") {
		key := flowOf(rapid.Uint16Range(1, o.ports).Draw(t, "flow"))
		own := o.ownServer(key)
		if own == nil || own.server.silent || o.now.Before(own.downUntil) {
			continue
		}
		o.sent++
		if !o.reaches(rapid.SampledFrom(by).Draw(t, "by"), key) {
			o.missed = key
			return o
		}
	}
	return o
}

// fallSilent silences some servers, instances and balancers.
func (o *silence) fallSilent(t *rapid.T) {
	silentFor := o.now.Add(time.Minute)
	for _, a := range o.agents {
		switch rapid.SampledFrom([]int{speaks, speaks, serverCrashes, serverHangs, instanceStops}).Draw(t, "agent") {
		case serverCrashes:
			o.startServer(a)
			a.server.silent = true
		case serverHangs:
			o.log(gooseberrymast.FlowKey{}, "server of %s hangs", a.self.Endpoint)
			a.server.silent = true
		case instanceStops:
			o.log(gooseberrymast.FlowKey{}, "instance %s is frozen or cut off", a.self.Endpoint)
			a.downUntil = silentFor
		}
	}
	// One balancer gets the callers' packets in any case.
	for _, b := range o.balancers[1:] {
		if rapid.IntRange(0, 3).Draw(t, "balancer") == 0 {
			o.log(gooseberrymast.FlowKey{}, "balancer %s is frozen or cut off", b.self.Endpoint)
			b.pausedUntil = silentFor
		}
	}
}

// The same seed plays the same silence.
func TestPacketsPassSilentPartiesRepeats(t *testing.T) {
	is := is.New(t)
	plays := rapid.Custom(func(t *rapid.T) string { return playSilence(t).wholeTrace() })
	for seed := range 20 {
		is.Equal(plays.Example(seed), plays.Example(seed))
	}
}
