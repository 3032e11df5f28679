// Package placer chooses the agent of a service that a request is handed over
// to: the better of two random ones, the own availability zone first.
package placer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"gooseberrymast"
)

// The constants of placement.
const (
	// LoadAge is the time for which a reported load is believed.
	LoadAge = 200 * time.Millisecond
	// MaxProbes bounds the requests under way to peers of unknown load.
	MaxProbes = 2
	// Samples bounds the peers looked at for one choice.
	Samples = 16
	// CrossingTime is the cost of a way to another availability zone and back.
	CrossingTime = 8 * time.Millisecond
)

// Need describes the request to place.
type Need struct {
	// Must is set when the own backend server can't take the request, so
	// that a peer without a free slot is better than none.
	Must bool
	// Stream is set for a request that takes a connection and no slot.
	Stream bool
	// Long is set for a straggler, which leaves the last slot free.
	Long bool
	// Wait is the expected wait at the own backend server.
	Wait time.Duration
	// Tried lists the peers that have refused or failed the request.
	Tried []gooseberrymast.Identity
}

// Placer knows the peers of one agent. Random must be set.
type Placer struct {
	// Random chooses among peers.
	Random *rand.Rand
	// Zone is the agent's own availability zone.
	Zone string
	// CrossZone lets requests leave the availability zone.
	CrossZone bool
	// Connections is the number of streams that one peer may hold.
	Connections int
	// SlowStart is the time over which a new peer comes to count like the others.
	SlowStart time.Duration
	// Ejected tells which peers must get no work; nil is none.
	Ejected func(now time.Time, member netip.AddrPort) bool

	peers []*peer
	// byAddress indexes peers.
	byAddress map[netip.AddrPort]*peer
	probes    int
}

type peer struct {
	gooseberrymast.Member
	load  gooseberrymast.Load
	heard time.Time
	// since is when a peer joined that the others were known before, or zero.
	since time.Time
	// given counts the requests given since the load was heard.
	given int
}

// Update replaces the peers and keeps the loads of those that stay.
func (p *Placer) Update(now time.Time, members []gooseberrymast.Member) {
	peers := make([]*peer, 0, len(members))
	byAddress := make(map[netip.AddrPort]*peer, len(members))
	for _, member := range members {
		one := p.byAddress[member.Identity.Address]
		if one == nil || one.Identity != member.Identity {
			one = &peer{}
			if len(p.peers) > 0 {
				one.since = now
			}
		}
		one.Member = member
		peers = append(peers, one)
		byAddress[member.Identity.Address] = one
	}
	p.peers, p.byAddress = peers, byAddress
}

// Heard takes the load that a peer reported.
func (p *Placer) Heard(now time.Time, identity gooseberrymast.Identity, load gooseberrymast.Load) {
	one := p.byAddress[identity.Address]
	if one == nil || one.Identity != identity {
		return
	}
	one.load = load
	one.heard = now
	one.given = 0
}

// Leaving reports whether the agent is known to be leaving.
func (p *Placer) Leaving(identity gooseberrymast.Identity) bool {
	one := p.byAddress[identity.Address]
	if one == nil || one.Identity != identity {
		return false
	}
	return one.State == gooseberrymast.StateLeaving || one.load.Leaving
}

// Superseded reports whether a later incarnation of the agent is known.
func (p *Placer) Superseded(identity gooseberrymast.Identity) bool {
	one := p.byAddress[identity.Address]
	return one != nil && one.Identity.Incarnation > identity.Incarnation
}

// Given notes that a request is under way to a peer and reports whether the
// peer's load was unknown. The caller hands that back to Returned.
func (p *Placer) Given(now time.Time, identity gooseberrymast.Identity) (probe bool) {
	one := p.byAddress[identity.Address]
	if one == nil {
		return false
	}
	one.given++
	if one.fresh(now) {
		return false
	}
	p.probes++
	return true
}

// Returned notes that a request given as a probe has ended or was answered.
func (p *Placer) Returned(probe bool) {
	if probe {
		p.probes--
	}
}

// Choose gives the peer to hand a request over to, if one suits.
func (p *Placer) Choose(now time.Time, need Need) (gooseberrymast.Identity, bool) {
	own, other := p.candidates(now, need)
	if one := p.better(now, own, need); one != nil {
		return one.Identity, true
	}
	if !p.CrossZone || (!need.Must && need.Wait < CrossingTime) {
		return gooseberrymast.Identity{}, false
	}
	if one := p.better(now, other, need); one != nil {
		return one.Identity, true
	}
	return gooseberrymast.Identity{}, false
}

// Any reports whether there is a peer that could take the request at all.
func (p *Placer) Any(now time.Time, need Need) bool {
	need.Must = true
	_, ok := p.Choose(now, need)
	return ok
}

// candidates looks at up to Samples peers from a random start and gives those
// with room, by availability zone.
func (p *Placer) candidates(now time.Time, need Need) (own, other []*peer) {
	if len(p.peers) == 0 {
		return nil, nil
	}
	start := p.Random.IntN(len(p.peers))
	for i := range min(len(p.peers), Samples) {
		one := p.peers[(start+i)%len(p.peers)]
		if !p.suits(now, one, need) {
			continue
		}
		if one.Zone == p.Zone {
			own = append(own, one)
		} else {
			other = append(other, one)
		}
	}
	return own, other
}

// better takes two random candidates and gives the one with more room.
func (p *Placer) better(now time.Time, candidates []*peer, need Need) *peer {
	if len(candidates) == 0 {
		return nil
	}
	first := p.Random.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[first]
	}
	second := p.Random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if p.weight(now, candidates[second], need) > p.weight(now, candidates[first], need) {
		return candidates[second]
	}
	return candidates[first]
}

// weight is a peer's room as it counts against another's: that of a cold peer
// counts less.
func (p *Placer) weight(now time.Time, one *peer, need Need) float64 {
	room := float64(one.room(now, need))
	age := now.Sub(one.since)
	if room <= 0 || one.since.IsZero() || age >= p.SlowStart {
		return room
	}
	return room * float64(age) / float64(p.SlowStart)
}

func (p *Placer) suits(now time.Time, one *peer, need Need) bool {
	if !one.Routable() || one.load.Leaving {
		return false
	}
	for _, tried := range need.Tried {
		if tried == one.Identity {
			return false
		}
	}
	if p.Ejected != nil && p.Ejected(now, one.Identity.Address) {
		return false
	}
	if need.Stream {
		return p.Connections == 0 || int(one.load.Streams) < p.Connections
	}
	if need.Must {
		return true
	}
	if !one.fresh(now) {
		return p.probes < MaxProbes
	}
	least := 0
	if need.Long {
		least = 1
	}
	return one.room(now, need) > least
}

func (o *peer) fresh(now time.Time) bool {
	return !o.heard.IsZero() && now.Sub(o.heard) < LoadAge
}

// room is the number of free slots that the peer should have by now, or the
// negative number of streams for a stream. A peer of unknown load counts as
// having neither free slots nor a queue.
func (o *peer) room(now time.Time, need Need) int {
	if need.Stream {
		return -int(o.load.Streams) - o.given
	}
	if !o.fresh(now) {
		return -o.given
	}
	return int(o.load.FreeSlots) - int(o.load.Queued) - o.given
}
