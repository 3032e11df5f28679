// Package interpreter converts between the types of the root package and the
// messages that processes which forward packets send to each other.
package interpreter

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/peer"
	"gooseberrymast/protocol/wrapper"
)

// ErrMalformed means that a datagram is not a message.
var ErrMalformed = errors.New("malformed message of a peer")

// maxRosterPeers is the number of peers in one datagram: about 40 bytes each,
// under 1,200 bytes together.
const maxRosterPeers = 24

// maxPart is the number of bytes of a document in one datagram.
const maxPart = 1100

// Encode writes a message as one datagram.
func Encode(message *peer.Message) ([]byte, error) {
	datagram, err := proto.MarshalOptions{}.MarshalAppend([]byte{wrapper.KindMessage}, message)
	if err != nil {
		return nil, fmt.Errorf("interpreter.Encode: %w", err)
	}
	return datagram, nil
}

// Decode reads a message from a datagram.
func Decode(datagram []byte) (*peer.Message, error) {
	if len(datagram) < 1 || datagram[0] != wrapper.KindMessage {
		return nil, ErrMalformed
	}
	message := &peer.Message{}
	if err := proto.Unmarshal(datagram[1:], message); err != nil {
		return nil, fmt.Errorf("interpreter.Decode: %w", err)
	}
	return message, nil
}

// permille is the unit in which shares are sent, as a part of one.
const permille = 1000

// Report makes the message of a report.
func Report(report gooseberrymast.Report) *peer.Message {
	return &peer.Message{Body: &peer.Message_Report{Report: &peer.Report{
		Self: member(report.Peer),
		Load: &peer.Load{
			Slots:      uint32(report.Load.Slots),
			InProgress: uint32(report.Load.InProgress),
			Flows:      uint32(report.Load.Flows),
			ColdMs:     uint32(report.Load.Cold.Milliseconds()),

			FailingPermille: uint32(report.Load.Failing * permille),
		},
		DocumentVersion:   report.Document.Version,
		DocumentAgeMs:     uint32(report.Document.Age.Milliseconds()),
		DocumentConfirmed: report.Document.Confirmed,
		BalancersDigest:   report.Digests.Balancers,
		AgentsDigest:      report.Digests.Agents,
	}}}
}

// ReadReport reads a report.
func ReadReport(message *peer.Report) gooseberrymast.Report {
	load := message.GetLoad()
	return gooseberrymast.Report{
		Peer: readMember(message.GetSelf()),
		Load: gooseberrymast.FlowLoad{
			Slots:      int(load.GetSlots()),
			InProgress: int(load.GetInProgress()),
			Flows:      int(load.GetFlows()),
			Cold:       time.Duration(load.GetColdMs()) * time.Millisecond,
			Failing:    min(float64(load.GetFailingPermille())/permille, 1),
		},
		Document: gooseberrymast.DocumentNews{
			Version:   message.GetDocumentVersion(),
			Age:       time.Duration(message.GetDocumentAgeMs()) * time.Millisecond,
			Confirmed: message.GetDocumentConfirmed(),
		},
		Digests: gooseberrymast.RosterDigests{
			Balancers: message.GetBalancersDigest(), Agents: message.GetAgentsDigest(),
		},
	}
}

// Rosters makes the messages that list peers.
func Rosters(peers []gooseberrymast.Peer) []*peer.Message {
	var messages []*peer.Message
	for len(peers) > 0 {
		part := peers[:min(maxRosterPeers, len(peers))]
		peers = peers[len(part):]
		roster := &peer.Roster{}
		for _, each := range part {
			roster.Members = append(roster.Members, member(each))
		}
		messages = append(messages, &peer.Message{Body: &peer.Message_Roster{Roster: roster}})
	}
	return messages
}

// ReadRoster reads a list of peers.
func ReadRoster(message *peer.Roster) []gooseberrymast.Peer {
	peers := make([]gooseberrymast.Peer, 0, len(message.GetMembers()))
	for _, each := range message.GetMembers() {
		peers = append(peers, readMember(each))
	}
	return peers
}

// Request makes the message that asks for a document.
func Request(version uint64) *peer.Message {
	return &peer.Message{Body: &peer.Message_DocumentRequest{DocumentRequest: &peer.DocumentRequest{Version: version}}}
}

// Owners makes the message by which an agent tells that it owns flows.
func Owners(owner gooseberrymast.Endpoint, held []gooseberrymast.FlowKey) *peer.Message {
	owners := &peer.Owners{Owner: number(owner)}
	for _, key := range held {
		owners.Held = append(owners.Held, &peer.Flow{Caller: number(key.Caller), Service: number(key.Service)})
	}
	return &peer.Message{Body: &peer.Message_Owners{Owners: owners}}
}

// ReadOwners reads the flows that an agent owns.
func ReadOwners(message *peer.Owners) (owner gooseberrymast.Endpoint, held []gooseberrymast.FlowKey) {
	for _, flow := range message.GetHeld() {
		held = append(held, gooseberrymast.FlowKey{Caller: endpoint(flow.GetCaller()), Service: endpoint(flow.GetService())})
	}
	return endpoint(message.GetOwner()), held
}

func member(each gooseberrymast.Peer) *peer.Member {
	return &peer.Member{
		Endpoint:    number(each.Endpoint),
		Role:        uint32(each.Role),
		Incarnation: each.Incarnation,
		Sequence:    each.Sequence,
		State:       uint32(each.State),
		Service:     each.Service,
		Zone:        each.Zone,
	}
}

func readMember(message *peer.Member) gooseberrymast.Peer {
	return gooseberrymast.Peer{
		Endpoint:    endpoint(message.GetEndpoint()),
		Role:        gooseberrymast.Role(message.GetRole()),
		Incarnation: message.GetIncarnation(),
		Sequence:    message.GetSequence(),
		State:       gooseberrymast.State(message.GetState()),
		Service:     message.GetService(),
		Zone:        message.GetZone(),
	}
}

func number(endpoint gooseberrymast.Endpoint) uint64 {
	ip := endpoint.IP
	return uint64(ip[0])<<40 | uint64(ip[1])<<32 | uint64(ip[2])<<24 | uint64(ip[3])<<16 | uint64(endpoint.Port)
}

func endpoint(number uint64) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{
		IP:   [4]byte{byte(number >> 40), byte(number >> 32), byte(number >> 24), byte(number >> 16)},
		Port: uint16(number),
	}
}
