package hander

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
	"gooseberrymast/protocol/messages/handover"
	"gooseberrymast/transport/executor"
	"gooseberrymast/transport/linker"
)

// Local is the agent's own side, which decides about what peers hand over.
type Local interface {
	// ServeHandOver treats a request and writes its answer.
	ServeHandOver(ctx context.Context, exchange *executor.Exchange) executor.Status
	// Ask reports whether a request ran or may still run here.
	Ask(origin gooseberrymast.Identity, originID gooseberrymast.WorkID) (ran bool)
	// Spend grants one run for a ticket that this agent issued.
	Spend(ticket gooseberrymast.Ticket) (granted bool)
	// Count answers a peer that has admitted requests of a caller that is
	// counted here.
	Count(caller netip.Addr, admitted int) (granted int, wait time.Duration)
	// Load gives the agent's own load.
	Load() gooseberrymast.Load
	// Refusal records a refusal that the transport itself decides.
	Refusal(reason gooseberrymast.Reason) gooseberrymast.Refusal
}

// errCancelled is the cause of a context that the peer cancelled.
var errCancelled = errors.New("the peer cancelled the request")

// Server takes what other agents hand over. Its fields must not change after
// the first use; it must not be copied.
type Server struct {
	// Self is the agent's own identity.
	Self gooseberrymast.Identity
	// Service is the agent's service; requests for others are refused.
	Service gooseberrymast.ServiceTag
	// Local decides.
	Local Local
	// Timer is the timer service.
	Timer gooseberrymast.Timer
	// Metrics counts; nil counts nothing.
	Metrics *Metrics

	mu      sync.Mutex
	running map[origin]context.CancelCauseFunc
	// settled is closed when no request is left; nil while nobody waits.
	settled chan struct{}
}

// origin names a request by the agent that holds its flow.
type origin struct {
	agent gooseberrymast.Identity
	id    gooseberrymast.WorkID
}

// Handle serves one stream. Register it for linker.KindHandOver.
func (s *Server) Handle(ctx context.Context, _ netip.AddrPort, stream *linker.Stream) {
	request := &handover.Request{}
	stream.SetReadDeadline(time.Now().Add(linker.HandshakeTimeout))
	if err := linker.ReadMessage(stream, request); err != nil {
		s.Metrics.refused(refusedFrame)
		return
	}
	stream.SetReadDeadline(time.Time{})
	switch frame := request.GetFrame().(type) {
	case *handover.Request_Begin:
		s.begin(ctx, stream, frame.Begin)
	case *handover.Request_Ask:
		s.reply(stream, &handover.Reply{Frame: &handover.Reply_Asked{Asked: s.ask(frame.Ask)}})
	case *handover.Request_Spend:
		s.reply(stream, &handover.Reply{Frame: &handover.Reply_Spent{Spent: s.spend(frame.Spend)}})
	case *handover.Request_Count:
		s.reply(stream, &handover.Reply{Frame: &handover.Reply_Counted{Counted: s.count(frame.Count)}})
	case *handover.Request_Measure:
		s.reply(stream, &handover.Reply{})
	case *handover.Request_Cancel:
		s.cancel(frame.Cancel)
	default:
		s.Metrics.refused(refusedFrame)
	}
}

func (s *Server) ask(ask *handover.Ask) *handover.Asked {
	target, err := encoder.ParseIdentity(ask.GetTarget())
	if err != nil || target != s.Self {
		return &handover.Asked{} // An earlier incarnation may have run it.
	}
	asker, err := encoder.ParseIdentity(ask.GetOrigin())
	if err != nil {
		return &handover.Asked{}
	}
	return &handover.Asked{Known: true, Ran: s.Local.Ask(asker, gooseberrymast.WorkID(ask.GetOriginId()))}
}

func (s *Server) spend(spend *handover.Spend) *handover.Spent {
	ticket, err := encoder.ParseTicket(spend.GetTicket())
	if err != nil || ticket.Issuer != s.Self || ticket.Service != s.Service {
		return &handover.Spent{}
	}
	return &handover.Spent{Known: true, Granted: s.Local.Spend(ticket)}
}

func (s *Server) count(count *handover.Count) *handover.Counted {
	target, err := encoder.ParseIdentity(count.GetTarget())
	if err != nil || target != s.Self {
		return &handover.Counted{}
	}
	caller, err := netip.ParseAddr(count.GetCaller())
	if err != nil {
		return &handover.Counted{}
	}
	granted, wait := s.Local.Count(caller, int(count.GetAdmitted()))
	return &handover.Counted{Known: true, Granted: int32(granted), WaitNanos: int64(wait)}
}

