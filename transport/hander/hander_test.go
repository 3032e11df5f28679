package hander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
	"gooseberrymast/protocol/keyer"
	"gooseberrymast/protocol/messages/handover"
	"gooseberrymast/state/timer"
	"gooseberrymast/transport/executor"
	"gooseberrymast/transport/linker"
)

var (
	originAgent = gooseberrymast.Identity{Address: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 3}
	peerAgent   = gooseberrymast.Identity{Address: netip.MustParseAddrPort("10.0.0.2:7000"), Incarnation: 5}
	tag         = gooseberrymast.TagOf("ledger")
)

// stubLocal is the Local of the agent that receives requests.
type stubLocal struct {
	serve func(ctx context.Context, exchange *executor.Exchange) executor.Status

	mu     sync.Mutex
	served int
	asked  []gooseberrymast.WorkID
	spent  []gooseberrymast.Ticket
}

func (l *stubLocal) ServeHandOver(ctx context.Context, exchange *executor.Exchange) executor.Status {
	l.mu.Lock()
	l.served++
	l.mu.Unlock()
	return l.serve(ctx, exchange)
}

func (l *stubLocal) HandleOutcomeQuery(_ gooseberrymast.Identity, id gooseberrymast.WorkID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, id)
	return id%2 == 1
}

func (l *stubLocal) Spend(ticket gooseberrymast.Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spent = append(l.spent, ticket)
	return len(l.spent) == 1
}

func (l *stubLocal) HandleCount(_ netip.Addr, admitted int) (granted int, wait time.Duration) {
	return 2 * admitted, time.Duration(admitted) * time.Second
}

func (l *stubLocal) Load() gooseberrymast.Load {
	return gooseberrymast.Load{FreeSlots: 3, Queued: 2, Streams: 1, Leaving: true}
}

func (l *stubLocal) Refusal(reason gooseberrymast.Reason) gooseberrymast.Refusal {
	return gooseberrymast.Refusal{ID: "r1", Reason: reason, Ran: gooseberrymast.RanNo, Time: time.Unix(1, 0)}
}

// pair is a client at originAgent and a server at peerAgent.
type pair struct {
	client    *Client
	server    *Server
	stubLocal *stubLocal
	pool      *linker.Pool
	address   netip.AddrPort
	loads     chan gooseberrymast.Load
}

func newPair(t *testing.T, serve func(ctx context.Context, exchange *executor.Exchange) executor.Status) *pair {
	t.Helper()
	keys := linker.FixedKeys(keyer.Random())
	listener, err := linker.Listen(netip.MustParseAddrPort("127.0.0.1:0"), keys)
	is.New(t).NoErr(err)
	p := &pair{stubLocal: &stubLocal{serve: serve}, address: listener.Address(), loads: make(chan gooseberrymast.Load, 100)}
	p.server = &Server{Self: peerAgent, Service: tag, Local: p.stubLocal, Timer: timer.System{}, Metrics: NewMetrics(prometheus.NewRegistry())}
	listener.Handle(linker.KindHandOver, p.server.Handle)
	go func() { _ = listener.Serve(context.Background()) }()
	p.pool = &linker.Pool{Keys: keys}
	p.client = &Client{
		Self:    originAgent,
		Service: tag,
		Pool:    p.pool,
		Locate:  func(gooseberrymast.Identity) (netip.AddrPort, bool) { return p.address, true },
		OnLoad:  func(_ gooseberrymast.Identity, load gooseberrymast.Load) { p.loads <- load },
	}
	t.Cleanup(func() {
		p.pool.Close()
		listener.Close()
	})
	return p
}

func work(id gooseberrymast.WorkID) gooseberrymast.Work {
	return gooseberrymast.Work{Origin: originAgent, OriginID: id, Caller: netip.MustParseAddr("192.0.2.1"), Idempotent: true}
}

func request(body string) *executor.Request {
	return &executor.Request{
		Method:    http.MethodPost,
		URI:       "/loans?kind=pall",
		Authority: "ledger.example",
		Header:    http.Header{"X-Many": {"a", "b"}},
		Body:      &executor.Body{Held: []byte(body)},
		Timeout:   time.Minute,
	}
}

