// Package interpreter converts between the types of the root package and the
// peer messages, which packet-forwarding processes send to each other. It also
// encodes a peer's record in the store.
package interpreter

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/peer"
	"gooseberrymast/protocol/wrapper"
)

// ErrMalformed means that a datagram is not a valid peer message, or that a
// value in the store is not a valid record.
var ErrMalformed = errors.New("malformed message of a peer")

// maxRosterPeers is the maximum number of peers in one datagram. A peer takes
// about 40 bytes, so that all take less than 1,200 bytes.
const maxRosterPeers = 24

// maxPartBytes is the maximum number of bytes of a document in one datagram.
const maxPartBytes = 1100

// Encode encodes a message as one datagram.
func Encode(message *peer.Message) ([]byte, error) {
	datagram, err := proto.MarshalOptions{}.MarshalAppend([]byte{wrapper.KindMessage}, message)
	if err != nil {
		return nil, fmt.Errorf("interpreter.Encode: %w", err)
	}
	return datagram, nil
}

// Decode decodes the message in a datagram.
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

// permille converts between shares of one and the thousandths that are sent.
const permille = 1000

// Report returns the message for a report.
func Report(report gooseberrymast.Report) *peer.Message {
	return &peer.Message{Body: &peer.Message_Report{Report: &peer.Report{
		Self:              encodeMember(report.Peer),
		Load:              encodeLoad(report.Load),
		DocumentVersion:   report.Document.Version.Revision,
		DocumentNumber:    report.Document.Version.Number,
		DocumentDigest:    report.Document.Version.Digest,
		DocumentAgeMs:     uint32(report.Document.Age.Milliseconds()),
		DocumentConfirmed: report.Document.Confirmed,
		DocumentReadAgeMs: uint32(report.Document.ReadAge.Milliseconds()),
		DocumentRead:      report.Document.Read,
		StoreEra:          report.Document.StoreEra,
		SettledEra:        report.Document.SettledEra,
		BalancersDigest:   report.Digests.Balancers,
		AgentsDigest:      report.Digests.Agents,
		Relayed:           report.Relayed,
		Evacuations:       encodeEvacuations(report.Evacuations),
	}}}
}

// ReadReport decodes a report.
func ReadReport(message *peer.Report) gooseberrymast.Report {
	return gooseberrymast.Report{
		Peer:     decodeMember(message.GetSelf()),
		Load:     decodeLoad(message.GetLoad()),
		Document: readDocumentStatus(message),
		Digests: gooseberrymast.RosterDigests{
			Balancers: message.GetBalancersDigest(), Agents: message.GetAgentsDigest(),
		},
		Relayed:     message.GetRelayed(),
		Evacuations: decodeEvacuations(message.GetEvacuations()),
	}
}

// Rosters returns the messages that list peers, up to maxRosterPeers in each.
func Rosters(peers []gooseberrymast.Peer) []*peer.Message {
	var messages []*peer.Message
	for len(peers) > 0 {
		part := peers[:min(maxRosterPeers, len(peers))]
		peers = peers[len(part):]
		roster := &peer.Roster{}
		for _, p := range part {
			roster.Members = append(roster.Members, encodeMember(p))
		}
		messages = append(messages, &peer.Message{Body: &peer.Message_Roster{Roster: roster}})
	}
	return messages
}

// ReadRoster decodes a list of peers.
func ReadRoster(message *peer.Roster) []gooseberrymast.Peer {
	peers := make([]gooseberrymast.Peer, 0, len(message.GetMembers()))
	for _, m := range message.GetMembers() {
		peers = append(peers, decodeMember(m))
	}
	return peers
}

// DocumentRequest returns the message that requests a version of the document.
func DocumentRequest(version gooseberrymast.DocumentVersion) *peer.Message {
	return &peer.Message{Body: &peer.Message_DocumentRequest{DocumentRequest: &peer.DocumentRequest{Version: version.Revision}}}
}

// Owners returns the message by which an agent reports the flows that it owns.
func Owners(owner gooseberrymast.Endpoint, held []gooseberrymast.FlowKey) *peer.Message {
	owners := &peer.Owners{Owner: encodeEndpoint(owner)}
	for _, key := range held {
		owners.Held = append(owners.Held, &peer.Flow{Caller: encodeEndpoint(key.Caller), Service: encodeEndpoint(key.Service)})
	}
	return &peer.Message{Body: &peer.Message_Owners{Owners: owners}}
}

// ReadOwners decodes the flows that an agent owns.
func ReadOwners(message *peer.Owners) (owner gooseberrymast.Endpoint, held []gooseberrymast.FlowKey) {
	for _, flow := range message.GetHeld() {
		held = append(held, gooseberrymast.FlowKey{Caller: decodeEndpoint(flow.GetCaller()), Service: decodeEndpoint(flow.GetService())})
	}
	return decodeEndpoint(message.GetOwner()), held
}