func (s *Server) cancel(cancel *handover.Cancel) {
	agent, err := encoder.ParseIdentity(cancel.GetOrigin())
	if err != nil {
		return
	}
	s.mu.Lock()
	stop := s.running[origin{agent, gooseberrymast.WorkID(cancel.GetOriginId())}]
	s.mu.Unlock()
	if stop != nil {
		stop(errCancelled)
	}
}

// begin serves one request that was handed over.
func (s *Server) begin(ctx context.Context, stream *linker.Stream, begin *handover.Begin) {
	work, err := s.work(begin)
	if err != nil {
		s.Metrics.refused(refusedFrame)
		return
	}
	if reason, mismatch := s.mismatch(begin); mismatch != "" {
		s.Metrics.refused(mismatch)
		s.refuse(stream, s.Local.Refusal(reason))
		return
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	key := origin{work.Origin, work.OriginID}
	if !s.register(key, cancel) {
		s.Metrics.refused(refusedDuplicate)
		return
	}
	defer s.unregister(key)
	incoming := &incoming{server: s, stream: stream, begin: begin, cancel: cancel}
	incoming.serve(ctx, work)
}

// mismatch tells why the request isn't meant for this agent, if so.
func (s *Server) mismatch(begin *handover.Begin) (gooseberrymast.Reason, string) {
	if gooseberrymast.ServiceTag(begin.GetService()) != s.Service {
		return gooseberrymast.ReasonWrongService, refusedService
	}
	target, err := encoder.ParseIdentity(begin.GetTarget())
	if err != nil || target != s.Self {
		return gooseberrymast.ReasonPeerBroke, refusedTarget
	}
	return "", ""
}

func (s *Server) work(begin *handover.Begin) (gooseberrymast.Work, error) {
	agent, err := encoder.ParseIdentity(begin.GetOrigin())
	if err != nil {
		return gooseberrymast.Work{}, err
	}
	ticket, err := encoder.ParseTicket(begin.GetTicket())
	if err != nil {
		return gooseberrymast.Work{}, err
	}
	caller, err := netip.ParseAddr(begin.GetCaller())
	if err != nil {
		caller = netip.Addr{} // The origin did not know it.
	}
	request := &executor.Request{URI: begin.GetUri()}
	return gooseberrymast.Work{
		Origin:     agent,
		OriginID:   gooseberrymast.WorkID(begin.GetOriginId()),
		Caller:     caller,
		Path:       request.Path(),
		Stream:     begin.GetStream(),
		Displaced:  begin.GetDisplaced(),
		Idempotent: begin.GetIdempotent(),
		Ticket:     ticket,
		Deadline:   s.Timer.Now().Add(time.Duration(begin.GetTimeoutNanos())),
	}, nil
}

// register notes a request. One that is already here is a late copy.
func (s *Server) register(key origin, cancel context.CancelCauseFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = map[origin]context.CancelCauseFunc{}
	}
	if s.running[key] != nil {
		return false
	}
	s.running[key] = cancel
	return true
}

func (s *Server) unregister(key origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, key)
	if len(s.running) == 0 && s.settled != nil {
		close(s.settled)
		s.settled = nil
	}
}

// Settle waits until every request that was handed over has ended and its
// origin has read the answer. A process that is to stop calls it before it
// closes its sessions.
func (s *Server) Settle(ctx context.Context) error {
	select {
	case <-s.whenSettled():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("Server.Settle: requests of peers are in progress: %w", ctx.Err())
	}
}

// whenSettled gives a channel that is closed when no request is left.
func (s *Server) whenSettled() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.running) == 0 {
		none := make(chan struct{})
		close(none)
		return none
	}
	if s.settled == nil {
		s.settled = make(chan struct{})
	}
	return s.settled
}

func (s *Server) refuse(stream *linker.Stream, refusal gooseberrymast.Refusal) {
	s.reply(stream, &handover.Reply{Frame: &handover.Reply_Refused{Refused: encoder.Refusal(refusal)}})
}

// reply sends the only frame of a reply, with the agent's load.
func (s *Server) reply(stream *linker.Stream, reply *handover.Reply) {
	reply.Load = encoder.Load(s.Local.Load())
	stream.SetWriteDeadline(time.Now().Add(linker.WriteTimeout))
	_ = linker.WriteMessage(stream, reply) // The peer asks again when the reply is lost.
}
