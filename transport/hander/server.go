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

// Local handles the requests and queries of peers at this agent.
type Local interface {
	// ServeHandOver handles a request and writes its answer.
	ServeHandOver(ctx context.Context, exchange *executor.Exchange) executor.Status
	// HandleOutcomeQuery reports whether a request ran or may still run at this
	// agent.
	HandleOutcomeQuery(origin gooseberrymast.Identity, originID gooseberrymast.WorkID) (ran bool)
	// Spend grants one run for a ticket that this agent issued.
	Spend(ticket gooseberrymast.Ticket) (granted bool)
	// HandleCount handles a peer's report of admitted requests of a caller that this
	// agent counts.
	HandleCount(caller netip.Addr, admitted int) (granted int, wait time.Duration)
	// Load returns the agent's load.
	Load() gooseberrymast.Load
	// Refusal records a refusal that the transport decides by itself.
	Refusal(reason gooseberrymast.Reason) gooseberrymast.Refusal
}

// errCancelled is the cause of a context that the peer cancelled.
var errCancelled = errors.New("the peer cancelled the request")

// Server receives requests and queries of other agents. Its fields must not change
// after the first use; it must not be copied.
type Server struct {
	// Self is the agent's own identity.
	Self gooseberrymast.Identity
	// Service is the agent's service; requests for others are refused.
	Service gooseberrymast.ServiceTag
	// Local handles the requests and queries.
	Local Local
	// Timer is the timer service.
	Timer gooseberrymast.Timer
	// Metrics counts refused streams; nil counts nothing.
	Metrics *Metrics

	mu         sync.Mutex
	inProgress map[requestKey]context.CancelCauseFunc
	// idle is closed when no request is in progress; nil while Wait doesn't
	// wait.
	idle chan struct{}
}

// requestKey identifies a request by its origin, the agent that holds its flow,
// and the origin's ID for it.
type requestKey struct {
	agent gooseberrymast.Identity
	id    gooseberrymast.WorkID
}

// Handle serves one stream. Register it for linker.KindHandOver.
func (s *Server) Handle(ctx context.Context, _ netip.AddrPort, stream *linker.Stream) {
	request := &handover.Request{}
	stream.SetReadDeadline(time.Now().Add(linker.HandshakeTimeout))
	if err := linker.ReadMessage(stream, request); err != nil {
		s.Metrics.countRefused(refusedFrame)
		return
	}
	stream.SetReadDeadline(time.Time{})
	switch frame := request.GetFrame().(type) {
	case *handover.Request_Begin:
		s.handleBegin(ctx, stream, frame.Begin)
	case *handover.Request_Ask:
		s.reply(stream, &handover.Reply{Frame: &handover.Reply_Asked{Asked: s.handleAsk(frame.Ask)}})
	case *handover.Request_Spend:
		s.reply(stream, &handover.Reply{Frame: &handover.Reply_Spent{Spent: s.handleSpend(frame.Spend)}})
	case *handover.Request_Count:
		s.reply(stream, &handover.Reply{Frame: &handover.Reply_Counted{Counted: s.handleCount(frame.Count)}})
	case *handover.Request_Measure:
		s.reply(stream, &handover.Reply{})
	case *handover.Request_Cancel:
		s.handleCancel(frame.Cancel)
	default:
		s.Metrics.countRefused(refusedFrame)
	}
}

func (s *Server) handleAsk(ask *handover.Ask) *handover.Asked {
	target, err := encoder.ParseIdentity(ask.GetTarget())
	if err != nil || target != s.Self {
		return &handover.Asked{} // Another incarnation may have run it.
	}
	asker, err := encoder.ParseIdentity(ask.GetOrigin())
	if err != nil {
		return &handover.Asked{}
	}
	return &handover.Asked{Known: true, Ran: s.Local.HandleOutcomeQuery(asker, gooseberrymast.WorkID(ask.GetOriginId()))}
}

func (s *Server) handleSpend(spend *handover.Spend) *handover.Spent {
	ticket, err := encoder.ParseTicket(spend.GetTicket())
	if err != nil || ticket.Issuer != s.Self || ticket.Service != s.Service {
		return &handover.Spent{}
	}
	return &handover.Spent{Known: true, Granted: s.Local.Spend(ticket)}
}

