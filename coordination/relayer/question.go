package relayer

import (
	"cmp"
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/roster"
)

const (
	// askAfter is the time without a summary of a peer after which a relay asks it
	// directly: three summaries.
	askAfter = 3 * SummaryInterval
	// askSelfAfter is the same for a balancer that is no relay. Its zone's relays pass
	// on to it what they learn, unless they are of an earlier build.
	askSelfAfter = 4 * time.Second
	// maxAsked bounds the agents that are asked at a time. The others have their turn
	// once these have answered or were asked roster.MaxQuestions times.
	maxAsked = 256
	// askAgainAfter is the time between two questions to an agent that has left
	// roster.MaxQuestions unanswered. The process may have been cut off meanwhile without
	// knowing it; it is in touch again only after twice this time.
	askAgainAfter = 2 * time.Second
	// maxAskedAgain bounds the agents that are asked again at a time.
	maxAskedAgain = 32
	// claimDelay is the time for which a peer must have left questions unanswered before
	// its silence begins to count for those that are told of it: questions may get lost.
	claimDelay = time.Second
)

// Questions returns the agents of other zones to ask for a report, since no summary of
// them arrives: their zone's balancers may be lost or cut off while the agents run. An
// agent answers a balancer that reports to it directly.
func (r *Relayer) Questions(entries []roster.Entry, self gooseberrymast.Peer, listening roster.Listening,
	now time.Time) []gooseberrymast.Endpoint {
	if r.Role != gooseberrymast.RoleBalancer || r.leaving || now.Sub(r.lastQuestions) < SummaryInterval {
		return nil
	}
	r.lastQuestions = now
	after := askSelfAfter
	if rank, _ := r.rank(entries, self, now); rank < relaysPerZone {
		after = askAfter
	}
	var asked []gooseberrymast.Endpoint
	var again []roster.Entry
	for _, entry := range entries {
		switch {
		case !r.isUnheard(entry, after, now):
		case entry.Questions < roster.MaxQuestions || entry.AskedSince.Before(listening.Since):
			asked = append(asked, entry.Endpoint)
		case now.Sub(entry.AskedAt) >= askAgainAfter:
			again = append(again, entry)
		}
	}
	r.asking = len(asked) > 0
	slices.SortFunc(asked, gooseberrymast.Endpoint.Compare)
	asked = asked[:min(len(asked), maxAsked)]
	slices.SortFunc(again, func(a, b roster.Entry) int {
		return cmp.Or(a.AskedAt.Compare(b.AskedAt), a.Endpoint.Compare(b.Endpoint))
	})
	for _, entry := range again[:min(len(again), maxAskedAgain)] {
		asked = append(asked, entry.Endpoint)
	}
	return asked
}

// Asking reports whether agents of other zones were to be asked when Questions last
// considered it.
func (r *Relayer) Asking() bool {
	return r.asking
}

// isUnheard reports whether an agent of another zone is missing in its zone's summaries.
func (r *Relayer) isUnheard(entry roster.Entry, after time.Duration, now time.Time) bool {
	return entry.Role == gooseberrymast.RoleAgent && entry.Relayed && entry.Zone != r.Zone && entry.State != gooseberrymast.StateGone &&
		now.Sub(entry.SummarizedAt) >= after && now.Sub(r.Started) >= after
}

// Substitutes returns summaries of the zones whose own are missing, and the balancers of
// the own zone that get them: a relay passes on which agents there have answered its
// questions, and which have not. It claims no silence if it hears fewer than half of all
// agents, since it may be cut off itself.
func (r *Relayer) Substitutes(entries []roster.Entry, self gooseberrymast.Peer, listening roster.Listening,
	now time.Time) ([]gooseberrymast.Summary, []gooseberrymast.Endpoint) {
	if rank, _ := r.rank(entries, self, now); r.Role != gooseberrymast.RoleBalancer || rank >= relaysPerZone {
		return nil, nil
	}
	zones := map[string][]gooseberrymast.PeerSummary{}
	heard, total := 0, 0
	for _, entry := range entries {
		if entry.Role == gooseberrymast.RoleAgent && entry.State != gooseberrymast.StateGone {
			total++
			if entry.Reporting(now) {
				heard++
			}
		}
	}
	for _, entry := range entries {
		silence := entry.AskedSilence(listening)
		if !r.isUnheard(entry, askAfter, now) || !entry.Reporting(now) && (silence <= claimDelay || 2*heard < total) {
			continue
		}
		zones[entry.Zone] = append(zones[entry.Zone], gooseberrymast.PeerSummary{
			Peer: entry.Peer, Load: entry.Load, Silence: max(0, silence-claimDelay), Heard: !entry.ReportedAt.IsZero(),
		})
	}
	if len(zones) == 0 {
		return nil, nil
	}
	var summaries []gooseberrymast.Summary
	for zone, peers := range zones {
		summaries = append(summaries, gooseberrymast.Summary{Zone: zone, Peers: peers, Forwarded: true})
	}
	return summaries, r.ownBalancersBehindRelays(entries, self, now)
}

// ownBalancersBehindRelays returns the balancers of the own zone that are no relays.
// Relays ask for themselves: what they told each other would end their own questions.
func (r *Relayer) ownBalancersBehindRelays(entries []roster.Entry, self gooseberrymast.Peer, now time.Time) []gooseberrymast.Endpoint {
	balancers := []gooseberrymast.Peer{self}
	for _, entry := range entries {
		if entry.Role == gooseberrymast.RoleBalancer && entry.Zone == r.Zone && entry.Reporting(now) && entry.UsesRelays {
			balancers = append(balancers, entry.Peer)
		}
	}
	slices.SortFunc(balancers, compareRank)
	var behind []gooseberrymast.Endpoint
	for _, balancer := range balancers[min(len(balancers), relaysPerZone):] {
		behind = append(behind, balancer.Endpoint)
	}
	return behind
}
