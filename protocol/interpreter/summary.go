package interpreter

import (
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/peer"
)

// maxSummaryPeers is the maximum number of peers in one datagram. A peer with its
// load takes about 50 bytes, so that all take less than 1,200 bytes.
const maxSummaryPeers = 22

// workPeers is the number of peers that one with its expected work counts for: the work
// takes up to 45 bytes.
const workPeers = 2

// cutSummary returns the number of peers that fit into one datagram.
func cutSummary(peers []gooseberrymast.PeerSummary) int {
	room := maxSummaryPeers
	for i := range peers {
		if room--; peers[i].Load.Work.Cost > 0 {
			room -= workPeers - 1
		}
		if room < 0 {
			return i
		}
	}
	return len(peers)
}

// Summaries returns the messages of a summary, up to maxSummaryPeers peers in each.
func Summaries(summary gooseberrymast.Summary) []*peer.Message {
	var messages []*peer.Message
	for rest := summary.Peers; len(rest) > 0; {
		part := rest[:cutSummary(rest)]
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
