// Package hander hands requests over to other agents of the service, at most
// one hop, and asks them about requests and tickets. Each request is a stream
// of protobuf frames on a kept session; the stream's window bounds what is in
// flight, so no body is held whole.
package hander

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
	"gooseberrymast/protocol/messages/handover"
	"gooseberrymast/transport/executor"
	"gooseberrymast/transport/linker"
)

// QuestionTimeout bounds Ask and Spend.
const QuestionTimeout = 2 * time.Second

// ErrUnknownPeer means that no control address is known for a peer.
var ErrUnknownPeer = errors.New("no control address is known for the peer")

// errProtocol means that a peer sent a frame that has no place.
var errProtocol = errors.New("unexpected frame")

// Client hands requests over. Its fields must not change after the first use.
type Client struct {
	// Self is the agent's own identity.
	Self gooseberrymast.Identity
	// Service is the agent's service.
	Service gooseberrymast.ServiceTag
	// Pool keeps the sessions to the other agents.
	Pool *linker.Pool
	// Locate gives a peer's control address.
	Locate func(peer gooseberrymast.Identity) (netip.AddrPort, bool)
	// OnLoad, unless nil, is given the load that came with each answer.
	OnLoad func(peer gooseberrymast.Identity, load gooseberrymast.Load)
}

// HandOver sends a request to a peer. It gives the answer once its head has
// arrived, whose body must be closed, or the result of the attempt. The
// refusal is set for ResultRefused only.
func (c *Client) HandOver(ctx context.Context, peer gooseberrymast.Identity, work gooseberrymast.Work, request *executor.Request) (*http.Response, gooseberrymast.Result, gooseberrymast.Refusal) {
	stream, err := c.open(ctx, peer)
	if err != nil {
		return nil, gooseberrymast.ResultNotSent, gooseberrymast.Refusal{}
	}
	handOver := &handOver{client: c, peer: peer, work: work, request: request, stream: stream}
	return handOver.run(ctx)
}

// Ask asks a peer whether a request that was handed over to it ran or may
// still run. Known is false when the peer gave no answer.
func (c *Client) Ask(ctx context.Context, peer gooseberrymast.Identity, originID gooseberrymast.WorkID) (known, ran bool) {
	question := &handover.Request{Frame: &handover.Request_Ask{Ask: &handover.Ask{
		Target:   encoder.Identity(peer),
		Origin:   encoder.Identity(c.Self),
		OriginId: uint64(originID),
	}}}
	reply, err := c.question(ctx, peer, question)
	if err != nil || !reply.GetAsked().GetKnown() {
		return false, false
	}
	return true, reply.GetAsked().GetRan()
}

// Spend asks the issuer of a ticket for leave to run. Known is false when the
// issuer gave no answer.
func (c *Client) Spend(ctx context.Context, ticket gooseberrymast.Ticket) (known, granted bool) {
	question := &handover.Request{Frame: &handover.Request_Spend{Spend: &handover.Spend{
		Ticket: encoder.Ticket(ticket),
	}}}
	reply, err := c.question(ctx, ticket.Issuer, question)
	if err != nil || !reply.GetSpent().GetKnown() {
		return false, false
	}
	return true, reply.GetSpent().GetGranted()
}

// Measure asks a peer for its load, which OnLoad is given. It reports whether
// the peer answered.
func (c *Client) Measure(ctx context.Context, peer gooseberrymast.Identity) bool {
	_, err := c.question(ctx, peer, &handover.Request{Frame: &handover.Request_Measure{Measure: &handover.Measure{}}})
	return err == nil
}

// Count reports admitted requests of a caller to the agent that counts it.
// Known is false when that agent gave no answer.
func (c *Client) Count(ctx context.Context, home gooseberrymast.Identity, caller netip.Addr, admitted int) (known bool, granted int, wait time.Duration) {
	question := &handover.Request{Frame: &handover.Request_Count{Count: &handover.Count{
		Target:   encoder.Identity(home),
		Caller:   caller.String(),
		Admitted: int32(admitted),
	}}}
	reply, err := c.question(ctx, home, question)
	counted := reply.GetCounted()
	if err != nil || !counted.GetKnown() {
		return false, 0, 0
	}
	return true, int(counted.GetGranted()), time.Duration(counted.GetWaitNanos())
}

// question sends one frame on a stream of its own and reads one reply.
func (c *Client) question(ctx context.Context, peer gooseberrymast.Identity, question *handover.Request) (*handover.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, QuestionTimeout)
	defer cancel()
	stream, err := c.open(ctx, peer)
	if err != nil {
		return nil, fmt.Errorf("Client.question: %w", err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := linker.WriteMessage(stream, question); err != nil {
		return nil, fmt.Errorf("Client.question %s: %w", peer, err)
	}
	reply := &handover.Reply{}
	if err := linker.ReadMessage(stream, reply); err != nil {
		return nil, fmt.Errorf("Client.question %s: %w", peer, err)
	}
	c.note(peer, reply)
	return reply, nil
}

func (c *Client) open(ctx context.Context, peer gooseberrymast.Identity) (*linker.Stream, error) {
	address, ok := c.Locate(peer)
	if !ok {
		return nil, fmt.Errorf("Client.open %s: %w", peer, ErrUnknownPeer)
	}
	stream, err := c.Pool.Open(ctx, address, linker.KindHandOver)
	if err != nil {
		return nil, fmt.Errorf("Client.open %s: %w", peer, err)
	}
	return stream, nil
}

func (c *Client) note(peer gooseberrymast.Identity, reply *handover.Reply) {
	if c.OnLoad != nil && reply.GetLoad() != nil {
		c.OnLoad(peer, encoder.ParseLoad(reply.GetLoad()))
	}
}

// broken gives the result of an attempt that ended without an answer after the
// request was sent.
func broken(ctx context.Context) gooseberrymast.Result {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return gooseberrymast.ResultBroken
	case errors.Is(cause, context.DeadlineExceeded):
		return gooseberrymast.ResultTimedOut
	}
	return gooseberrymast.ResultCancelled
}
