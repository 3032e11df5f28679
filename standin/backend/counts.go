package backend

import "maps"

// Counts is what really happened at a stand-in.
type Counts struct {
	// Ran gives the number of runs for each request id.
	Ran map[string]int
	// Unary and Streams are the requests that ran, with and without an id.
	Unary   int
	Streams int
	// Shed is the number of requests that were shed.
	Shed int
	// Cancelled is the number of runs that the caller ended.
	Cancelled int
	// MaxInProgress is the largest number of unary requests at once.
	MaxInProgress int
}

// Counts gives a copy of the counts.
func (b *Backend) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.counts
	counts.Ran = maps.Clone(b.counts.Ran)
	return counts
}

// InProgress gives the number of unary requests and streams that run now.
func (b *Backend) InProgress() (unary, streams int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.streams
}

// begin counts a run, or reports that all slots are taken.
func (b *Backend) begin(id string, stream bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !stream && b.running >= b.slots() {
		return false
	}
	if id != "" {
		if b.counts.Ran == nil {
			b.counts.Ran = map[string]int{}
		}
		b.counts.Ran[id]++
	}
	if stream {
		b.streams++
		b.counts.Streams++
	} else {
		b.running++
		b.counts.Unary++
		b.counts.MaxInProgress = max(b.counts.MaxInProgress, b.running)
	}
	b.record()
	return true
}

func (b *Backend) end(stream bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if stream {
		b.streams--
	} else {
		b.running--
	}
	b.record()
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
