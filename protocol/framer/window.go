package framer

import (
	"sync"
	"time"
)

// WindowFrames is the size of a replay window, in frames of one stripe. Frames
// that are further behind the latest one are refused as replays.
const WindowFrames = 1024

const (
	windowWords  = WindowFrames / 64
	windowShards = 64
	// DefaultMaxSequences is the default limit of the sequences that ReplayWindows
	// tracks.
	DefaultMaxSequences = 1 << 18
	// SequenceIdleTimeout is the time without a frame after which a sequence
	// may be removed to make room for another.
	SequenceIdleTimeout = 10 * time.Minute
)

// ReplayWindows detects replayed frames. It keeps a sliding window for each sequence,
// in shards with a lock each. When a shard is full, it removes the sequences
// that were idle for SequenceIdleTimeout, or any sequence if none was. A replay
// of a removed sequence's frames is accepted; QUIC then drops the packet by its
// packet number. Only verified frames may be passed to Accept, so that
// outsiders can't fill the shards. The zero value is ready to use.
type ReplayWindows struct {
	// MaxSequences limits the tracked sequences and so the memory; zero means
	// DefaultMaxSequences.
	MaxSequences int

	shards [windowShards]windowShard
}

type sequenceKey struct {
	sender uint64
	stripe uint16
}

type windowShard struct {
	mu      sync.Mutex
	windows map[sequenceKey]*window
}

// window holds a bit for each of the last WindowFrames counters up to the
// highest.
type window struct {
	highest uint64
	last    time.Time
	seen    [windowWords]uint64
}

// Accept reports whether the frame is new, and records it.
func (w *ReplayWindows) Accept(origin Origin, now time.Time) bool {
	key := sequenceKey{origin.Sender, origin.Stripe}
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

// Sequences returns the number of tracked sequences.
func (w *ReplayWindows) Sequences() int {
	n := 0
	for i := range w.shards {
		shard := &w.shards[i]
		shard.mu.Lock()
		n += len(shard.windows)
		shard.mu.Unlock()
	}
	return n
}

func (w *ReplayWindows) maxInShard() int {
	limit := w.MaxSequences
	if limit == 0 {
		limit = DefaultMaxSequences
	}
	return max(1, limit/windowShards)
}

// add adds a window. If the shard is full, it first removes the idle sequences,
// or an arbitrary one if none is idle.
func (s *windowShard) add(key sequenceKey, win *window, limit int, now time.Time) {
	if s.windows == nil {
		s.windows = map[sequenceKey]*window{}
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
		if now.Sub(win.last) > SequenceIdleTimeout {
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
