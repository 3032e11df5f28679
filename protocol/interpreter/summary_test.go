package interpreter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

func TestSummariesRoundTrip(t *testing.T) {
	is := is.New(t)
	summary := gooseberrymast.Summary{
		Zone: "cairo-a", Document: gooseberrymast.DocumentStatus{
			Version: gooseberrymast.DocumentVersion{Number: 1 << 40, Revision: 1 << 41, Digest: 1 << 63}, Age: 250 * time.Millisecond, Confirmed: true,
			StoreEra: 1 << 40, ReadAge: 125 * time.Millisecond, Read: true,
		},
	}
	for number := range 2*maxSummaryPeers + 1 {
		summary.Peers = append(summary.Peers, gooseberrymast.PeerSummary{
			Peer:    testAgent(number),
			Load:    gooseberrymast.FlowLoad{Slots: 400, InProgress: 300, Flows: 2000, WarmUpLeft: 1500 * time.Millisecond, Failing: 0.25},
			Silence: time.Duration(number) * time.Millisecond,
			Heard:   number%2 == 0,
		})
	}
	messages := Summaries(summary)
	is.Equal(len(messages), 3)
	var peers []gooseberrymast.PeerSummary
	for _, message := range messages {
		read := ReadSummary(roundTrip(t, message).GetSummary())
		is.Equal(read.Zone, summary.Zone)
		is.Equal(read.Document, summary.Document)
		peers = append(peers, read.Peers...)
	}
	is.Equal(peers, summary.Peers)
}

// Each datagram of a summary must have the evacuations, since any may be lost, and a long
// list must not make a datagram too large. A missing list is not an empty one.
func TestSummariesCarryEvacuations(t *testing.T) {
	is := is.New(t)
	summary := gooseberrymast.Summary{Zone: "cairo-a", Evacuations: testEvacuations()}
	for number := range maxSummaryPeers {
		summary.Peers = append(summary.Peers, gooseberrymast.PeerSummary{Peer: testAgent(number), Heard: true})
	}
	for number := range 25 {
		summary.Evacuations.Zones = append(summary.Evacuations.Zones, fmt.Sprintf("another-availability-zone-%d", number))
	}
	peers := 0
	for _, message := range Summaries(summary) {
		read := ReadSummary(roundTrip(t, message).GetSummary())
		is.Equal(read.Evacuations, summary.Evacuations)
		peers += len(read.Peers)
	}
	is.Equal(peers, maxSummaryPeers)
	summary.Evacuations = gooseberrymast.EvacuationStatus{}
	is.True(!ReadSummary(roundTrip(t, Summaries(summary)[0]).GetSummary()).Evacuations.Known)
	summary.Evacuations.Known = true // no zone is evacuated
	is.True(ReadSummary(roundTrip(t, Summaries(summary)[0]).GetSummary()).Evacuations.Known)
}

// A summary whose peers report work must neither exceed a datagram nor lose anything.
func TestSummariesWithWorkRoundTrip(t *testing.T) {
	is := is.New(t)
	summary := gooseberrymast.Summary{Zone: "cairo-a"}
	for number := range 2 * maxSummaryPeers {
		viewed := gooseberrymast.PeerSummary{Peer: testAgent(number), Load: gooseberrymast.FlowLoad{Slots: 2}, Heard: true}
		if number%3 > 0 {
			viewed.Load.Work = testWork()
		}
		summary.Peers = append(summary.Peers, viewed)
	}
	var peers []gooseberrymast.PeerSummary
	for _, message := range Summaries(summary) {
		peers = append(peers, ReadSummary(roundTrip(t, message).GetSummary()).Peers...)
	}
	is.Equal(peers, summary.Peers)
}

// A member that is missing must not make the process fail.
func TestSummaryWithoutMembersIsRead(t *testing.T) {
	is := is.New(t)
	message := Summaries(gooseberrymast.Summary{Zone: "a", Peers: make([]gooseberrymast.PeerSummary, 1)})[0].GetSummary()
	message.Peers[0].Member, message.Peers[0].Load = nil, nil
	is.Equal(len(ReadSummary(message).Peers), 1)
}
