// Package placer chooses the agent of a service that a request is handed over to:
// the less loaded of two random peers, preferring the agent's own availability zone.
package placer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"gooseberrymast"
)

// Limits and times of placement.
const (
	// MaxLoadAge is how long a reported load is used.
	MaxLoadAge = 200 * time.Millisecond
	// MaxProbes is the number of hand-overs in progress to peers of unknown load.
	MaxProbes = 2
	// MaxSamples is the number of peers examined for one choice.
	MaxSamples = 16
	// CrossZoneRoundTrip is the assumed round-trip time to another availability zone.
	CrossZoneRoundTrip = 8 * time.Millisecond
)

// Need describes the request to place.
type Need struct {
	// AllowFull is set when the agent's own backend server can't take the request,
	// so that a peer without a free slot is better than none.
	AllowFull bool
	// Stream is set for a request that takes a connection instead of a slot.
	Stream bool
	// Long is set for an expected straggler, which must leave a slot free.
	Long bool
	// Wait is the expected wait at the agent's own backend server.
	Wait time.Duration
	// Tried lists the peers that refused or failed the request.
	Tried []gooseberrymast.Identity
}

// Placer holds the peers of one agent. Random must be set.
type Placer struct {
	// Random is the source of random choices.
	Random *rand.Rand
	// Zone is the agent's own availability zone.
	Zone string
	// CrossZone allows hand-overs to other availability zones.
	CrossZone bool
	// Connections is the number of streams that one peer may hold; zero means no
	// limit.
	Connections int
	// SlowStart is the time over which the weight of a new peer rises to that of
	// the others.
	SlowStart time.Duration
	// Ejected reports whether a peer must get no requests; nil means none is
	// ejected.
	Ejected func(now time.Time, member netip.AddrPort) bool

	peers []*peer
	// byAddress indexes peers.
	byAddress map[netip.AddrPort]*peer
	probes    int
}

type peer struct {
	gooseberrymast.Member
	load   gooseberrymast.Load
	loadAt time.Time
	// joinedAt is when the peer joined, or zero if it was among the first peers,
	// which have no slow start.
	joinedAt time.Time
	// sentSinceLoad counts the requests handed over since the load was reported.
	sentSinceLoad int
}

// Update sets the peers and keeps the loads of those that remain.
func (p *Placer) Update(now time.Time, members []gooseberrymast.Member) {
	peers := make([]*peer, 0, len(members))
	byAddress := make(map[netip.AddrPort]*peer, len(members))
	for _, member := range members {
		c := p.byAddress[member.Identity.Address]
		if c == nil || c.Identity != member.Identity {
			c = &peer{}
			if len(p.peers) > 0 {
				c.joinedAt = now
			}
		}
		c.Member = member
		peers = append(peers, c)
		byAddress[member.Identity.Address] = c
	}
	p.peers, p.byAddress = peers, byAddress
}

// HandleLoad receives the load that a peer reported.
func (p *Placer) HandleLoad(now time.Time, identity gooseberrymast.Identity, load gooseberrymast.Load) {
	c := p.byAddress[identity.Address]
	if c == nil || c.Identity != identity {
		return
	}
	c.load = load
	c.loadAt = now
	c.sentSinceLoad = 0
}

// Leaving reports whether the peer is leaving, by its record or its reported load.
func (p *Placer) Leaving(identity gooseberrymast.Identity) bool {
	c := p.byAddress[identity.Address]
	if c == nil || c.Identity != identity {
		return false
	}
	return c.State == gooseberrymast.StateLeaving || c.load.Leaving
}

// Superseded reports whether a later incarnation of the peer has been seen.
func (p *Placer) Superseded(identity gooseberrymast.Identity) bool {
	c := p.byAddress[identity.Address]
	return c != nil && c.Identity.Incarnation > identity.Incarnation
}

