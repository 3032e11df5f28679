// Package relayer decides which peers get a process's reports, and how reports
// reach the other availability zones.
//
// Load pattern: hundreds of instances in several availability zones that report
// several times a second. Sent from all to all, reports grow with the square of
// the fleet, and most of them cross between zones, which costs money and the
// processor time of small instances. So a process reports only to its own zone.
// Two balancers of each zone, its relays, send summaries of the zone's peers to
// two balancers of every other zone, which pass them on inside theirs. Relays are
// not elected: each balancer takes itself for one by its rank among those that it
// hears, and a wrong guess costs only a few datagrams.
//
// A relay may be lost, paused or cut off. So nobody concludes from missing
// summaries that a peer has failed: the relays of the other zones ask its agents
// directly, and only those that leave this unanswered are silent. A relay that hears few agents of its zone passes
// on only those, and an agent that hears no balancer of its own zone reports to all.
package relayer

import (
	"maps"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/roster"
)

const (
	// relaysPerZone is the number of relays of an availability zone, and of the
	// balancers of another zone that they send to. With two, the loss of one leaves
	// summaries without a gap.
	relaysPerZone = 2
	// SummaryInterval is the time between two summaries of a relay: that of the
	// balancers' reports.
	SummaryInterval = 400 * time.Millisecond
	// minSummaryInterval is the minimum time between two summaries when peers
	// change.
	minSummaryInterval = 100 * time.Millisecond
	// TickInterval is the time between two calls of Due.
	TickInterval = 100 * time.Millisecond
	// maxTickGap is the time between two calls of Due from which the process was
	// paused. What it knows is then too old to be passed on.
	maxTickGap = 500 * time.Millisecond
	// isolatedAfter is how long a process runs before it may find that its own zone
	// has no balancer: two reports of a balancer plus the time to start.
	isolatedAfter = time.Second
	// directTail is how long a process goes on reporting to all after it hears a
	// balancer of its own zone again, so that a summary reaches the peers first.
	directTail = 2 * time.Second
	// goneKept is how long summaries contain a peer that has announced its end.
	goneKept = 10 * time.Second
)

// Relayer holds the state of one process's decisions. Its exported fields are set
// before use. It is not safe for concurrent use.
type Relayer struct {
	// Self, Role and Zone are those of the process.
	Self gooseberrymast.Endpoint
	Role gooseberrymast.Role
	Zone string
	// Started is when the process began to receive reports.
	Started time.Time

	// directUntil is until when the process reports to all.
	directUntil time.Time
	isolated    bool
	leaving     bool
	lastTick    time.Time
	lastSummary time.Time
	// lastQuestions is when Questions last considered whom to ask.
	lastQuestions time.Time
	asking        bool
	relaying      bool
	// rotation counts summaries, for balancers that take turns.
	rotation int
	// informed holds the last incarnation of each balancer for which Restarted was called.
	informed map[gooseberrymast.Endpoint]uint64
}

// Recipients returns the peers that get the process's report. relayed is set if
// the peers of other zones learn about the process from summaries.
func (r *Relayer) Recipients(entries []roster.Entry, now time.Time) (recipients []gooseberrymast.Endpoint, relayed bool) {
	r.isolated = now.Sub(r.Started) >= isolatedAfter && !r.hearsOwnZone(entries, now)
	if r.isolated {
		r.directUntil = now.Add(directTail)
	}
	toAll := now.Before(r.directUntil)
	for _, entry := range entries {
		if !r.reportsTo(entry) {
			continue
		}
		// A peer of another zone that reports here directly, since it is isolated or
		// knows no summaries, gets none either.
		direct := !entry.Relayed && entry.Reporting(now)
		if entry.Zone == r.Zone || toAll || direct {
			recipients = append(recipients, entry.Endpoint)
		}
	}
	if r.leaving {
		for _, balancer := range slices.Concat(r.balancersOfOtherZones(entries, now)...) {
			if !slices.Contains(recipients, balancer) {
				recipients = append(recipients, balancer)
			}
		}
	}
	return recipients, !r.isolated
}

// Leave records that the process stops. Its last reports go to balancers of all zones,
// since the relays of its own may stop or be paused at the same time.
func (r *Relayer) Leave() {
	r.leaving = true
}

// Isolated reports whether the last call of Recipients found no balancer of the
// process's own zone.
func (r *Relayer) Isolated() bool {
	return r.isolated
}

