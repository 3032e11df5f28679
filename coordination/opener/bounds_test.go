package opener_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/opener"
)

var (
	self = identity(1)
	now  = time.Unix(0, 0)
)

// packetToSelf returns a packet whose first home and first taker are the agent.
func packetToSelf(key uint64) *opener.Packet {
	return &opener.Packet{
		Key:    key,
		Takers: [2]gooseberrymast.Identity{self, identity(2)},
		Homes:  [2]gooseberrymast.Identity{self},
	}
}

func TestHalfOpenLimit(t *testing.T) {
	is := is.New(t)
	agent := opener.Opener{Self: self, MaxHalfOpen: 2}
	is.Equal(agent.FirstPacket(packetToSelf(1), false, now).Verdict, opener.VerdictTake)
	is.Equal(agent.FirstPacket(packetToSelf(2), false, now).Verdict, opener.VerdictTake)
	is.Equal(agent.FirstPacket(packetToSelf(3), false, now).Peer, identity(2)) // a full agent passes on
	alone := packetToSelf(4)
	alone.Takers[1] = gooseberrymast.Identity{}
	is.Equal(agent.FirstPacket(alone, false, now).Reason, opener.ReasonHalfOpen)
	agent.Complete(1)
	is.Equal(agent.HalfOpen(), 1)
	is.Equal(agent.FirstPacket(alone, false, now).Verdict, opener.VerdictTake)
	is.Equal(agent.FirstPacket(packetToSelf(1), true, now).Verdict, opener.VerdictTake) // a retransmission stays
}

func TestFlowsExpire(t *testing.T) {
	is := is.New(t)
	agent := opener.Opener{Self: self, Lifetime: time.Second}
	agent.FirstPacket(packetToSelf(1), false, now)
	agent.FirstPacket(packetToSelf(2), true, now.Add(500*time.Millisecond))
	agent.Expire(now.Add(time.Second))
	is.Equal(agent.Flows(), 1)
	is.Equal(agent.HalfOpen(), 0)
	agent.Expire(now.Add(2 * time.Second))
	is.Equal(agent.Flows(), 0)
}

func TestRecordedFlowsAreBounded(t *testing.T) {
	is := is.New(t)
	agent := opener.Opener{Self: self, MaxFlows: 10}
	for key := range uint64(1000) {
		agent.FirstPacket(packetToSelf(key), key%2 == 0, now)
	}
	is.Equal(agent.Flows(), 10)
	is.True(agent.HalfOpen() <= 10)
}

// A home must turn from a suspect taker to the other one, even for flows that it
// had passed to the suspect, and must not pass packets to a suspect home.
func TestSuspectsGetNoPackets(t *testing.T) {
	is := is.New(t)
	first, second := identity(2), identity(3)
	agent := opener.Opener{Self: self}
	packet := opener.Packet{
		Key:    1,
		Takers: [2]gooseberrymast.Identity{first, second},
		Homes:  [2]gooseberrymast.Identity{self},
	}
	is.Equal(agent.FirstPacket(&packet, false, now).Peer, first)
	agent.SetSuspects([]gooseberrymast.Identity{first, identity(4)})
	is.Equal(agent.FirstPacket(&packet, false, now).Peer, second)
	packet.Key = 2
	packet.Homes[1] = identity(4)
	is.Equal(agent.FirstPacket(&packet, false, now).Peer, second)
	agent.SetSuspects(nil)
	is.Equal(agent.FirstPacket(&packet, false, now).Peer, second) // the flow keeps its taker
	packet.Key = 3
	is.Equal(agent.FirstPacket(&packet, false, now).Peer, identity(4))
}

func TestPacketOfAnotherHomeIsDropped(t *testing.T) {
	is := is.New(t)
	agent := opener.Opener{Self: identity(3)}
	decision := agent.FirstPacket(packetToSelf(1), false, now)
	is.Equal(decision.Reason, opener.ReasonNotNamed)
}

// In a rolling update the agent to which the first packet of a handshake was
// passed ends before it answers. The flow must then go to the second taker.
func TestFlowOfDepartedTakerGoesToSecondTaker(t *testing.T) {
	is := is.New(t)
	self, first, second := identity(1), identity(2), identity(3)
	agent := opener.Opener{Self: self}
	agent.SetMembers([]gooseberrymast.Identity{self, first, second}, now)
	packet := opener.Packet{
		Key:    1,
		Takers: [2]gooseberrymast.Identity{first, second},
		Homes:  [2]gooseberrymast.Identity{self},
	}
	is.Equal(agent.FirstPacket(&packet, false, now).Peer, first)
	agent.SetMembers([]gooseberrymast.Identity{self, second}, now)
	is.Equal(agent.FirstPacket(&packet, false, now).Peer, second)
	packet.Key = 2 // a new flow that a balancer with an older table sent
	is.Equal(agent.FirstPacket(&packet, false, now).Peer, second)

	agent.SetMembers([]gooseberrymast.Identity{self, first, second}, now)
	packet.Key = 3
	is.Equal(agent.FirstPacket(&packet, false, now).Peer, first) // it is a member again
	packet.Key = 4
	packet.Takers[0] = identity(9) // a member that is not in the agent's table yet
	is.Equal(agent.FirstPacket(&packet, false, now).Peer, identity(9))
}
