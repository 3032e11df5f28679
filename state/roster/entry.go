package roster

import (
	"slices"
	"time"

	"gooseberrymast"
)

const (
	// SilentAfter is the time without a report after which a peer receives no
	// new flows: three report intervals of an agent, 200 ms each, plus delay. A
	// balancer reports every 400 ms.
	SilentAfter = 900 * time.Millisecond
	// StaleViewAfter is the age of the last summary of a relayed peer from which
	// the peer receives no new flows: the time in which other balancers of its zone
	// become relays after the loss of all, plus one lost summary.
	StaleViewAfter = 2 * time.Second
	// MaxQuestions is the number of questions to a peer after which its silence counts,
	// and few more are sent: at the interval of the balancers' reports, 0.4 s, they take
	// 3.6 s. A live peer answers each with four reports or more, so that a link which
	// loses half of all messages hides one of 600 live peers.
	MaxQuestions = 10
	// maxQuestionGap is the time between two questions from which they count anew.
	maxQuestionGap = time.Second
)

// Entry is one peer with its last report.
type Entry struct {
	gooseberrymast.Peer
	// ReportedAt is when the peer last reported to this process, or to a relay of
	// its availability zone. It is zero when the entry comes only from other peers
	// or the store.
	ReportedAt time.Time
	// UpdatedAt is when the entry was last updated from any source. A peer that has
	// not reported is silent since then.
	UpdatedAt time.Time
	// Relayed is set for a peer of another availability zone that reports only to
	// the balancers of its own. Without a summary of these, nothing new is known
	// about the peer.
	Relayed bool
	// UsesRelays is set if the peer's last report said that other zones learn about it
	// from summaries. Processes of versions without summaries never say so.
	UsesRelays bool
	// ViewedAt is when the last summary or report of a relayed peer arrived.
	ViewedAt time.Time
	// SummarizedAt is when the last summary that contained the peer arrived.
	SummarizedAt time.Time
	// AskedSince and AskedAt are when this process first and last asked the peer for a
	// report since the last report or summary, and Questions is how often.
	AskedSince, AskedAt time.Time
	Questions           int
	// Load and Document are from the peer's last report.
	Load     gooseberrymast.FlowLoad
	Document gooseberrymast.DocumentStatus
	// Served lists the addresses whose flows an agent's backend server has
	// accepted, from the agent's entry in the store.
	Served []gooseberrymast.Endpoint
	// StoreVersion is the version of the peer's entry in the store as last read; zero
	// when it was not read.
	StoreVersion uint64
	// Unreadable is set if the entry could not be decoded when it was last read, so that
	// Served may lack addresses.
	Unreadable bool
}

// Reporting reports whether the peer itself reported within SilentAfter, as far as
// is known.
func (e Entry) Reporting(now time.Time) bool {
	return !e.ReportedAt.IsZero() && e.ReportAge(now) < SilentAfter && (!e.Relayed || now.Sub(e.ViewedAt) < StaleViewAfter)
}

// ReportAge returns the time between the peer's last report and the latest time at
// which a later one would be known.
func (e Entry) ReportAge(now time.Time) time.Duration {
	return e.knownUntil(now).Sub(e.ReportedAt)
}

// Silence returns the time for which the peer is known to have been silent, at a
// process that has listened over the given span.
func (e Entry) Silence(listening Listening) time.Duration {
	return max(0, e.knownUntil(listening.Until).Sub(latest(listening.Since, e.ReportedAt, e.UpdatedAt)))
}

// AskedSilence returns the time for which the peer has left this process's questions
// unanswered; zero before it was asked MaxQuestions times.
func (e Entry) AskedSilence(listening Listening) time.Duration {
	if e.Questions < MaxQuestions {
		return 0
	}
	return max(0, listening.Until.Sub(latest(listening.Since, e.AskedSince, e.ReportedAt, e.UpdatedAt)))
}

// knownUntil returns the latest time at which a report of the peer would be known. A
// relayed peer may report although no summaries arrive.
func (e Entry) knownUntil(now time.Time) time.Time {
	if e.Relayed {
		return e.ViewedAt
	}
	return now
}

// setPeer replaces the peer by a later version. An instance that was given to another
// service has another server, which holds no flow of the addresses that the last one served.
func (e *Entry) setPeer(peer gooseberrymast.Peer) {
	if e.Service != peer.Service {
		e.Served = nil
	}
	e.Peer = peer
}

func (e *Entry) clearQuestions() {
	e.AskedSince, e.AskedAt, e.Questions = time.Time{}, time.Time{}, 0
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
