package deliverer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/tracker"
)

// holdingGate holds every flow until release is set, and records what it is told.
type holdingGate struct {
	recordingGate
	release  gooseberrymast.GateVerdict
	releases bool
	evict    gooseberrymast.FlowKey
	held     []gooseberrymast.FlowKey
	events   []string
}

func (g *holdingGate) Hold(offer gooseberrymast.FlowOffer, _ time.Time) (gooseberrymast.FlowKey, bool) {
	g.held = append(g.held, offer.Key)
	return g.evict, !g.evict.Caller.IsZero()
}

func (g *holdingGate) Release(time.Time) []gooseberrymast.HeldDecision {
	if !g.releases || len(g.held) == 0 {
		return nil
	}
	decided := gooseberrymast.HeldDecision{Key: g.held[0], Decision: gooseberrymast.GateDecision{Verdict: g.release, Reason: "admission-hold-ended", Definite: true}}
	g.held = g.held[1:]
	return []gooseberrymast.HeldDecision{decided}
}

func (g *holdingGate) Unhold(gooseberrymast.FlowKey) { g.events = append(g.events, "unhold") }
func (g *holdingGate) FlowOpened(gooseberrymast.FlowKey, time.Time) {
	g.events = append(g.events, "opened")
}
func (g *holdingGate) FlowClosed(gooseberrymast.FlowKey) { g.events = append(g.events, "closed") }
func (g *holdingGate) RequestBegan(gooseberrymast.FlowKey, time.Time) {
	g.events = append(g.events, "began")
}
func (g *holdingGate) RequestEnded(gooseberrymast.FlowKey, time.Time) {
	g.events = append(g.events, "ended")
}
func (g *holdingGate) RequestShed(gooseberrymast.FlowKey, time.Time) {
	g.events = append(g.events, "shed")
}
func (g *holdingGate) State(time.Time) gooseberrymast.AdmissionState {
	return gooseberrymast.AdmissionState{}
}

var crowded = Server{Status: tracker.Ready, Service: "ledger", Slots: 2, Admission: true}

// newHolding returns a deliverer that holds the packet of opening, and its gate.
func newHolding(t *testing.T, hop gooseberrymast.Hop) (*Deliverer, *holdingGate) {
	t.Helper()
	gate := &holdingGate{recordingGate: recordingGate{decision: gooseberrymast.GateDecision{Verdict: gooseberrymast.GateHold, Reason: "admission-queue-full", Definite: true}}}
	d := &Deliverer{Admission: gate}
	step := d.FromPeer(opening(), hop, crowded, routes, epoch)
	if step.Action != Hold {
		t.Fatalf("got action %d, want Hold", step.Action)
	}
	if refused := d.Hold(opening(), step.Hop, []byte("packet"), crowded, routes, epoch); len(refused) != 0 {
		t.Fatalf("refused: %v", refused)
	}
	return d, gate
}

// A held packet must reach the server unchanged once the gate admits it, and be counted
// as taken then and not before.
func TestHeldPacketIsReleased(t *testing.T) {
	is := is.New(t)
	d, gate := newHolding(t, placeHop())
	is.Equal(len(d.Release(crowded, routes, epoch.Add(5*time.Millisecond))), 0)
	flows, _ := d.Load()
	is.Equal(flows, 0)
	is.Equal(gate.taken, 0)
	gate.releases = true
	released := d.Release(crowded, routes, epoch.Add(20*time.Millisecond))
	is.Equal(len(released), 1)
	is.Equal(released[0].Step.Action, ToServer)
	is.Equal(released[0].Step.Event, FlowTaken)
	is.Equal(string(released[0].Packet), "packet")
	is.Equal(released[0].Held, 20*time.Millisecond)
	is.Equal(gate.taken, 1)
	is.Equal(d.HeldCount(), 0)
}

// A held packet must not reach the server once its caller may have sent a copy that
// opened the flow elsewhere, nor stay when nobody is to release it, nor be refused in a
// way that resets a flow which may be open.
func TestHeldPacketThatCannotWait(t *testing.T) {
	tests := []struct {
		name   string
		server Server
		leave  bool
		after  time.Duration
		hop    gooseberrymast.Hop
		action Action
		to     gooseberrymast.Endpoint
		reason Reason
	}{
		{"the agent was paused", crowded, false, 151 * time.Millisecond, placeHop(next), Drop, gooseberrymast.Endpoint{}, ReasonHeldTooLong},
		{"the agent stops", crowded, true, time.Millisecond, placeHop(next), Forward, next, ReasonAgentLeaving},
		{"the agent stops, no other candidate", crowded, true, time.Millisecond, placeHop(), Forward, balancer, ReasonAgentLeaving},
		{"the server leaves", Server{Status: tracker.Leaving, Service: "ledger", Slots: 2, Admission: true}, false, time.Millisecond,
			placeHop(next), Forward, next, ReasonServerLeaving},
		{"the server is silent and may yet take a copy", Server{Status: tracker.Silent, Service: "ledger", Slots: 2, Admission: true}, false,
			time.Millisecond, placeHop(), Drop, gooseberrymast.Endpoint{}, ReasonServerSilent},
		{"the zone is evacuated", Server{Status: tracker.Ready, Service: "ledger", Slots: 2, Admission: true, Evacuated: true}, false,
			time.Millisecond, placeHop(next), Forward, next, ReasonZoneEvacuated},
		{"admission no longer applies", ledger, false, time.Millisecond, placeHop(next), Forward, next, ReasonServerFull},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d, gate := newHolding(t, test.hop)
			if test.leave {
				d.Leave()
			}
			released := d.Release(test.server, routes, epoch.Add(test.after))
			is.Equal(len(released), 1)
			is.Equal(released[0].Step.Action, test.action)
			is.Equal(released[0].Step.To, test.to)
			is.Equal(released[0].Step.Reason, test.reason)
			is.Equal(d.HeldCount(), 0)
			is.Equal(gate.events, []string{"unhold"})
		})
	}
}

