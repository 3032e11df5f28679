package trier

import (
	"context"
	"sync"
	"time"
)

// balance samples how evenly the open streams lie over the backend servers.
type balance struct {
	mu      sync.Mutex
	samples map[string][]float64
	stopped bool
}

// The sampling of the balance.
const (
	balancePeriod = 500 * time.Millisecond
	// warmAfter is the age from which on a server counts.
	warmAfter = 10 * time.Second
	// lastSamples is the number of samples that the result is the mean of.
	lastSamples = 10
)

// watch samples until the context ends.
func (b *balance) watch(ctx context.Context, f *fleet) {
	for sleepUntil(ctx, time.Now().Add(balancePeriod)) {
		b.sample(f)
	}
}

// stop takes no further samples, since flows end when the traffic does.
func (b *balance) stop(*fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

func (b *balance) sample(f *fleet) {
	open := f.openStreams()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return
	}
	if b.samples == nil {
		b.samples = map[string][]float64{}
	}
	for service, counts := range open {
		b.samples[service] = append(b.samples[service], maxOverMean(counts))
	}
}

// openStreams gives the open streams at each warm server, by service.
func (f *fleet) openStreams() map[string][]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := map[string][]int{}
	for _, s := range f.servers {
		if s.leaving || (s.starts > 1 && time.Since(s.readyAt) < warmAfter) {
			continue
		}
		_, streams := s.backend.InProgress()
		open[s.service.Name] = append(open[s.service.Name], streams)
	}
	return open
}

func maxOverMean(counts []int) float64 {
	total, most := 0, 0
	for _, n := range counts {
		total += n
		most = max(most, n)
	}
	if total == 0 {
		return 1
	}
	return float64(most) * float64(len(counts)) / float64(total)
}

// imbalance is the mean over the last samples, of the service that is worst.
func (b *balance) imbalance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	worst := 0.0
	for _, samples := range b.samples {
		last := samples[max(0, len(samples)-lastSamples):]
		sum := 0.0
		for _, ratio := range last {
			sum += ratio
		}
		worst = max(worst, sum/float64(len(last)))
	}
	return worst
}