func (s *Server) handleCount(count *handover.Count) *handover.Counted {
	target, err := encoder.ParseIdentity(count.GetTarget())
	if err != nil || target != s.Self {
		return &handover.Counted{}
	}
	caller, err := netip.ParseAddr(count.GetCaller())
	if err != nil {
		return &handover.Counted{}
	}
	granted, wait := s.Local.HandleCount(caller, int(count.GetAdmitted()))
	return &handover.Counted{Known: true, Granted: int32(granted), WaitNanos: int64(wait)}
}

func (s *Server) handleCancel(cancel *handover.Cancel) {
	agent, err := encoder.ParseIdentity(cancel.GetOrigin())
	if err != nil {
		return
	}
	s.mu.Lock()
	stop := s.inProgress[requestKey{agent, gooseberrymast.WorkID(cancel.GetOriginId())}]
	s.mu.Unlock()
	if stop != nil {
		stop(errCancelled)
	}
}

// handleBegin serves a request that was handed over.
func (s *Server) handleBegin(ctx context.Context, stream *linker.Stream, begin *handover.Begin) {
	work, err := s.parseWork(begin)
	if err != nil {
		s.Metrics.countRefused(refusedFrame)
		return
	}
	if reason, refusedAs := s.checkAddressee(begin); refusedAs != "" {
		s.Metrics.countRefused(refusedAs)
		s.refuse(stream, s.Local.Refusal(reason))
		return
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	key := requestKey{work.Origin, work.OriginID}
	if !s.register(key, cancel) {
		s.Metrics.countRefused(refusedDuplicate)
		return
	}
	defer s.unregister(key)
	incoming := &incoming{server: s, stream: stream, begin: begin, cancel: cancel}
	incoming.serve(ctx, work)
}

// checkAddressee checks that the request is for this agent. If not, it returns the
// reason for the refusal and the reason for the metrics.
func (s *Server) checkAddressee(begin *handover.Begin) (gooseberrymast.Reason, string) {
	if gooseberrymast.ServiceTag(begin.GetService()) != s.Service {
		return gooseberrymast.ReasonWrongService, refusedService
	}
	target, err := encoder.ParseIdentity(begin.GetTarget())
	if err != nil || target != s.Self {
		return gooseberrymast.ReasonPeerBroke, refusedTarget
	}
	return "", ""
}

func (s *Server) parseWork(begin *handover.Begin) (gooseberrymast.Work, error) {
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
		caller = netip.Addr{} // The origin sent none.
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

// register adds a request to those in progress. It reports false for a duplicate
// of a request in progress.
func (s *Server) register(key requestKey, cancel context.CancelCauseFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inProgress == nil {
		s.inProgress = map[requestKey]context.CancelCauseFunc{}
	}
	if s.inProgress[key] != nil {
		return false
	}
	s.inProgress[key] = cancel
	return true
}

func (s *Server) unregister(key requestKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inProgress, key)
	if len(s.inProgress) == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Wait waits until every request that was handed over has ended and its origin
// has read the answer. A stopping process calls it before it closes its sessions.
func (s *Server) Wait(ctx context.Context) error {
	select {
	case <-s.idleChannel():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("Server.Wait: requests of peers are in progress: %w", ctx.Err())
	}
}

// idleChannel returns a channel that is closed when no request is in progress.
func (s *Server) idleChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inProgress) == 0 {
		none := make(chan struct{})
		close(none)
		return none
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	return s.idle
}

func (s *Server) refuse(stream *linker.Stream, refusal gooseberrymast.Refusal) {
	s.reply(stream, &handover.Reply{Frame: &handover.Reply_Refused{Refused: encoder.Refusal(refusal)}})
}

// reply sends a reply that consists of one frame, with the agent's load.
func (s *Server) reply(stream *linker.Stream, reply *handover.Reply) {
	reply.Load = encoder.Load(s.Local.Load())
	stream.SetWriteDeadline(time.Now().Add(linker.WriteTimeout))
	_ = linker.WriteMessage(stream, reply) // The peer repeats the query if the reply is lost.
}
