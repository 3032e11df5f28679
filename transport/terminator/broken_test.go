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

// outcome is what a caller was told of a request.
type outcome string

const (
	outcomeAnswer  outcome = "answer"
	outcomeNotRun  outcome = "not-run"
	outcomeUnknown outcome = "unknown"
)

// told sends a request and says what its caller learnt. An answer must be the
// whole one.
func told(t *testing.T, client doer, sent *http.Request, want string) outcome {
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
		return outcomeUnknown // what a plain client is left with
	}
	is.NoErr(err)
	if refusal, ok := caller.RefusalOf(response, nil); ok {
		response.Body.Close()
		if refusal.Ran == gooseberrymast.RanNo {
			return outcomeNotRun
		}
		return outcomeUnknown
	}
	got, err := text(response)
	if err != nil {
		return outcomeUnknown
	}
	is.Equal(len(got), len(want))
	is.True(got == want) // the whole answer to its own request
	return outcomeAnswer
}

// brokenHandOver is a service whose first agent hands everything over to the
// others, to each through a cutter. One of the cutters cuts, once.
type brokenHandOver struct {
	*service
	cutters []*cutter
	client  *caller.Client
	plain   plainClient
}

func newBrokenHandOver(t *testing.T, agents int) *brokenHandOver {
	s := newService(t, agents, func(document *gooseberrymast.Service) {
		document.Limits.RetryBudget = 1
	})
	entry := s.agents[0]
	b := &brokenHandOver{service: s, client: s.caller(entry), plain: s.plain(entry)}
	via := map[gooseberrymast.Identity]netip.AddrPort{}
	for _, peer := range s.agents[1:] {
		cutter := newCutter(t, peer.control)
		cutter.onCut = b.disarm
		b.cutters = append(b.cutters, cutter)
		via[peer.self] = cutter.address
	}
	s.mu.Lock()
	s.via = via
	s.mu.Unlock()
	entry.driver.Leave()
	return b
}

// arm makes the cutter that a request meets first cut when the given share of
// the bytes of a request like it has passed.
func (b *brokenHandOver) arm(side int, bytes [2]int, share float64, refuse bool) {
	for _, cutter := range b.cutters {
		cutter.arm(side, int(share*float64(bytes[side])), refuse)
	}
}

func (b *brokenHandOver) disarm() {
	for _, cutter := range b.cutters {
		cutter.disarm()
	}
}

// measure gives the bytes of a request in both directions, sessions being open.
func (b *brokenHandOver) measure(t *testing.T, send func(id string)) (bytes [2]int) {
	t.Helper()
	for n := range 4 * len(b.cutters) {
		send(fmt.Sprint("warm-", n))
	}
	for _, cutter := range b.cutters {
		cutter.reset()
	}
	send("measured")
	for _, cutter := range b.cutters {
		counted := cutter.counted()
		bytes[0] += counted[0]
		bytes[1] += counted[1]
	}
	return bytes
}

func (b *brokenHandOver) cuts() int {
	cuts := 0
	for _, cutter := range b.cutters {
		cuts += cutter.cutCount()
	}
	return cuts
}

func TestBrokenHandOversAreToldTruly(t *testing.T) {
	const small, large = 6 << 10, 300 << 10
	tests := []struct {
		name   string
		size   int
		path   string
		agents int
		ticket bool
		refuse bool
		// most is the largest number of runs that is allowed.
		most int
		// must lists the outcomes that the sweep has to meet.
		must []outcome
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
					b := newBrokenHandOver(t, test.agents)
					bytes := b.measure(t, func(id string) {
						sent := request(t.Context(), http.MethodPost, test.path, id, body)
						is.Equal(told(t, b.plain, sent, body), outcomeAnswer)
					})
					b.arm(side, bytes, float64(step)/float64(steps), test.refuse)
					sent := request(t.Context(), http.MethodPost, test.path, id, body)
					var client doer = b.client
					if !test.ticket {
						client = b.plain
					}
					what := told(t, client, sent, body)
					eventually(t, b.idle)
					ran := b.ran(id)
					is.True(ran <= test.most)
					is.True(what != outcomeNotRun || ran == 0) // "not run" is true
					is.True(what != outcomeAnswer || ran >= 1)
					seen[what]++
					cuts += b.cuts()
				}
			}
			t.Log(seen, "cuts:", cuts)
			is := is.New(t)
			is.True(cuts > 0)
			for _, must := range test.must {
				is.True(seen[must] > 0)
			}
		})
	}
}

func TestFrozenHandOverIsUnknownAndItsLateAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	b := newBrokenHandOver(t, 2)
	warm := request(t.Context(), http.MethodPost, "/loans", "warm", "warm")
	is.Equal(told(t, b.plain, warm, "warm"), outcomeAnswer)
	b.cutters[0].freeze()
	late := request(t.Context(), http.MethodPost, "/loans", "late", "late body")
	late.Header.Set(encoder.HeaderConnectTimeout, "200")
	is.Equal(told(t, b.plain, late, "late body"), outcomeUnknown)
	b.cutters[0].thaw()
	for n := range 20 {
		id := fmt.Sprint("next-", n)
		next := request(t.Context(), http.MethodPost, "/loans", id, id)
		is.Equal(told(t, b.plain, next, id), outcomeAnswer) // never the late answer
		is.Equal(b.ran(id), 1)
	}
	eventually(t, b.idle)
	is.True(b.ran("late") <= 1)
}

func TestAnswersAreNotCrossed(t *testing.T) {
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
		sent.Header.Set(backend.HeaderWork, fmt.Sprintf("%dms", random.IntN(20)))
		requests.Go(func() {
			is := is.New(t)
			is.Equal(told(t, client, sent, body), outcomeAnswer)
			is.Equal(s.ran(id), 1)
		})
	}
	requests.Wait()
}

func TestLateCopyDoesNotRunAfterNotRun(t *testing.T) {
	is := is.New(t)
	s := newService(t, 2, nil)
	origin, peer := s.agents[0], s.agents[1]
	const id = 1 << 40 // no request of the agent's own has it
	known, ran := origin.driver.Peers.Ask(t.Context(), peer.self, id)
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
	is.Equal(s.ran("late"), 0)
	work.OriginID++ // one that was not asked after runs
	response, _, _ := origin.driver.Peers.HandOver(t.Context(), peer.self, work, sent)
	is.NoErr(response.Body.Close())
	is.Equal(s.ran("late"), 1)
	known, ran = origin.driver.Peers.Ask(t.Context(), peer.self, work.OriginID)
	is.True(known && ran)
}
