package driver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/standin/backend"
	"gooseberrymast/state/timer"
	"gooseberrymast/transport/executor"
)

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	self     = gooseberrymast.Identity{Address: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1}
)

// scriptedDispatcher returns the actions that a test sets for each event.
type scriptedDispatcher struct {
	gooseberrymast.Dispatcher
	arrive func(work gooseberrymast.Work) []gooseberrymast.Action
	finish func(id gooseberrymast.WorkID, result gooseberrymast.Result) []gooseberrymast.Action
	cancel func(id gooseberrymast.WorkID) []gooseberrymast.Action
	tick   func(now time.Time) []gooseberrymast.Action
	next   time.Time

	mu       sync.Mutex
	finished []gooseberrymast.Result
	ticks    []time.Time
}

func (s *scriptedDispatcher) HandleRequest(_ time.Time, work gooseberrymast.Work) []gooseberrymast.Action {
	return s.arrive(work)
}

func (s *scriptedDispatcher) Finish(_ time.Time, id gooseberrymast.WorkID, result gooseberrymast.Result, _ gooseberrymast.Refusal) []gooseberrymast.Action {
	s.mu.Lock()
	s.finished = append(s.finished, result)
	s.mu.Unlock()
	if s.finish == nil {
		return nil
	}
	return s.finish(id, result)
}

func (s *scriptedDispatcher) Cancel(_ time.Time, id gooseberrymast.WorkID) []gooseberrymast.Action {
	if s.cancel == nil {
		return nil
	}
	return s.cancel(id)
}

func (s *scriptedDispatcher) Tick(now time.Time) []gooseberrymast.Action {
	s.mu.Lock()
	s.ticks = append(s.ticks, now)
	s.mu.Unlock()
	s.next = time.Time{}
	if s.tick == nil {
		return nil
	}
	return s.tick(now)
}

func (s *scriptedDispatcher) NextTick() time.Time {
	return s.next
}

func (s *scriptedDispatcher) results() []gooseberrymast.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.finished)
}

func newDriver(t *testing.T, s *scriptedDispatcher, clock gooseberrymast.Timer) (*Driver, *backend.Backend) {
	t.Helper()
	server := &backend.Backend{}
	address, err := server.Start(loopback)
	is.New(t).NoErr(err)
	t.Cleanup(func() { server.Close() })
	return &Driver{Self: self, Dispatcher: s, Timer: clock, Executor: &executor.Executor{Address: address}}, server
}

func runAction(work gooseberrymast.Work) []gooseberrymast.Action {
	return []gooseberrymast.Action{{Kind: gooseberrymast.ActionRun, Work: work.ID}}
}

func newExchange(clock gooseberrymast.Timer, mode backend.Mode, recorder *httptest.ResponseRecorder) *executor.Exchange {
	return &executor.Exchange{
		Work: gooseberrymast.Work{Deadline: clock.Now().Add(time.Minute)},
		Request: &executor.Request{
			Method:    http.MethodPost,
			URI:       "/loans",
			Authority: "ledger.example",
			Header:    http.Header{backend.HeaderMode: {string(mode)}, backend.HeaderRequestID: {"id"}},
			Body:      &executor.Body{Held: []byte("body")},
		},
		Writer: deadlineRecorder{recorder},
		Refuse: func(refusal gooseberrymast.Refusal) { recorder.WriteHeader(http.StatusTeapot) },
	}
}

// deadlineRecorder is a recorder that accepts write deadlines.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
}

func (deadlineRecorder) SetWriteDeadline(time.Time) error {
	return nil
}