// reportsTo reports whether a peer needs the process's reports: a balancer needs
// all, an agent only those of balancers.
func (r *Relayer) reportsTo(entry roster.Entry) bool {
	if entry.State == gooseberrymast.StateGone || entry.Endpoint == r.Self {
		return false
	}
	return r.Role == gooseberrymast.RoleBalancer || entry.Role == gooseberrymast.RoleBalancer
}

// hearsOwnZone reports whether the process hears what connects it to other zones: an
// agent needs a balancer that may be a relay; a balancer may be one itself, but needs
// some peer that knows it.
func (r *Relayer) hearsOwnZone(entries []roster.Entry, now time.Time) bool {
	return slices.ContainsFunc(entries, func(entry roster.Entry) bool {
		mayRelay := entry.Role == gooseberrymast.RoleBalancer && entry.UsesRelays
		return entry.Zone == r.Zone && entry.Reporting(now) && (r.Role == gooseberrymast.RoleBalancer || mayRelay)
	})
}

// Due reports whether a relay should send a summary now. It is called every
// TickInterval at a balancer; changed is set if a peer of the own zone has changed
// since the last summary.
func (r *Relayer) Due(changed bool, now time.Time) bool {
	paused := !r.lastTick.IsZero() && now.Sub(r.lastTick) > maxTickGap
	r.lastTick = now
	since := now.Sub(r.lastSummary)
	return !paused && (since >= SummaryInterval || changed && since >= minSummaryInterval)
}

// Summary returns the summary of the own zone and its recipients. Both are empty if
// the process is not a relay, or hears no agent of its zone. If it hears fewer than
// half of them, it may be cut off or have just started, or the others are lost: it
// then passes on the peers that it hears, and claims no silence.
func (r *Relayer) Summary(entries []roster.Entry, self gooseberrymast.Peer, listening roster.Listening,
	now time.Time) (gooseberrymast.Summary, []gooseberrymast.Endpoint) {
	r.lastSummary = now
	rank, relays := r.rank(entries, self, now)
	heard, total := r.countAgents(entries, now)
	r.relaying = rank < relaysPerZone && (heard > 0 || total == 0)
	if !r.relaying {
		return gooseberrymast.Summary{}, nil
	}
	claimsSilence := 2*heard >= total
	summary := gooseberrymast.Summary{Zone: r.Zone, Peers: []gooseberrymast.PeerSummary{{Peer: self, Heard: true}}}
	for _, entry := range entries {
		silence := entry.Silence(listening)
		isGone := entry.State == gooseberrymast.StateGone
		if entry.Zone != r.Zone || isGone && silence > goneKept || !claimsSilence && !isGone && !entry.Reporting(now) {
			continue
		}
		summary.Peers = append(summary.Peers, gooseberrymast.PeerSummary{
			Peer: entry.Peer, Load: entry.Load, Silence: silence, Heard: !entry.ReportedAt.IsZero(),
		})
	}
	// Balancers come first, so that few datagrams have to go to agents.
	slices.SortStableFunc(summary.Peers, func(a, b gooseberrymast.PeerSummary) int { return int(b.Peer.Role) - int(a.Peer.Role) })
	return summary, r.summaryRecipients(entries, rank, relays, now)
}

// Relaying reports whether the last call of Summary found that the process is a relay.
func (r *Relayer) Relaying() bool {
	return r.relaying
}

// rank returns the process's position among the balancers of its zone that it hears,
// and the number of the zone's relays.
func (r *Relayer) rank(entries []roster.Entry, self gooseberrymast.Peer, now time.Time) (rank, relays int) {
	heard := 1
	for _, entry := range entries {
		if entry.Role != gooseberrymast.RoleBalancer || entry.Zone != r.Zone || !entry.Reporting(now) ||
			!entry.UsesRelays || entry.State == gooseberrymast.StateGone {
			continue
		}
		heard++
		if compareRank(entry.Peer, self) < 0 {
			rank++
		}
	}
	return rank, min(heard, relaysPerZone)
}

// compareRank orders balancers for the choice of relays: those that leave come last.
func compareRank(a, b gooseberrymast.Peer) int {
	aLeaving, bLeaving := a.State == gooseberrymast.StateLeaving, b.State == gooseberrymast.StateLeaving
	switch {
	case aLeaving && !bLeaving:
		return 1
	case bLeaving && !aLeaving:
		return -1
	}
	return a.Endpoint.Compare(b.Endpoint)
}

