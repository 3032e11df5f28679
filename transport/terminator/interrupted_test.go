package terminator_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"gooseberrymast"
	"gooseberrymast/caller"
	"gooseberrymast/protocol/encoder"
	"gooseberrymast/standin/backend"
	"gooseberrymast/transport/executor"
)

// outcome is the result of a request as reported to its caller.
type outcome string

const (
	outcomeAnswer  outcome = "answer"
	outcomeNotRun  outcome = "not-run"
	outcomeUnknown outcome = "unknown"
)

// sendAndClassify sends a request and returns its outcome. An answer must be
// complete.
func sendAndClassify(t *testing.T, client httpClient, sent *http.Request, want string) outcome {
	t.Helper()
	is := is.New(t)
	response, err := client.Do(sent)
	if errors.Is(err, caller.ErrUnknown) {
		return outcomeUnknown
	}
	if errors.Is(err, caller.ErrNotRun) {
		return outcomeNotRun
	}
	var reset *quic.StreamError
	if errors.As(err, &reset) {
		return outcomeUnknown // a plain client receives nothing but the reset
	}
	is.NoErr(err)
	if refusal, ok := caller.RefusalOf(response, nil); ok {
		response.Body.Close()
		if refusal.Ran == gooseberrymast.RanNo {
			return outcomeNotRun
		}
		return outcomeUnknown
	}
	got, err := readText(response)
	if err != nil {
		return outcomeUnknown
	}
	is.Equal(len(got), len(want))
	is.True(got == want) // the complete answer to this request
	return outcomeAnswer
}

// interruptedHandOver is a service whose first agent hands every request over to
// the others, each through a proxy of its own. One of the proxies interrupts its
// connections, once.
type interruptedHandOver struct {
	*service
	proxies []*interruptingProxy
	client  *caller.Client
	plain   plainClient
}

func newInterruptedHandOver(t *testing.T, agents int) *interruptedHandOver {
	s := newService(t, agents, func(document *gooseberrymast.Service) {
		document.Limits.RetryBudget = 1
	})
	entry := s.agents[0]
	h := &interruptedHandOver{service: s, client: s.caller(entry), plain: s.newPlainClient(entry)}
	controlOverrides := map[gooseberrymast.Identity]netip.AddrPort{}
	for _, peer := range s.agents[1:] {
		proxy := newInterruptingProxy(t, peer.control)
		proxy.onCut = h.cancelCut
		h.proxies = append(h.proxies, proxy)
		controlOverrides[peer.self] = proxy.address
	}
	s.mu.Lock()
	s.controlOverrides = controlOverrides
	s.mu.Unlock()
	entry.driver.Leave()
	return h
}

// scheduleCut makes the proxy that the next request passes first interrupt its
// connections after the given share of the bytes of such a request.
func (h *interruptedHandOver) scheduleCut(side int, sizes [2]int, share float64, refuse bool) {
	for _, proxy := range h.proxies {
		proxy.scheduleCut(side, int(share*float64(sizes[side])), refuse)
	}
}

func (h *interruptedHandOver) cancelCut() {
	for _, proxy := range h.proxies {
		proxy.cancelCut()
	}
}

// measure returns the bytes of a request in both directions, without those of
// opening the sessions.
func (h *interruptedHandOver) measure(t *testing.T, send func(id string)) (sizes [2]int) {
	t.Helper()
	for n := range 4 * len(h.proxies) {
		send(fmt.Sprint("warm-", n))
	}
	for _, proxy := range h.proxies {
		proxy.resetCounts()
	}
	send("measured")
	for _, proxy := range h.proxies {
		counted := proxy.byteCounts()
		sizes[0] += counted[0]
		sizes[1] += counted[1]
	}
	return sizes
}

func (h *interruptedHandOver) cuts() int {
	cuts := 0
	for _, proxy := range h.proxies {
		cuts += proxy.cutCount()
	}
	return cuts
}

