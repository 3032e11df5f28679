package roster

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var epoch = time.Unix(1000, 0)

func peer(number byte, incarnation, sequence uint64) gooseberrymast.Peer {
	return gooseberrymast.Peer{
		Endpoint: gooseberrymast.Endpoint{IP: [4]byte{10, 0, 0, number}, Port: 7000},
		Role:     gooseberrymast.RoleAgent, Incarnation: incarnation, Sequence: sequence, State: gooseberrymast.StateReady,
	}
}

func report(number byte, incarnation, sequence uint64) gooseberrymast.Report {
	return gooseberrymast.Report{Peer: peer(number, incarnation, sequence)}
}

func TestReportOfOlderIncarnationIsSuperseded(t *testing.T) {
	is := is.New(t)
	var roster Roster
	changed, superseded := roster.HandleReport(report(1, 5, 1), epoch)
	is.True(changed && !superseded)
	changed, superseded = roster.HandleReport(report(1, 5, 1), epoch.Add(time.Second))
	is.True(!changed && !superseded)
	_, superseded = roster.HandleReport(report(1, 4, 9), epoch)
	is.True(superseded) // the sender must take a higher incarnation
	entry, ok := roster.Get(peer(1, 0, 0).Endpoint)
	is.True(ok)
	is.Equal(entry.Incarnation, uint64(5))
	is.True(entry.Reporting(epoch.Add(time.Second + SilentAfter - 1)))
	is.True(!entry.Reporting(epoch.Add(time.Second + SilentAfter)))
}

func TestMergedPeerIsSilentUntilItReports(t *testing.T) {
	is := is.New(t)
	var roster Roster
	is.True(roster.Merge([]gooseberrymast.Peer{peer(1, 0, 0)}, epoch))
	is.True(!roster.Merge([]gooseberrymast.Peer{peer(1, 0, 0)}, epoch))
	entry, _ := roster.Get(peer(1, 0, 0).Endpoint)
	is.True(!entry.Reporting(epoch))
	roster.HandleReport(report(1, 3, 0), epoch)
	entry, _ = roster.Get(peer(1, 0, 0).Endpoint)
	is.True(entry.Reporting(epoch))
}

// TestMergeOrderDoesNotMatter merges the same updates into two rosters in
// different orders and expects the same entries and digests.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	is := is.New(t)
	var updates []gooseberrymast.Peer
	for number := range byte(20) {
		for sequence := range uint64(4) {
			updates = append(updates, peer(number, 1+sequence/2, sequence))
		}
	}
	random := rand.New(rand.NewPCG(3, 4))
	var first, second Roster
	own := peer(99, 1, 1)
	first.Merge(updates, epoch)
	random.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
	for _, update := range updates {
		second.Merge([]gooseberrymast.Peer{update}, epoch)
	}
	is.Equal(first.Digests(own), second.Digests(own))
	is.Equal(first.Entries(nil), second.Entries(nil))
	second.Merge([]gooseberrymast.Peer{peer(3, 9, 0)}, epoch)
	is.Equal(first.Digests(own), second.Digests(own)) // digests ignore incarnations: a restarted peer reports itself
	second.Merge([]gooseberrymast.Peer{peer(33, 1, 0)}, epoch)
	is.True(first.Digests(own) != second.Digests(own))
	gone := peer(33, 2, 0)
	gone.State = gooseberrymast.StateGone
	second.Merge([]gooseberrymast.Peer{gone}, epoch)
	is.Equal(first.Digests(own), second.Digests(own)) // digests exclude peers in StateGone
}

func TestDigestIncludesOwnEntry(t *testing.T) {
	is := is.New(t)
	var first, second Roster
	first.Merge([]gooseberrymast.Peer{peer(2, 1, 1)}, epoch)
	second.Merge([]gooseberrymast.Peer{peer(1, 1, 1)}, epoch)
	is.Equal(first.Digests(peer(1, 1, 1)), second.Digests(peer(2, 1, 1)))
}

func TestExpireDropsPeersAndTheirDigests(t *testing.T) {
	is := is.New(t)
	var roster Roster
	before := roster.Digests(peer(9, 1, 1))
	roster.HandleReport(report(1, 1, 1), epoch)
	is.Equal(len(roster.Expire(epoch.Add(ForgetAfter))), 0)
	is.Equal(len(roster.Expire(epoch.Add(ForgetAfter+1))), 1)
	is.Equal(roster.Digests(peer(9, 1, 1)), before)
}