func answer(w http.ResponseWriter, body string) executor.Status {
	_, err := io.WriteString(w, body)
	if err != nil {
		return executor.StatusCancelled
	}
	return executor.StatusAnswered
}

func TestHandOverForwardsRequestAndAnswer(t *testing.T) {
	is := is.New(t)
	p := newPair(t, func(_ context.Context, exchange *executor.Exchange) executor.Status {
		body, err := io.ReadAll(exchange.Request.Body.Open())
		if err != nil {
			return executor.StatusTorn
		}
		w := exchange.Writer
		w.Header().Set("X-Got", fmt.Sprintln(exchange.Request.Method, exchange.Request.URI, exchange.Request.Authority,
			exchange.Request.Header["X-Many"], exchange.Work.Caller, exchange.Work.Idempotent, exchange.Work.Path, exchange.Work.Displaced))
		w.WriteHeader(http.StatusCreated)
		status := answer(w, "got "+string(body))
		w.Header().Set(http.TrailerPrefix+"X-End", "done")
		return status
	})
	displaced := work(1)
	displaced.Displaced = true
	response, result, _ := p.client.HandOver(t.Context(), peerAgent, displaced, request("a pall"))
	is.Equal(result, gooseberrymast.Result(0))
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusCreated)
	is.Equal(string(body), "got a pall")
	is.Equal(strings.TrimSpace(response.Header.Get("X-Got")), "POST /loans?kind=pall ledger.example [a b] 192.0.2.1 true /loans true")
	is.Equal(response.Trailer.Get("X-End"), "done")
	is.Equal(<-p.loads, p.stubLocal.Load()) // sent with the head
	is.Equal(<-p.loads, p.stubLocal.Load()) // sent with the end frame
}

func TestHandOverResults(t *testing.T) {
	tests := []struct {
		name  string
		serve func(ctx context.Context, exchange *executor.Exchange) executor.Status
		want  gooseberrymast.Result
		ran   gooseberrymast.Ran
	}{
		{"refused", func(_ context.Context, exchange *executor.Exchange) executor.Status {
			exchange.Refuse(gooseberrymast.Refusal{Ran: gooseberrymast.RanNo, Time: time.Unix(1, 0)})
			return executor.StatusRefused
		}, gooseberrymast.ResultRefused, gooseberrymast.RanNo},
		{"refused after a run", func(_ context.Context, exchange *executor.Exchange) executor.Status {
			exchange.Refuse(gooseberrymast.Refusal{Ran: gooseberrymast.RanUnknown, Time: time.Unix(1, 0)})
			return executor.StatusRefused
		}, gooseberrymast.ResultRefused, gooseberrymast.RanUnknown},
		{"cancelled at the peer", func(context.Context, *executor.Exchange) executor.Status {
			return executor.StatusCancelled
		}, gooseberrymast.ResultBroken, ""},
		{"torn before the head", func(context.Context, *executor.Exchange) executor.Status {
			return executor.StatusTorn
		}, gooseberrymast.ResultBroken, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t, test.serve)
			response, result, refusal := p.client.HandOver(t.Context(), peerAgent, work(1), request("body"))
			is.Equal(response, nil)
			is.Equal(result, test.want)
			is.Equal(refusal.Ran, test.ran)
		})
	}
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	p := newPair(t, func(_ context.Context, exchange *executor.Exchange) executor.Status {
		answer(exchange.Writer, "a part")
		return executor.StatusTorn
	})
	response, _, _ := p.client.HandOver(t.Context(), peerAgent, work(1), request("body"))
	_, err := io.ReadAll(response.Body)
	is.Equal(err, io.ErrUnexpectedEOF)
	is.NoErr(response.Body.Close())
}

