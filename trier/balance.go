package trier

import (
	"context"
	"sync"
	"time"
)

// imbalanceSampler samples how evenly the open streams are spread over the
// backend servers of each service.
type imbalanceSampler struct {
	mu      sync.Mutex
	samples map[string][]float64
	stopped bool
}

// The parameters of the sampling.
const (
	samplePeriod = 500 * time.Millisecond
	// warmUpTime is the age at which a restarted server is included.
	warmUpTime = 10 * time.Second
	// averagedSamples is the number of most recent samples over which the result
	// is averaged.
	averagedSamples = 10
)

// watch takes samples until the context ends.
func (b *imbalanceSampler) watch(ctx context.Context, f *fleet) {
	for sleepUntil(ctx, time.Now().Add(samplePeriod)) {
		b.sample(f)
	}
}

// stop ends the sampling. Streams end with the traffic, so later samples would
// distort the result.
func (b *imbalanceSampler) stop(*fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

func (b *imbalanceSampler) sample(f *fleet) {
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

// openStreams returns the numbers of open streams at the warm servers of each
// service.
func (f *fleet) openStreams() map[string][]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := map[string][]int{}
	for _, s := range f.servers {
		if s.leaving || (s.starts > 1 && time.Since(s.startedAt) < warmUpTime) {
			continue
		}
		_, streams := s.backend.InProgress()
		open[s.service.Name] = append(open[s.service.Name], streams)
	}
	return open
}

// maxOverMean returns the largest count over the mean, or 1 if all are zero.
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

// imbalance returns the mean of the last samples of the service with the highest
// mean.
func (b *imbalanceSampler) imbalance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	worst := 0.0
	for _, samples := range b.samples {
		last := samples[max(0, len(samples)-averagedSamples):]
		sum := 0.0
		for _, ratio := range last {
			sum += ratio
		}
		worst = max(worst, sum/float64(len(last)))
	}
	return worst
}