func encodeLoad(load gooseberrymast.FlowLoad) *peer.Load {
	encoded := &peer.Load{
		Slots:           uint32(load.Slots),
		InProgress:      uint32(load.InProgress),
		Flows:           uint32(load.Flows),
		ColdMs:          uint32(load.WarmUpLeft.Milliseconds()),
		FailingPermille: uint32(load.Failing * permille),
		Limited:         load.Limited,
		Room:            uint32(load.Room),
	}
	if load.Work.Cost > 0 {
		encodeWork(encoded, load.Work)
	}
	return encoded
}

// encodeWork adds the expected work to a load. A cost of less than a microsecond is sent
// as one, since zero means that there is none.
func encodeWork(into *peer.Load, work gooseberrymast.WorkLoad) {
	into.CostUs = max(1, encodeMicros(work.Cost))
	into.OutstandingUs = encodeMicros(work.Outstanding)
	into.FlowPermille = uint32(min(max(work.FlowShare, 0), maxFlowShare) * permille)
	for _, route := range work.RouteCosts {
		if route.Cost > 0 {
			into.RouteTags = append(into.RouteTags, route.Tag)
			into.RouteCostsUs = append(into.RouteCostsUs, max(1, encodeMicros(route.Cost)))
		}
	}
}

// maxFlowShare bounds the share that is sent; beyond it servers are equally overloaded.
const maxFlowShare = 1000

// encodeMicros returns a time that is not negative in microseconds, at most some 71
// minutes.
func encodeMicros(elapsed time.Duration) uint32 {
	return uint32(min(max(elapsed.Microseconds(), 0), math.MaxUint32))
}

func decodeLoad(message *peer.Load) gooseberrymast.FlowLoad {
	return gooseberrymast.FlowLoad{
		Slots:      int(message.GetSlots()),
		InProgress: int(message.GetInProgress()),
		Flows:      int(message.GetFlows()),
		WarmUpLeft: time.Duration(message.GetColdMs()) * time.Millisecond,
		Failing:    min(float64(message.GetFailingPermille())/permille, 1),
		Work:       decodeWork(message),
		Limited:    message.GetLimited(),
		Room:       int(message.GetRoom()),
	}
}

func decodeWork(message *peer.Load) gooseberrymast.WorkLoad {
	if message.GetCostUs() == 0 {
		return gooseberrymast.WorkLoad{}
	}
	work := gooseberrymast.WorkLoad{
		Cost:        decodeMicros(message.GetCostUs()),
		Outstanding: decodeMicros(message.GetOutstandingUs()),
		FlowShare:   min(float64(message.GetFlowPermille())/permille, maxFlowShare),
	}
	tags, costs := message.GetRouteTags(), message.GetRouteCostsUs()
	for i := range min(len(tags), len(costs), len(work.RouteCosts)) {
		work.RouteCosts[i] = gooseberrymast.RouteCost{Tag: tags[i], Cost: decodeMicros(costs[i])}
	}
	return work
}

func decodeMicros(micros uint32) time.Duration {
	return time.Duration(micros) * time.Microsecond
}

func encodeMember(p gooseberrymast.Peer) *peer.Member {
	return &peer.Member{
		Endpoint:    encodeEndpoint(p.Endpoint),
		Role:        uint32(p.Role),
		Incarnation: p.Incarnation,
		Sequence:    p.Sequence,
		State:       uint32(p.State),
		Service:     p.Service,
		Zone:        p.Zone,
	}
}

func decodeMember(message *peer.Member) gooseberrymast.Peer {
	return gooseberrymast.Peer{
		Endpoint:    decodeEndpoint(message.GetEndpoint()),
		Role:        gooseberrymast.Role(message.GetRole()),
		Incarnation: message.GetIncarnation(),
		Sequence:    message.GetSequence(),
		State:       gooseberrymast.State(message.GetState()),
		Service:     message.GetService(),
		Zone:        message.GetZone(),
	}
}

func encodeEndpoint(endpoint gooseberrymast.Endpoint) uint64 {
	ip := endpoint.IP
	return uint64(ip[0])<<40 | uint64(ip[1])<<32 | uint64(ip[2])<<24 | uint64(ip[3])<<16 | uint64(endpoint.Port)
}

func decodeEndpoint(number uint64) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{
		IP:   [4]byte{byte(number >> 40), byte(number >> 32), byte(number >> 24), byte(number >> 16)},
		Port: uint16(number),
	}
}
