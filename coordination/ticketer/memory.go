package ticketer

import (
	"net/netip"
	"time"

	"gooseberrymast"
)

// The bounds of a Memory.
const (
	// MemoryCount is the number of requests of peers that are remembered.
	MemoryCount = 1 << 14
	// MemoryTime is how long a request of a peer is remembered.
	MemoryTime = 15 * time.Minute
)

// Fate is what is known of a request that a peer handed over.
type Fate uint8

// The fates of a peer's request.
const (
	// FateUnknown: the request never arrived here.
	FateUnknown Fate = iota
	// FateTaken: the request arrived and ran or may still run.
	FateTaken
	// FateRefused: the request did not run here and must not any more.
	FateRefused
	// FateForgotten: the request is so old that it may have been forgotten.
	// It must not run, and whether it ran is unknown.
	FateForgotten
)

// Memory remembers the requests that peers handed over, bounded by count and
// time. What falls out is treated as if it may have run and must not run
// again. The zero value works.
type Memory struct {
	origins map[netip.AddrPort]*origin
	// order lists the remembered requests by age, oldest first.
	order []remembered
}

// origin is what is remembered of the requests of one agent.
type origin struct {
	// incarnation only rises; requests of an earlier one are forgotten.
	incarnation gooseberrymast.Incarnation
	// floor is the highest forgotten request.
	floor gooseberrymast.WorkID
	fates map[gooseberrymast.WorkID]Fate
}

type remembered struct {
	agent gooseberrymast.Identity
	id    gooseberrymast.WorkID
	at    time.Time
}

// Fate tells what is known of a request.
func (m *Memory) Fate(agent gooseberrymast.Identity, id gooseberrymast.WorkID) Fate {
	from := m.origins[agent.Address]
	if from == nil || agent.Incarnation > from.incarnation {
		return FateUnknown
	}
	if agent.Incarnation < from.incarnation {
		return FateForgotten
	}
	if fate, ok := from.fates[id]; ok {
		return fate
	}
	if id <= from.floor {
		return FateForgotten
	}
	return FateUnknown
}

// Set remembers the fate of a request. A refused request stays refused.
func (m *Memory) Set(now time.Time, agent gooseberrymast.Identity, id gooseberrymast.WorkID, fate Fate) {
	from := m.origin(agent)
	if agent.Incarnation < from.incarnation || id <= from.floor {
		return
	}
	if _, ok := from.fates[id]; !ok {
		m.order = append(m.order, remembered{agent, id, now})
	}
	from.fates[id] = fate
	m.trim(now)
}

func (m *Memory) origin(agent gooseberrymast.Identity) *origin {
	if m.origins == nil {
		m.origins = map[netip.AddrPort]*origin{}
	}
	from := m.origins[agent.Address]
	if from == nil || agent.Incarnation > from.incarnation {
		from = &origin{incarnation: agent.Incarnation, fates: map[gooseberrymast.WorkID]Fate{}}
		m.origins[agent.Address] = from
	}
	return from
}

func (m *Memory) trim(now time.Time) {
	for len(m.order) > 0 {
		oldest := m.order[0]
		if len(m.order) <= MemoryCount && now.Sub(oldest.at) < MemoryTime {
			return
		}
		m.order = m.order[1:]
		m.forget(oldest)
	}
}

func (m *Memory) forget(oldest remembered) {
	from := m.origins[oldest.agent.Address]
	if from == nil || from.incarnation != oldest.agent.Incarnation {
		return
	}
	delete(from.fates, oldest.id)
	from.floor = max(from.floor, oldest.id)
}