// countAgents returns the number of agents of the own zone that report, and of all.
func (r *Relayer) countAgents(entries []roster.Entry, now time.Time) (heard, total int) {
	for _, entry := range entries {
		if entry.Role != gooseberrymast.RoleAgent || entry.Zone != r.Zone || entry.State == gooseberrymast.StateGone {
			continue
		}
		total++
		if entry.Reporting(now) {
			heard++
		}
	}
	return heard, total
}

// summaryRecipients returns the balancers of other zones that get a relay's summary.
// Each relay of a zone sends to another one of a zone's recipients; a single relay
// sends to all.
func (r *Relayer) summaryRecipients(entries []roster.Entry, rank, relays int, now time.Time) []gooseberrymast.Endpoint {
	var recipients []gooseberrymast.Endpoint
	for _, balancers := range r.balancersOfOtherZones(entries, now) {
		for i, balancer := range balancers {
			if i%relays == rank || i == rank%len(balancers) {
				recipients = append(recipients, balancer)
			}
		}
	}
	return recipients
}

// balancersOfOtherZones returns relaysPerZone balancers of each other zone: the first
// ones that report to relays, then all others in turn, since one that is not heard
// may have restarted.
func (r *Relayer) balancersOfOtherZones(entries []roster.Entry, now time.Time) [][]gooseberrymast.Endpoint {
	heard, others := map[string][]gooseberrymast.Endpoint{}, map[string][]gooseberrymast.Endpoint{}
	ranked := slices.SortedFunc(slices.Values(entries), func(a, b roster.Entry) int { return compareRank(a.Peer, b.Peer) })
	for _, entry := range ranked {
		switch {
		case entry.Role != gooseberrymast.RoleBalancer || entry.Zone == r.Zone || entry.State == gooseberrymast.StateGone:
		case entry.Relayed && entry.Reporting(now):
			heard[entry.Zone] = append(heard[entry.Zone], entry.Endpoint)
		default:
			others[entry.Zone] = append(others[entry.Zone], entry.Endpoint)
		}
	}
	r.rotation++
	for zone, rest := range others {
		first := r.rotation % len(rest)
		heard[zone] = slices.Concat(heard[zone], rest[first:], rest[:first])
	}
	var balancers [][]gooseberrymast.Endpoint
	for _, zone := range slices.Sorted(maps.Keys(heard)) {
		balancers = append(balancers, heard[zone][:min(relaysPerZone, len(heard[zone]))])
	}
	return balancers
}

// Forward returns the peers that get a summary of another zone from this process:
// those of its own zone. Agents need only the balancers in it.
func (r *Relayer) Forward(entries []roster.Entry, summary gooseberrymast.Summary) []gooseberrymast.Endpoint {
	if r.Role != gooseberrymast.RoleBalancer || summary.Forwarded || summary.Zone == r.Zone {
		return nil
	}
	hasBalancers := slices.ContainsFunc(summary.Peers, func(p gooseberrymast.PeerSummary) bool {
		return p.Peer.Role == gooseberrymast.RoleBalancer
	})
	var recipients []gooseberrymast.Endpoint
	for _, entry := range entries {
		if entry.Zone == r.Zone && entry.State != gooseberrymast.StateGone && (hasBalancers || entry.Role == gooseberrymast.RoleBalancer) {
			recipients = append(recipients, entry.Endpoint)
		}
	}
	return recipients
}

// Restarted reports whether a peer is a balancer of an incarnation for which it was not
// called before. Such a balancer has to be sent Departures.
func (r *Relayer) Restarted(peer gooseberrymast.Peer) bool {
	if r.Role != gooseberrymast.RoleBalancer || peer.Role != gooseberrymast.RoleBalancer ||
		peer.Incarnation == 0 || r.informed[peer.Endpoint] == peer.Incarnation {
		return false
	}
	if r.informed == nil {
		r.informed = map[gooseberrymast.Endpoint]uint64{}
	}
	r.informed[peer.Endpoint] = peer.Incarnation
	return true
}

// Departures returns the peers that have reported that they stop. A balancer that
// starts meanwhile has never heard them, and would take them for lost too early.
func Departures(entries []roster.Entry) []gooseberrymast.Peer {
	var leaving []gooseberrymast.Peer
	for _, entry := range entries {
		if entry.State == gooseberrymast.StateLeaving {
			leaving = append(leaving, entry.Peer)
		}
	}
	return leaving
}