// A refusal by the gate is passed on, and as the last one it reaches the balancer at once.
func TestHeldPacketIsRefused(t *testing.T) {
	is := is.New(t)
	d, gate := newHolding(t, placeHop())
	gate.releases, gate.release = true, gooseberrymast.GatePassOn
	released := d.Release(crowded, routes, epoch.Add(140*time.Millisecond))
	is.Equal(len(released), 1)
	is.Equal(released[0].Step.To, balancer)
	is.Equal(released[0].Step.Hop.Mode, gooseberrymast.HopAbsent)
	is.True(released[0].Step.Hop.Definite)
}

// A limit of another gate that was used up meanwhile must hold for held packets, too.
func TestHeldPacketIsOfferedToOtherGatesAgain(t *testing.T) {
	is := is.New(t)
	d, gate := newHolding(t, placeHop(next))
	d.Gates = []gooseberrymast.FlowGate{&recordingGate{decision: gooseberrymast.GateDecision{
		Verdict: gooseberrymast.GatePassOn, Reason: "some-limit", Definite: true,
	}}}
	gate.releases = true
	released := d.Release(crowded, routes, epoch.Add(time.Millisecond))
	is.Equal(len(released), 1)
	is.Equal(released[0].Step.To, next)
	is.Equal(released[0].Step.Reason, Reason("some-limit"))
	is.Equal(gate.taken, 0)
}

// A duplicate of a packet that was held and refused must not open the flow while its
// balancer may reset it.
func TestDuplicateOfRefusedHeldPacket(t *testing.T) {
	is := is.New(t)
	d, gate := newHolding(t, placeHop())
	gate.releases, gate.release = true, gooseberrymast.GatePassOn
	d.Release(crowded, routes, epoch.Add(80*time.Millisecond))
	gate.decision = gooseberrymast.GateDecision{}
	step := d.FromPeer(opening(), placeHop(next), crowded, routes, epoch.Add(81*time.Millisecond))
	is.Equal(step.Reason, ReasonRefusedBefore)
}

// A copy that the network made must not be held twice; one that the caller sent after its
// timeout is decided on anew, since the flow may be open elsewhere.
func TestCopyOfHeldPacket(t *testing.T) {
	is := is.New(t)
	d, gate := newHolding(t, placeHop())
	step := d.FromPeer(opening(), placeHop(), crowded, routes, epoch.Add(time.Millisecond))
	is.Equal(step.Action, Drop)
	is.Equal(step.Reason, ReasonHeld)
	is.Equal(d.Hold(opening(), placeHop(), nil, crowded, routes, epoch), nil)
	is.Equal(d.HeldCount(), 1)
	again := opening()
	again.Copy = 1
	gate.decision = gooseberrymast.GateDecision{}
	is.Equal(d.FromPeer(again, placeHop(), crowded, routes, epoch.Add(199*time.Millisecond)).Action, ToServer)
	is.Equal(d.HeldCount(), 0)
}

// The packets held must stay bounded whatever the gate holds.
func TestHeldPacketsAreBounded(t *testing.T) {
	for _, test := range []struct {
		name  string
		bytes int
		want  int
	}{
		{"by number", 60, maxHeldPackets},
		{"by bytes", 1200, maxHeldBytes / 1200},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := &Deliverer{Admission: &holdingGate{}}
			for port := range uint16(200) {
				header := opening()
				header.Source.Port = 1000 + port
				refused := d.Hold(header, placeHop(next), make([]byte, test.bytes), crowded, routes, epoch)
				is.Equal(len(refused), map[bool]int{true: 0, false: 1}[int(port) < test.want])
				for _, r := range refused {
					is.Equal(r.Step.To, next)
				}
			}
			is.Equal(d.HeldCount(), test.want)
		})
	}
}

// A flow that gives way to others is refused at once.
func TestHeldPacketGivesWay(t *testing.T) {
	is := is.New(t)
	d, gate := newHolding(t, placeHop())
	gate.evict = key
	header := opening()
	header.Source.Port++
	refused := d.Hold(header, placeHop(), nil, crowded, routes, epoch)
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Key, key)
	is.Equal(refused[0].Step.Reason, ReasonGaveWay)
	is.Equal(d.HeldCount(), 1)
}

// A gate that can't hold packets must not make the deliverer keep one.
func TestHoldWithoutAdmission(t *testing.T) {
	is := is.New(t)
	d := &Deliverer{Gates: []gooseberrymast.FlowGate{&recordingGate{decision: gooseberrymast.GateDecision{Verdict: gooseberrymast.GateHold}}}}
	step := d.FromPeer(opening(), placeHop(next), crowded, routes, epoch)
	is.Equal(step.Action, Forward)
	is.Equal(step.To, next)
}

// The gate must know each flow and request of the server, also those that it has not
// admitted, or it counts requests that have ended.
func TestGateLearnsOfRequests(t *testing.T) {
	is := is.New(t)
	gate := &holdingGate{}
	d := &Deliverer{Admission: gate}
	d.FromPeer(opening(), placeHop(), ledger, routes, epoch)
	d.FromServer(answer(0), epoch)
	d.FromPeer(request(1), walkHop(), ledger, routes, epoch)
	d.FromServer(answer(100), epoch)
	d.HandleShed(key, epoch)
	d.FromPeer(request(101), walkHop(), ledger, routes, epoch)
	d.DropFlows()
	is.Equal(gate.events, []string{"opened", "began", "ended", "shed", "began", "closed"})
	is.Equal(len(gate.offers), 0) // the gate is not in force at this server
}
