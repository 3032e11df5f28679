// Package hander hands requests over to other agents of the service, over at most
// one hop, and queries these agents about requests and tickets. Each request is a
// stream of protobuf frames on a persistent session. The stream's window limits
// the data in flight, so a large body is never held in memory as a whole.
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

// QueryTimeout limits the duration of QueryOutcome, Spend, QueryLoad and
// ReportCount.
const QueryTimeout = 2 * time.Second

// ErrUnknownPeer means that no control address is known for a peer.
var ErrUnknownPeer = errors.New("no control address is known for the peer")

// errUnexpectedFrame means that a peer sent a frame that isn't allowed at this
// point of the stream.
var errUnexpectedFrame = errors.New("unexpected frame")

// Client hands requests over to peers. Its fields must not change after the first
// use.
type Client struct {
	// Self is the agent's own identity.
	Self gooseberrymast.Identity
	// Service is the agent's service.
	Service gooseberrymast.ServiceTag
	// Pool holds the sessions to the other agents.
	Pool *linker.Pool
	// Locate returns a peer's control address.
	Locate func(peer gooseberrymast.Identity) (netip.AddrPort, bool)
	// OnLoad, unless nil, is called with the load in each reply of a peer.
	OnLoad func(peer gooseberrymast.Identity, load gooseberrymast.Load)
}

// HandOver sends a request to a peer. It returns the answer, whose body must be
// closed, once its head has arrived, or else the result of the failed attempt. The
// refusal is set for ResultRefused only.
func (c *Client) HandOver(ctx context.Context, peer gooseberrymast.Identity, work gooseberrymast.Work, request *executor.Request) (*http.Response, gooseberrymast.Result, gooseberrymast.Refusal) {
	stream, err := c.open(ctx, peer)
	if err != nil {
		return nil, gooseberrymast.ResultNotSent, gooseberrymast.Refusal{}
	}
	handOver := &handOver{client: c, peer: peer, work: work, request: request, stream: stream}
	return handOver.run(ctx)
}

// QueryOutcome queries a peer whether a request that was handed over to it ran or
// may still run. known is false if the peer sent no answer or is another
// incarnation.
func (c *Client) QueryOutcome(ctx context.Context, peer gooseberrymast.Identity, originID gooseberrymast.WorkID) (known, ran bool) {
	request := &handover.Request{Frame: &handover.Request_Ask{Ask: &handover.Ask{
		Target:   encoder.Identity(peer),
		Origin:   encoder.Identity(c.Self),
		OriginId: uint64(originID),
	}}}
	reply, err := c.query(ctx, peer, request)
	if err != nil || !reply.GetAsked().GetKnown() {
		return false, false
	}
	return true, reply.GetAsked().GetRan()
}

// Spend requests from the issuer of a ticket the one run that the ticket allows.
// known is false if the issuer sent no answer or the ticket isn't of its
// incarnation and service.
func (c *Client) Spend(ctx context.Context, ticket gooseberrymast.Ticket) (known, granted bool) {
	request := &handover.Request{Frame: &handover.Request_Spend{Spend: &handover.Spend{
		Ticket: encoder.Ticket(ticket),
	}}}
	reply, err := c.query(ctx, ticket.Issuer, request)
	if err != nil || !reply.GetSpent().GetKnown() {
		return false, false
	}
	return true, reply.GetSpent().GetGranted()
}

// QueryLoad queries a peer's load, which is passed to OnLoad. It reports whether the
// peer answered.
func (c *Client) QueryLoad(ctx context.Context, peer gooseberrymast.Identity) bool {
	_, err := c.query(ctx, peer, &handover.Request{Frame: &handover.Request_Measure{Measure: &handover.Measure{}}})
	return err == nil
}

// ReportCount reports admitted requests of a caller to the agent that counts this
// caller's requests. known is false if that agent sent no answer or is another
// incarnation.
func (c *Client) ReportCount(ctx context.Context, home gooseberrymast.Identity, caller netip.Addr, admitted int) (known bool, granted int, wait time.Duration) {
	request := &handover.Request{Frame: &handover.Request_Count{Count: &handover.Count{
		Target:   encoder.Identity(home),
		Caller:   caller.String(),
		Admitted: int32(admitted),
	}}}
	reply, err := c.query(ctx, home, request)
	counted := reply.GetCounted()
	if err != nil || !counted.GetKnown() {
		return false, 0, 0
	}
	return true, int(counted.GetGranted()), time.Duration(counted.GetWaitNanos())
}

// query sends one frame on a new stream and reads one reply.
func (c *Client) query(ctx context.Context, peer gooseberrymast.Identity, request *handover.Request) (*handover.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, QueryTimeout)
	defer cancel()
	stream, err := c.open(ctx, peer)
	if err != nil {
		return nil, fmt.Errorf("Client.query: %w", err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := linker.WriteMessage(stream, request); err != nil {
		return nil, fmt.Errorf("Client.query %s: %w", peer, err)
	}
	reply := &handover.Reply{}
	if err := linker.ReadMessage(stream, reply); err != nil {
		return nil, fmt.Errorf("Client.query %s: %w", peer, err)
	}
	c.reportLoad(peer, reply)
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

func (c *Client) reportLoad(peer gooseberrymast.Identity, reply *handover.Reply) {
	if c.OnLoad != nil && reply.GetLoad() != nil {
		c.OnLoad(peer, encoder.ParseLoad(reply.GetLoad()))
	}
}

// attemptResult returns the result of an attempt that ended without an answer
// after the request was sent.
func attemptResult(ctx context.Context) gooseberrymast.Result {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return gooseberrymast.ResultBroken
	case errors.Is(cause, context.DeadlineExceeded):
		return gooseberrymast.ResultTimedOut
	}
	return gooseberrymast.ResultCancelled
}