func TestEveryAttemptIsReportedOnce(t *testing.T) {
	tests := []struct {
		mode backend.Mode
		want gooseberrymast.Result
		end  executor.Status
		code int
	}{
		{"", gooseberrymast.ResultAnswered, executor.StatusAnswered, http.StatusOK},
		{backend.ModeFail, gooseberrymast.ResultFailed, executor.StatusAnswered, http.StatusServiceUnavailable},
		{backend.ModeTruncateLong, gooseberrymast.ResultTruncated, executor.StatusTorn, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(string(test.mode), func(t *testing.T) {
			is := is.New(t)
			s := &scriptedDispatcher{arrive: runAction}
			d, _ := newDriver(t, s, timer.System{})
			recorder := httptest.NewRecorder()
			is.Equal(d.Serve(t.Context(), newExchange(timer.System{}, test.mode, recorder)), test.end)
			is.Equal(s.results(), []gooseberrymast.Result{test.want})
			is.Equal(recorder.Code, test.code)
			is.Equal(d.InProgress(), 0)
		})
	}
}

func TestRefusalCancelsRunningAttempt(t *testing.T) {
	is := is.New(t)
	s := &scriptedDispatcher{arrive: runAction}
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	d, server := newDriver(t, s, clock)
	s.tick = func(time.Time) []gooseberrymast.Action {
		return []gooseberrymast.Action{{Kind: gooseberrymast.ActionRefuse, Work: 1}}
	}
	s.next = clock.Now().Add(10 * time.Second)
	recorder := httptest.NewRecorder()
	ended := make(chan executor.Status)
	go func() { ended <- d.Serve(t.Context(), newExchange(clock, backend.ModeHang, recorder)) }()
	for server.Counts().Unary == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.Advance(10 * time.Second)
	is.Equal(<-ended, executor.StatusRefused)
	is.Equal(recorder.Code, http.StatusTeapot)
	is.Equal(s.results(), []gooseberrymast.Result{gooseberrymast.ResultCancelled})
}

func TestAttemptTimesOutAtDeadline(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	s := &scriptedDispatcher{arrive: runAction}
	s.finish = func(id gooseberrymast.WorkID, _ gooseberrymast.Result) []gooseberrymast.Action {
		return []gooseberrymast.Action{{Kind: gooseberrymast.ActionRefuse, Work: id}}
	}
	d, server := newDriver(t, s, clock)
	ended := make(chan executor.Status)
	go func() {
		ended <- d.Serve(t.Context(), newExchange(clock, backend.ModeHang, httptest.NewRecorder()))
	}()
	for server.Counts().Unary == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.Advance(59 * time.Second)
	is.Equal(len(s.results()), 0)
	clock.Advance(time.Second)
	is.Equal(<-ended, executor.StatusRefused)
	is.Equal(s.results(), []gooseberrymast.Result{gooseberrymast.ResultTimedOut})
}

func TestUnstartedAttemptIsCancelledWhenCallerDisconnects(t *testing.T) {
	is := is.New(t)
	ctx, disconnect := context.WithCancel(t.Context())
	s := &scriptedDispatcher{}
	// The dispatcher returns a run just when the caller disconnects.
	s.arrive = func(gooseberrymast.Work) []gooseberrymast.Action {
		disconnect()
		return nil
	}
	s.cancel = func(id gooseberrymast.WorkID) []gooseberrymast.Action {
		return []gooseberrymast.Action{
			{Kind: gooseberrymast.ActionRun, Work: id},
			{Kind: gooseberrymast.ActionCancel, Work: id},
		}
	}
	d, server := newDriver(t, s, timer.System{})
	status := d.Serve(ctx, newExchange(timer.System{}, "", httptest.NewRecorder()))
	is.Equal(status, executor.StatusCancelled)
	is.Equal(s.results(), []gooseberrymast.Result{gooseberrymast.ResultCancelled}) // the dispatcher frees the slot
	is.Equal(server.Counts().Unary, 0)
}

func TestRunForEndedRequestIsReportedCancelled(t *testing.T) {
	is := is.New(t)
	s := &scriptedDispatcher{}
	clock := &timer.Manual{}
	d, server := newDriver(t, s, clock)
	s.tick = func(time.Time) []gooseberrymast.Action {
		return []gooseberrymast.Action{{Kind: gooseberrymast.ActionRun, Work: 99}}
	}
	s.next = clock.Now().Add(time.Second)
	d.HandleServerStatus(true, 0) // any event schedules the tick
	clock.Advance(time.Second)
	is.Equal(s.results(), []gooseberrymast.Result{gooseberrymast.ResultCancelled})
	is.Equal(server.Counts().Unary, 0)
}

func (s *scriptedDispatcher) HandleServerStatus(time.Time, bool, int32) {}

func TestTickFollowsNextTick(t *testing.T) {
	is := is.New(t)
	s := &scriptedDispatcher{}
	clock := &timer.Manual{}
	d, _ := newDriver(t, s, clock)
	start := clock.Now()
	s.next = start.Add(10 * time.Second)
	d.HandleServerStatus(true, 0)
	s.next = start.Add(3 * time.Second) // an earlier tick replaces a later one
	d.HandleServerStatus(true, 0)
	clock.Advance(5 * time.Second)
	is.Equal(s.ticks, []time.Time{start.Add(3 * time.Second)})
	s.next = start.Add(4 * time.Second) // a tick in the past is due at once
	d.HandleServerStatus(true, 0)
	clock.Advance(0)
	is.Equal(len(s.ticks), 2)
	clock.Advance(time.Hour)
	is.Equal(len(s.ticks), 2) // no tick while NextTick is zero
}
