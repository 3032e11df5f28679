// Package encoder writes and reads the parts of the protocols towards callers
// that are this system's own: tickets, refusals and header fields.
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
	// HeaderRefusal carries the record of a refusal, encoded, with an answer.
	HeaderRefusal = "Gooseberrymast-Refusal"
	// HeaderNotRun is set to "true" by a backend server on a 503 answer to a
	// request that it did not run. Without it a 503 counts as a failure.
	HeaderNotRun = "Gooseberrymast-Not-Run"
	// HeaderRequestID names a request to the people who trace it. It is
	// passed on unchanged.
	HeaderRequestID = "Gooseberrymast-Request-Id"
)

// TicketPath is the path at which a caller obtains tickets by POST. The query
// parameter "n" is the number of tickets, one by default.
const TicketPath = "/.well-known/gooseberrymast/ticket"

// MaxTickets bounds the tickets of one request to TicketPath.
const MaxTickets = 64

// Identity gives the message for an identity.
func Identity(identity gooseberrymast.Identity) *handover.Identity {
	return &handover.Identity{
		Address:     identity.Address.String(),
		Incarnation: uint32(identity.Incarnation),
	}
}

// ParseIdentity reads what Identity wrote.
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

// Refusal gives the message for a refusal.
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

// ParseRefusal reads what Refusal wrote. Any value of ran but "no" is read as
// unknown, so that no damage turns an unknown outcome into "not run".
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

// Load gives the message for an agent's load.
func Load(load gooseberrymast.Load) *handover.Load {
	return &handover.Load{
		FreeSlots: load.FreeSlots,
		Queued:    load.Queued,
		Streams:   load.Streams,
		Flows:     load.Flows,
		Leaving:   load.Leaving,
	}
}

// ParseLoad reads what Load wrote.
func ParseLoad(message *handover.Load) gooseberrymast.Load {
	return gooseberrymast.Load{
		FreeSlots: message.GetFreeSlots(),
		Queued:    message.GetQueued(),
		Streams:   message.GetStreams(),
		Flows:     message.GetFlows(),
		Leaving:   message.GetLeaving(),
	}
}

// Ticket gives the message for a ticket, or nil for none.
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

// ParseTicket reads what Ticket wrote.
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