func TestInterruptedHandOversReportTheTrueOutcome(t *testing.T) {
	const small, large = 6 << 10, 300 << 10
	tests := []struct {
		name   string
		size   int
		path   string
		agents int
		ticket bool
		refuse bool
		// maxRuns is the maximum number of runs.
		maxRuns int
		// wantOutcomes lists the outcomes that must occur at least once.
		wantOutcomes []outcome
	}{
		{"without a ticket", small, "/loans", 2, false, false, 1, []outcome{outcomeNotRun, outcomeUnknown}},
		{"without a ticket, peer gone", small, "/loans", 2, false, true, 1, []outcome{outcomeUnknown}},
		{"with a ticket", small, "/loans", 2, true, false, 1, []outcome{outcomeNotRun, outcomeUnknown}},
		{"large", large, "/loans", 2, false, false, 1, []outcome{outcomeUnknown}},
		{"idempotent", small, "/idempotent", 3, false, false, 2, []outcome{outcomeAnswer}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			body := strings.Repeat("x", test.size)
			steps := 12
			if test.size == large {
				steps = 6
			}
			seen := map[outcome]int{}
			cuts := 0
			for side := range 2 {
				for step := range steps {
					id := fmt.Sprintf("%d-%d", side, step)
					is := is.New(t)
					h := newInterruptedHandOver(t, test.agents)
					sizes := h.measure(t, func(id string) {
						sent := request(t.Context(), http.MethodPost, test.path, id, body)
						is.Equal(sendAndClassify(t, h.plain, sent, body), outcomeAnswer)
					})
					h.scheduleCut(side, sizes, float64(step)/float64(steps), test.refuse)
					sent := request(t.Context(), http.MethodPost, test.path, id, body)
					var client httpClient = h.client
					if !test.ticket {
						client = h.plain
					}
					got := sendAndClassify(t, client, sent, body)
					eventually(t, h.idle)
					ran := h.runs(id)
					is.True(ran <= test.maxRuns)
					is.True(got != outcomeNotRun || ran == 0) // "not run" is correct
					is.True(got != outcomeAnswer || ran >= 1)
					seen[got]++
					cuts += h.cuts()
				}
			}
			t.Log(seen, "cuts:", cuts)
			is := is.New(t)
			is.True(cuts > 0)
			for _, wantOutcome := range test.wantOutcomes {
				is.True(seen[wantOutcome] > 0)
			}
		})
	}
}

func TestStalledHandOverIsUnknownAndItsLateAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	h := newInterruptedHandOver(t, 2)
	warm := request(t.Context(), http.MethodPost, "/loans", "warm", "warm")
	is.Equal(sendAndClassify(t, h.plain, warm, "warm"), outcomeAnswer)
	h.proxies[0].pause()
	late := request(t.Context(), http.MethodPost, "/loans", "late", "late body")
	late.Header.Set(encoder.HeaderConnectTimeout, "200")
	is.Equal(sendAndClassify(t, h.plain, late, "late body"), outcomeUnknown)
	h.proxies[0].resume()
	for n := range 20 {
		id := fmt.Sprint("next-", n)
		next := request(t.Context(), http.MethodPost, "/loans", id, id)
		is.Equal(sendAndClassify(t, h.plain, next, id), outcomeAnswer) // not the late answer of the stalled request
		is.Equal(h.runs(id), 1)
	}
	eventually(t, h.idle)
	is.True(h.runs("late") <= 1)
}

func TestConcurrentHandOversReceiveTheirOwnAnswers(t *testing.T) {
	s := newService(t, 3, func(document *gooseberrymast.Service) {
		document.Limits.Slots = 64
		document.Limits.Queue = 1000
		document.Limits.RetryBudget = 1
	})
	s.agents[0].driver.Leave()
	for _, a := range s.agents {
		a.backend.SetSlots(64)
	}
	client := s.caller(s.agents[0])
	var requests sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 1))
	for n := range 200 {
		id := fmt.Sprint("request-", n)
		body := strings.Repeat(id+" ", 1+random.IntN(2000))
		sent := request(t.Context(), http.MethodPost, "/loans", id, body)
		sent.Header.Set(backend.HeaderServiceTime, fmt.Sprintf("%dms", random.IntN(20)))
		requests.Go(func() {
			is := is.New(t)
			is.Equal(sendAndClassify(t, client, sent, body), outcomeAnswer)
			is.Equal(s.runs(id), 1)
		})
	}
	requests.Wait()
}

func TestHandOverArrivingAfterItsQueryDoesNotRun(t *testing.T) {
	is := is.New(t)
	s := newService(t, 2, nil)
	origin, peer := s.agents[0], s.agents[1]
	const id = 1 << 40 // unused by the agent's own requests
	known, ran := origin.driver.Peers.QueryOutcome(t.Context(), peer.self, id)
	is.True(known)
	is.True(!ran)
	work := gooseberrymast.Work{
		Origin:     origin.self,
		OriginID:   id,
		Path:       "/loans",
		Idempotent: true,
		Deadline:   time.Now().Add(time.Minute),
	}
	sent := &executor.Request{
		Method:    http.MethodPost,
		URI:       "/loans",
		Authority: "ledger.example",
		Header:    http.Header{backend.HeaderRequestID: {"late"}},
		Body:      &executor.Body{Held: []byte("body")},
		Timeout:   time.Minute,
	}
	_, result, refusal := origin.driver.Peers.HandOver(t.Context(), peer.self, work, sent)
	is.Equal(result, gooseberrymast.ResultRefused)
	is.Equal(refusal.Ran, gooseberrymast.RanNo)
	is.Equal(s.runs("late"), 0)
	work.OriginID++ // a request that wasn't queried before it arrived does run
	response, _, _ := origin.driver.Peers.HandOver(t.Context(), peer.self, work, sent)
	is.NoErr(response.Body.Close())
	is.Equal(s.runs("late"), 1)
	known, ran = origin.driver.Peers.QueryOutcome(t.Context(), peer.self, work.OriginID)
	is.True(known && ran)
}
