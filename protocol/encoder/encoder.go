// Package encoder encodes and decodes what this system adds to the protocols
// that callers use: tickets, refusals and header fields. It also converts
// types of the root package to and from hand-over messages.
package encoder

import (
	"fmt"
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/handover"
)

// The header fields of this system.
const (
	// HeaderTicket carries a ticket with a request.
	HeaderTicket = "Gooseberrymast-Ticket"
	// HeaderRefusal carries the encoded record of a refusal with an answer.
	HeaderRefusal = "Gooseberrymast-Refusal"
	// HeaderNotRun is set to "true" by a backend server on a 503 answer to a
	// request that it did not run. Without it a 503 counts as a failure.
	HeaderNotRun = "Gooseberrymast-Not-Run"
	// HeaderRequestID identifies a request for tracing. It is passed on
	// unchanged.
	HeaderRequestID = "Gooseberrymast-Request-Id"
)

// TicketPath is the path to which a caller sends a POST request for tickets.
// The query parameter "n" is the number of tickets, one by default.
const TicketPath = "/.well-known/gooseberrymast/ticket"

// MaxTickets is the largest number of tickets in one request to TicketPath.
const MaxTickets = 64

// Identity encodes an identity.
func Identity(identity gooseberrymast.Identity) *handover.Identity {
	return &handover.Identity{
		Address:     identity.Address.String(),
		Incarnation: uint32(identity.Incarnation),
	}
}

// ParseIdentity decodes an identity.
func ParseIdentity(message *handover.Identity) (gooseberrymast.Identity, error) {
	address, err := netip.ParseAddrPort(message.GetAddress())
	if err != nil {
		return gooseberrymast.Identity{}, fmt.Errorf("encoder.ParseIdentity: %w", err)
	}
	return gooseberrymast.Identity{
		Address:     address,
		Incarnation: gooseberrymast.Incarnation(message.GetIncarnation()),
	}, nil
}

// Refusal encodes a refusal.
func Refusal(refusal gooseberrymast.Refusal) *handover.Refusal {
	return &handover.Refusal{
		Id:            refusal.ID,
		Reason:        string(refusal.Reason),
		Ran:           string(refusal.Ran),
		Service:       refusal.Service,
		Limit:         refusal.Limit,
		Value:         refusal.Value,
		Revision:      refusal.Revision,
		Instance:      refusal.Instance,
		TimeUnixNanos: refusal.Time.UnixNano(),
	}
}

// ParseRefusal decodes a refusal. Any value of ran but "no" is read as unknown,
// so that a damaged message never turns an unknown outcome into "not run".
func ParseRefusal(message *handover.Refusal) gooseberrymast.Refusal {
	ran := gooseberrymast.RanUnknown
	if gooseberrymast.Ran(message.GetRan()) == gooseberrymast.RanNo {
		ran = gooseberrymast.RanNo
	}
	return gooseberrymast.Refusal{
		ID:       message.GetId(),
		Reason:   gooseberrymast.Reason(message.GetReason()),
		Ran:      ran,
		Service:  message.GetService(),
		Limit:    message.GetLimit(),
		Value:    message.GetValue(),
		Revision: message.GetRevision(),
		Instance: message.GetInstance(),
		Time:     time.Unix(0, message.GetTimeUnixNanos()).UTC(),
	}
}

// Load encodes an agent's load.
func Load(load gooseberrymast.Load) *handover.Load {
	return &handover.Load{
		FreeSlots: load.FreeSlots,
		Queued:    load.Queued,
		Streams:   load.Streams,
		Flows:     load.Flows,
		Leaving:   load.Leaving,
	}
}

// ParseLoad decodes an agent's load.
func ParseLoad(message *handover.Load) gooseberrymast.Load {
	return gooseberrymast.Load{
		FreeSlots: message.GetFreeSlots(),
		Queued:    message.GetQueued(),
		Streams:   message.GetStreams(),
		Flows:     message.GetFlows(),
		Leaving:   message.GetLeaving(),
	}
}

// Ticket encodes a ticket. It returns nil for the zero ticket.
func Ticket(ticket gooseberrymast.Ticket) *handover.Ticket {
	if ticket.IsZero() {
		return nil
	}
	return &handover.Ticket{
		Issuer:   Identity(ticket.Issuer),
		Service:  uint32(ticket.Service),
		Sequence: ticket.Sequence,
	}
}

// ParseTicket decodes a ticket. It returns the zero ticket for nil.
func ParseTicket(message *handover.Ticket) (gooseberrymast.Ticket, error) {
	if message == nil {
		return gooseberrymast.Ticket{}, nil
	}
	issuer, err := ParseIdentity(message.GetIssuer())
	if err != nil {
		return gooseberrymast.Ticket{}, fmt.Errorf("encoder.ParseTicket: %w", err)
	}
	return gooseberrymast.Ticket{
		Issuer:   issuer,
		Service:  gooseberrymast.ServiceTag(message.GetService()),
		Sequence: message.GetSequence(),
	}, nil
}