// StartHandOver records a hand-over to a peer and reports whether the peer's load
// was unknown. That result must be passed to EndHandOver.
func (p *Placer) StartHandOver(now time.Time, identity gooseberrymast.Identity) (probe bool) {
	c := p.byAddress[identity.Address]
	if c == nil {
		return false
	}
	c.sentSinceLoad++
	if c.fresh(now) {
		return false
	}
	p.probes++
	return true
}

// EndHandOver records the end of a hand-over; probe is what StartHandOver returned.
func (p *Placer) EndHandOver(probe bool) {
	if probe {
		p.probes--
	}
}

// Choose returns the peer to hand a request over to, if there is an eligible one.
func (p *Placer) Choose(now time.Time, need Need) (gooseberrymast.Identity, bool) {
	own, other := p.candidates(now, need)
	if c := p.pickBetter(now, own, need); c != nil {
		return c.Identity, true
	}
	if !p.CrossZone || (!need.AllowFull && need.Wait < CrossZoneRoundTrip) {
		return gooseberrymast.Identity{}, false
	}
	if c := p.pickBetter(now, other, need); c != nil {
		return c.Identity, true
	}
	return gooseberrymast.Identity{}, false
}

// Any reports whether any peer can take the request, even without a free slot.
func (p *Placer) Any(now time.Time, need Need) bool {
	need.AllowFull = true
	_, ok := p.Choose(now, need)
	return ok
}

// candidates returns the eligible peers among up to MaxSamples from a random start,
// split into those of the agent's own availability zone and the others.
func (p *Placer) candidates(now time.Time, need Need) (own, other []*peer) {
	if len(p.peers) == 0 {
		return nil, nil
	}
	start := p.Random.IntN(len(p.peers))
	for i := range min(len(p.peers), MaxSamples) {
		c := p.peers[(start+i)%len(p.peers)]
		if !p.eligible(now, c, need) {
			continue
		}
		if c.Zone == p.Zone {
			own = append(own, c)
		} else {
			other = append(other, c)
		}
	}
	return own, other
}

// pickBetter picks two random candidates and returns the one with the higher
// weight, or nil if there are no candidates.
func (p *Placer) pickBetter(now time.Time, candidates []*peer, need Need) *peer {
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

// weight returns a peer's free slots, reduced for a peer in slow start.
func (p *Placer) weight(now time.Time, c *peer, need Need) float64 {
	slots := float64(c.freeSlots(now, need))
	age := now.Sub(c.joinedAt)
	if slots <= 0 || c.joinedAt.IsZero() || age >= p.SlowStart {
		return slots
	}
	return slots * float64(age) / float64(p.SlowStart)
}

// eligible reports whether a peer can get the request.
func (p *Placer) eligible(now time.Time, c *peer, need Need) bool {
	if !c.Routable() || c.load.Leaving {
		return false
	}
	for _, tried := range need.Tried {
		if tried == c.Identity {
			return false
		}
	}
	if p.Ejected != nil && p.Ejected(now, c.Identity.Address) {
		return false
	}
	if need.Stream {
		return p.Connections == 0 || int(c.load.Streams) < p.Connections
	}
	if need.AllowFull {
		return true
	}
	if !c.fresh(now) {
		return p.probes < MaxProbes
	}
	least := 0
	if need.Long {
		least = 1
	}
	return c.freeSlots(now, need) > least
}

// fresh reports whether the peer's reported load is recent enough to use.
func (c *peer) fresh(now time.Time) bool {
	return !c.loadAt.IsZero() && now.Sub(c.loadAt) < MaxLoadAge
}

// freeSlots estimates the number of free slots that the peer has now, or for a
// stream the negated number of streams. A peer of unknown load counts as having
// neither free slots nor a queue.
func (c *peer) freeSlots(now time.Time, need Need) int {
	if need.Stream {
		return -int(c.load.Streams) - c.sentSinceLoad
	}
	if !c.fresh(now) {
		return -c.sentSinceLoad
	}
	return int(c.load.FreeSlots) - int(c.load.Queued) - c.sentSinceLoad
}