func TestUnreachablePeerIsNotSent(t *testing.T) {
	is := is.New(t)
	p := newPair(t, nil)
	p.client.Locate = func(gooseberrymast.Identity) (netip.AddrPort, bool) { return netip.AddrPort{}, false }
	_, result, _ := p.client.HandOver(t.Context(), peerAgent, work(1), request("body"))
	is.Equal(result, gooseberrymast.ResultNotSent)
	known, _ := p.client.QueryOutcome(t.Context(), peerAgent, 1)
	is.True(!known)
}

func TestRequestsWithWrongAddresseeAreRefusedAndCounted(t *testing.T) {
	earlier := peerAgent
	earlier.Incarnation--
	tests := []struct {
		name   string
		tag    gooseberrymast.ServiceTag
		target gooseberrymast.Identity
		want   gooseberrymast.Reason
		reason string
	}{
		{"another service", gooseberrymast.TagOf("receipts"), peerAgent, gooseberrymast.ReasonWrongService, refusedService},
		{"an earlier incarnation", tag, earlier, gooseberrymast.ReasonPeerBroke, refusedTarget},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t, nil)
			p.client.Service = test.tag
			_, result, refusal := p.client.HandOver(t.Context(), test.target, work(1), request("body"))
			is.Equal(result, gooseberrymast.ResultRefused)
			is.Equal(refusal.Reason, test.want)
			is.Equal(refusal.Ran, gooseberrymast.RanNo)
			is.Equal(p.stubLocal.served, 0)
			is.Equal(testutil.ToFloat64(p.server.Metrics.Refused.WithLabelValues(test.reason)), 1.0)
		})
	}
}

func TestQueriesForAnotherIncarnationOrServiceAreUnknown(t *testing.T) {
	is := is.New(t)
	p := newPair(t, nil)
	for id := range gooseberrymast.WorkID(2) {
		known, ran := p.client.QueryOutcome(t.Context(), peerAgent, id)
		is.True(known)
		is.Equal(ran, id == 1)
	}
	earlier := peerAgent
	earlier.Incarnation--
	known, _ := p.client.QueryOutcome(t.Context(), earlier, 1)
	is.True(!known) // the peer is another incarnation
	ticket := gooseberrymast.Ticket{Issuer: peerAgent, Service: tag, Sequence: 9}
	known, granted := p.client.Spend(t.Context(), ticket)
	is.True(known && granted)
	known, granted = p.client.Spend(t.Context(), ticket)
	is.True(known && !granted)
	ticket.Issuer = earlier
	known, _ = p.client.Spend(t.Context(), ticket)
	is.True(!known)
	ticket = gooseberrymast.Ticket{Issuer: peerAgent, Service: tag + 1, Sequence: 9}
	known, _ = p.client.Spend(t.Context(), ticket)
	is.True(!known)
	is.Equal(p.stubLocal.asked, []gooseberrymast.WorkID{0, 1})
	is.Equal(len(p.stubLocal.spent), 2)
}

func TestCountAndMeasureReturnThePeersReply(t *testing.T) {
	is := is.New(t)
	p := newPair(t, nil)
	caller := netip.MustParseAddr("192.0.2.1")
	known, granted, wait := p.client.ReportCount(t.Context(), peerAgent, caller, 3)
	is.True(known)
	is.Equal(granted, 6)
	is.Equal(wait, 3*time.Second)
	is.Equal((<-p.loads).FreeSlots, int32(3)) // the reply carries the load

	earlier := gooseberrymast.Identity{Address: peerAgent.Address, Incarnation: peerAgent.Incarnation - 1}
	known, _, _ = p.client.ReportCount(t.Context(), earlier, caller, 3)
	is.True(!known) // the peer is another incarnation
	<-p.loads

	is.True(p.client.QueryLoad(t.Context(), peerAgent))
	is.Equal((<-p.loads).Queued, int32(2))
}

