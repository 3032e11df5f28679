package interpreter

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/peer"
)

const (
	// maxSummaryPeers is the maximum number of peers in one datagram. A peer with its
	// load takes about 50 bytes, so that all take less than 1,200 bytes.
	maxSummaryPeers = 22
	// summaryPeerBytes is the size of one of them.
	summaryPeerBytes = 50
)

// workPeers is the number of peers that one with its expected work counts for: the work
// takes up to 45 bytes.
const workPeers = 2

// cutSummary returns the number of peers, one at least, that fit into the room for a
// number of peers without work.
func cutSummary(peers []gooseberrymast.PeerSummary, room int) int {
	for i := range peers {
		if room--; peers[i].Load.Work.Cost > 0 {
			room -= workPeers - 1
		}
		if room < 0 && i > 0 {
			return i
		}
	}
	return len(peers)
}

// Summaries returns the messages of a summary, up to maxSummaryPeers peers in each and
// fewer beside a long list of evacuations.
func Summaries(summary gooseberrymast.Summary) []*peer.Message {
	var messages []*peer.Message
	evacuations := encodeEvacuations(summary.Evacuations)
	maxPeers := max(1, maxSummaryPeers-encodedBytes(evacuations)/summaryPeerBytes)
	for rest := summary.Peers; len(rest) > 0; {
		part := rest[:cutSummary(rest, maxPeers)]
		rest = rest[len(part):]
		message := &peer.Summary{
			Zone:              summary.Zone,
			Forwarded:         summary.Forwarded,
			DocumentVersion:   summary.Document.Version.Revision,
			DocumentNumber:    summary.Document.Version.Number,
			DocumentDigest:    summary.Document.Version.Digest,
			DocumentAgeMs:     uint32(summary.Document.Age.Milliseconds()),
			DocumentConfirmed: summary.Document.Confirmed,
			DocumentReadAgeMs: uint32(summary.Document.ReadAge.Milliseconds()),
			DocumentRead:      summary.Document.Read,
			StoreEra:          summary.Document.StoreEra,
			SettledEra:        summary.Document.SettledEra,
			Evacuations:       evacuations,
		}
		for _, p := range part {
			member := encodeMember(p.Peer)
			member.Zone = ""
			message.Peers = append(message.Peers, &peer.SummarisedPeer{
				Member:    member,
				Load:      encodeLoad(p.Load),
				SilenceMs: uint32(p.Silence.Milliseconds()),
				Heard:     p.Heard,
			})
		}
		messages = append(messages, &peer.Message{Body: &peer.Message_Summary{Summary: message}})
	}
	return messages
}

// ReadSummary decodes a summary.
func ReadSummary(message *peer.Summary) gooseberrymast.Summary {
	summary := gooseberrymast.Summary{
		Zone:      message.GetZone(),
		Forwarded: message.GetForwarded(),
		Document:  readDocumentStatus(message),

		Evacuations: decodeEvacuations(message.GetEvacuations()),
	}
	for _, p := range message.GetPeers() {
		decoded := gooseberrymast.PeerSummary{
			Peer:    decodeMember(p.GetMember()),
			Load:    decodeLoad(p.GetLoad()),
			Silence: time.Duration(p.GetSilenceMs()) * time.Millisecond,
			Heard:   p.GetHeard(),
		}
		decoded.Peer.Zone = summary.Zone
		summary.Peers = append(summary.Peers, decoded)
	}
	return summary
}
