package backend

import "maps"

// Counts holds the requests that a stand-in actually handled.
type Counts struct {
	// Runs is the number of runs by request id.
	Runs map[string]int
	// Unary and Streams count all requests that ran, with or without an id.
	Unary   int
	Streams int
	// Shed is the number of requests answered 503 without being run, because
	// all slots were taken or the mode was ModeShed.
	Shed int
	// Cancelled is the number of runs cut short by the caller.
	Cancelled int
	// MaxInProgress is the largest number of concurrent unary requests.
	MaxInProgress int
}

// Counts returns a copy of the counts.
func (b *Backend) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.counts
	counts.Runs = maps.Clone(b.counts.Runs)
	return counts
}

// InProgress returns the number of unary requests and streams in progress.
func (b *Backend) InProgress() (unary, streams int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.streams
}

// beginRequest counts the start of a run. It returns false if all slots are taken.
func (b *Backend) beginRequest(id string, stream bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !stream && b.running >= b.slots() {
		return false
	}
	if id != "" {
		if b.counts.Runs == nil {
			b.counts.Runs = map[string]int{}
		}
		b.counts.Runs[id]++
	}
	if stream {
		b.streams++
		b.counts.Streams++
	} else {
		b.running++
		b.counts.Unary++
		b.counts.MaxInProgress = max(b.counts.MaxInProgress, b.running)
	}
	b.recordReport()
	return true
}

func (b *Backend) endRequest(stream bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if stream {
		b.streams--
	} else {
		b.running--
	}
	b.recordReport()
}

func (b *Backend) countShed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Shed++
}

func (b *Backend) countCancelled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Cancelled++
}
