package trier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// flow is a caller with one open flow to a service.
type flow struct {
	service DeployedService
	name    string
	client  flowClient
}

// flowClient is the caller's HTTP client.
type flowClient interface {
	Do(request *http.Request) (*http.Response, error)
	// CloseIdle closes the flow if nothing is in progress on it.
	CloseIdle()
	Close() error
}

// load sends the plan's traffic over the flows of every service.
type load struct {
	plan  Plan
	seed  uint64
	tally *tally
	flows map[string][]*flow
	// Requests and streams end on their own within their deadlines.
	requests sync.WaitGroup
	streams  sync.WaitGroup
}

// openInterval is the time between opening two flows of a service.
const openInterval = 10 * time.Millisecond

// openFlows opens the flows of each service one after the other. Each flow
// carries one stream at a time until the context ends.
func (l *load) openFlows(ctx context.Context, services []DeployedService) {
	var openers sync.WaitGroup
	for _, service := range services {
		openers.Go(func() {
			for _, f := range l.flows[service.Name] {
				l.streams.Go(func() { l.keepStreamOpen(ctx, f) })
				sleepUntil(ctx, time.Now().Add(openInterval))
			}
		})
	}
	openers.Wait()
}

// run sends requests until the context ends, then waits for the requests and
// streams in progress.
func (l *load) run(ctx context.Context, services []DeployedService) {
	var senders sync.WaitGroup
	for i, service := range services {
		rng := rand.New(rand.NewPCG(l.seed, uint64(i)))
		senders.Go(func() { l.sendRequests(ctx, service, rng) })
	}
	senders.Wait()
	l.requests.Wait()
	l.streams.Wait()
}

// sendRequests sends requests to one service with exponentially distributed
// gaps.
func (l *load) sendRequests(ctx context.Context, service DeployedService, rng *rand.Rand) {
	started := time.Now()
	next := started
	flows := l.flows[service.Name]
	for n := 0; ; n++ {
		rate := l.plan.rate(service, time.Since(started))
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			return
		}
		f := flows[rng.IntN(len(flows))]
		spec := l.newSpec(service, n, rng)
		l.requests.Go(func() { l.tally.add(send(f, spec)) })
	}
}

// newSpec draws the n-th request to a service.
func (l *load) newSpec(service DeployedService, n int, rng *rand.Rand) requestSpec {
	long := l.plan.LongEvery > 0 && rng.IntN(l.plan.LongEvery) == 0
	work := l.plan.Work
	path := service.WorkPath
	if long {
		work *= time.Duration(l.plan.LongFactor)
		path = longPath
	}
	return requestSpec{
		id:         fmt.Sprintf("%s/%d/%d", service.Name, l.seed, n),
		service:    service.Name,
		path:       path,
		long:       long,
		idempotent: rng.IntN(2) == 0,
		work:       work,
		deadline:   l.plan.deadline(long),
		body:       randomBody(rng),
	}
}

// keepStreamOpen keeps one stream open on a flow and opens the next when it
// ends.
func (l *load) keepStreamOpen(ctx context.Context, f *flow) {
	for n := 0; ctx.Err() == nil; n++ {
		l.tally.increment(&l.tally.streamsOpened)
		id := fmt.Sprintf("%s/%d", f.name, n)
		ended := readStream(f, id, l.plan.StreamLines)
		if l.plan.StreamsPerFlow > 0 && (n+1)%l.plan.StreamsPerFlow == 0 {
			f.client.CloseIdle()
		}
		switch ended.result {
		case resultComplete:
			continue
		case resultNotRun, resultUnknown:
			l.tally.increment(&l.tally.streamsRefused)
		default:
			l.tally.increment(&l.tally.streamsCut)
			l.tally.recordFault(ended.detail)
		}
		if !sleepUntil(ctx, time.Now().Add(l.plan.StreamPeriod)) {
			return
		}
	}
}

// sleepUntil reports whether the time was reached before the context ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// maxBodyBytes bounds the bodies of the requests.
const maxBodyBytes = 2 << 10

func randomBody(rng *rand.Rand) []byte {
	body := make([]byte, rng.IntN(maxBodyBytes))
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	return body
}