func TestDuplicateRequestIsNotServed(t *testing.T) {
	is := is.New(t)
	entered, leave := make(chan struct{}), make(chan struct{})
	p := newPair(t, func(_ context.Context, exchange *executor.Exchange) executor.Status {
		close(entered)
		<-leave
		return answer(exchange.Writer, "once")
	})
	first := make(chan *http.Response)
	go func() {
		response, _, _ := p.client.HandOver(t.Context(), peerAgent, work(1), request("body"))
		first <- response
	}()
	<-entered
	_, result, _ := p.client.HandOver(t.Context(), peerAgent, work(1), request("body"))
	is.Equal(result, gooseberrymast.ResultBroken)
	close(leave)
	body, err := io.ReadAll((<-first).Body)
	is.NoErr(err)
	is.Equal(string(body), "once")
	is.Equal(p.stubLocal.served, 1)
}

func TestBodyOfRefusedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	p := newPair(t, func(_ context.Context, exchange *executor.Exchange) executor.Status {
		exchange.Refuse(gooseberrymast.Refusal{Ran: gooseberrymast.RanNo, Time: time.Unix(1, 0)})
		return executor.StatusRefused
	})
	sent := request("")
	sent.Body = &executor.Body{Stream: strings.NewReader("large"), Length: -1}
	_, result, _ := p.client.HandOver(t.Context(), peerAgent, work(1), sent)
	is.Equal(result, gooseberrymast.ResultRefused)
	is.True(sent.Body.Unread()) // it can still be sent to another agent
}

func TestCancellationIsNotBlockedByUnreadBody(t *testing.T) {
	is := is.New(t)
	entered, cancelled := make(chan struct{}), make(chan struct{})
	p := newPair(t, func(ctx context.Context, exchange *executor.Exchange) executor.Status {
		var chunk [1]byte
		_, _ = exchange.Request.Body.Open().Read(chunk[:]) // requests the body and then stops reading
		close(entered)
		<-ctx.Done()
		close(cancelled)
		return executor.StatusCancelled
	})
	ctx, cancel := context.WithCancel(t.Context())
	sent := request("")
	sent.Body = &executor.Body{Stream: endless{}, Length: -1}
	ended := make(chan gooseberrymast.Result)
	go func() {
		_, result, _ := p.client.HandOver(ctx, peerAgent, work(1), sent)
		ended <- result
	}()
	<-entered
	cancel()
	is.Equal(<-ended, gooseberrymast.ResultCancelled)
	<-cancelled // although frames of the body block the stream
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	return len(p), nil
}

func TestInvalidFramesEndTheStream(t *testing.T) {
	tests := []struct {
		name   string
		frames []*handover.Request
	}{
		{"no frame", []*handover.Request{{}}},
		{"body first", []*handover.Request{{Frame: &handover.Request_Body{Body: []byte("x")}}}},
		{"begin without origin", []*handover.Request{{Frame: &handover.Request_Begin{Begin: &handover.Begin{}}}}},
		{"begin twice", []*handover.Request{
			{Frame: &handover.Request_Begin{Begin: beginMessage()}},
			{Frame: &handover.Request_Begin{Begin: beginMessage()}},
		}},
		{"held body too large", append([]*handover.Request{{Frame: &handover.Request_Begin{Begin: beginMessage()}}},
			bodyFrames(maxHeldBytes/maxChunkBytes+1)...)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t, nil)
			stream, err := p.pool.Open(t.Context(), p.address, linker.KindHandOver)
			is.NoErr(err)
			for _, frame := range test.frames {
				is.NoErr(linker.WriteMessage(stream, frame))
			}
			is.Equal(linker.ReadMessage(stream, &handover.Reply{}), io.EOF)
			is.Equal(p.stubLocal.served, 0)
		})
	}
}

func beginMessage() *handover.Begin {
	return &handover.Begin{
		Target:      encoder.Identity(peerAgent),
		Origin:      encoder.Identity(originAgent),
		OriginId:    1,
		Service:     uint32(tag),
		BodyFollows: true,
	}
}

func bodyFrames(count int) []*handover.Request {
	var frames []*handover.Request
	for range count {
		frames = append(frames, &handover.Request{Frame: &handover.Request_Body{Body: make([]byte, maxChunkBytes)}})
	}
	return frames
}
