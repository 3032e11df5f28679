package framer

import (
	"sync"
	"time"
)

// WindowFrames is how far back, in frames of one stripe, a frame may arrive
// late. Older ones are refused as replays.
const WindowFrames = 1024

const (
	windowWords  = WindowFrames / 64
	windowShards = 64
	// DefaultMaxSequences bounds the sequences that Windows remembers.
	DefaultMaxSequences = 1 << 18
	// IdleSequence is how long a silent sequence is remembered at least,
	// while there is room.
	IdleSequence = 10 * time.Minute
)

// Windows refuses frames that were seen before. It keeps a sliding window for
// each sequence, in shards under their own locks. A sequence that has been
// silent for IdleSequence is forgotten when room is needed, so a replay of its
// frames would pass; QUIC then drops the packet by its packet number. Only
// verified frames may be given to Accept, so that outsiders can't fill it. The zero
// value works.
type Windows struct {
	// MaxSequences bounds the memory; zero takes DefaultMaxSequences.
	MaxSequences int

	shards [windowShards]windowShard
}

type sequence struct {
	sender uint64
	stripe uint16
}

type windowShard struct {
	mu      sync.Mutex
	windows map[sequence]*window
}

// window remembers the last WindowFrames counters up to the highest.
type window struct {
	highest uint64
	last    time.Time
	seen    [windowWords]uint64
}

// Accept reports whether the frame is new, and remembers it.
func (w *Windows) Accept(origin Origin, now time.Time) bool {
	key := sequence{origin.Sender, origin.Stripe}
	shard := &w.shards[(origin.Sender^uint64(origin.Stripe))%windowShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	win := shard.windows[key]
	if win == nil {
		win = &window{}
		shard.add(key, win, w.maxInShard(), now)
	}
	win.last = now
	return win.accept(origin.Counter)
}

// Sequences gives the number of sequences that are remembered.
func (w *Windows) Sequences() int {
	n := 0
	for i := range w.shards {
		shard := &w.shards[i]
		shard.mu.Lock()
		n += len(shard.windows)
		shard.mu.Unlock()
	}
	return n
}

func (w *Windows) maxInShard() int {
	limit := w.MaxSequences
	if limit == 0 {
		limit = DefaultMaxSequences
	}
	return max(1, limit/windowShards)
}

// add makes room by dropping the idle sequences, or any one when none is idle.
func (s *windowShard) add(key sequence, win *window, limit int, now time.Time) {
	if s.windows == nil {
		s.windows = map[sequence]*window{}
	}
	if len(s.windows) >= limit {
		s.dropIdle(now)
	}
	for old := range s.windows {
		if len(s.windows) < limit {
			break
		}
		delete(s.windows, old)
	}
	s.windows[key] = win
}

func (s *windowShard) dropIdle(now time.Time) {
	for key, win := range s.windows {
		if now.Sub(win.last) > IdleSequence {
			delete(s.windows, key)
		}
	}
}

func (w *window) accept(counter uint64) bool {
	if counter == 0 || counter+WindowFrames <= w.highest {
		return false
	}
	if counter > w.highest {
		w.advance(counter)
	}
	word, bit := counter/64%windowWords, uint64(1)<<(counter%64)
	if w.seen[word]&bit != 0 {
		return false
	}
	w.seen[word] |= bit
	return true
}

// advance clears the bits between the highest counter and the new one.
func (w *window) advance(counter uint64) {
	if counter-w.highest >= WindowFrames {
		clear(w.seen[:])
		w.highest = counter
		return
	}
	for c := w.highest + 1; c <= counter; c++ {
		w.seen[c/64%windowWords] &^= 1 << (c % 64)
	}
	w.highest = counter
}
