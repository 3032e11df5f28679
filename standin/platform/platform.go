// Package platform is a small stand-in for the platform's object API, for
// trying things out and for tests. It keeps its objects in memory and causes
// the faults that the real one may have.
package platform

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/timer"
)

// ErrTooLarge means that a value is longer than gooseberrymast.MaxObjectBytes.
var ErrTooLarge = errors.New("the value is too large")

// Faults are what goes wrong. The zero value causes none. Shares are
// probabilities from 0 to 1.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Delay is the time that every call takes.
	Delay gooseberrymast.Duration `json:"delay"`
	// LostAnswers is the share of writes that take effect and whose outcome
	// the writer isn't told.
	LostAnswers float64 `json:"lost-answers"`
	// LostWrites is the share of writes that take no effect and whose
	// outcome the writer isn't told.
	LostWrites float64 `json:"lost-writes"`
	// CutWatches is the share of watches that fail at once.
	CutWatches float64 `json:"cut-watches"`
	// StaleReads is the share of reads that give an older version.
	StaleReads float64 `json:"stale-reads"`
}

// Calls counts the calls by method. A waiting watch counts as one.
type Calls struct {
	Get    uint64 `json:"get"`
	List   uint64 `json:"list"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	Watch  uint64 `json:"watch"`
}

// Reads counts the calls that change nothing.
func (c Calls) Reads() uint64 {
	return c.Get + c.List + c.Watch
}

// Writes counts the calls that may change an object.
func (c Calls) Writes() uint64 {
	return c.Put + c.Delete
}

// Platform is an object store in memory. The zero value is empty, has no
// faults and uses the system's time.
type Platform struct {
	// Timer measures Faults.Delay; nil is the system's.
	Timer gooseberrymast.Timer
	// Seed makes the faults repeatable.
	Seed uint64
	// FirstVersion is below the version of a new key's first write. A
	// stand-in that is started again takes a higher one, since versions
	// never fall.
	FirstVersion uint64

	mu      sync.Mutex
	objects map[string]*object
	faults  Faults
	calls   Calls
	random  *rand.Rand
	// changed is closed and replaced with each write.
	changed chan struct{}
}

// object is one key with its last two values. A deleted key keeps its version.
type object struct {
	current  gooseberrymast.Object
	previous gooseberrymast.Object
	deleted  bool
}

// SetFaults replaces the faults. Waiting watches end when the store goes down.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.wake()
}

// Faults gives the faults in force.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Calls gives the counts since the start.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Get implements gooseberrymast.Store.
func (p *Platform) Get(ctx context.Context, key string) (gooseberrymast.Object, error) {
	if err := p.begin(ctx, func(c *Calls) { c.Get++ }); err != nil {
		return gooseberrymast.Object{}, fmt.Errorf("Platform.Get %s: %w", key, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.read(key)
	if !ok {
		return gooseberrymast.Object{}, fmt.Errorf("Platform.Get %s: %w", key, gooseberrymast.ErrStoreNotFound)
	}
	return found, nil
}

// List implements gooseberrymast.Store.
func (p *Platform) List(ctx context.Context, prefix string) ([]gooseberrymast.Object, error) {
	if err := p.begin(ctx, func(c *Calls) { c.List++ }); err != nil {
		return nil, fmt.Errorf("Platform.List %s: %w", prefix, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []gooseberrymast.Object
	for _, key := range slices.Sorted(maps.Keys(p.objects)) {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if object, ok := p.read(key); ok {
			found = append(found, object)
		}
	}
	return found, nil
}

// Put implements gooseberrymast.Store.
func (p *Platform) Put(ctx context.Context, written gooseberrymast.Object, expected uint64) (uint64, error) {
	if len(written.Value) > gooseberrymast.MaxObjectBytes {
		return 0, fmt.Errorf("Platform.Put %s: %d bytes: %w", written.Key, len(written.Value), ErrTooLarge)
	}
	if err := p.begin(ctx, func(c *Calls) { c.Put++ }); err != nil {
		return 0, fmt.Errorf("Platform.Put %s: %w", written.Key, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.strikes(p.faults.LostWrites) {
		return 0, fmt.Errorf("Platform.Put %s: %w", written.Key, gooseberrymast.ErrStoreUnknown)
	}
	version, err := p.write(written, expected, false)
	if p.strikes(p.faults.LostAnswers) {
		err = gooseberrymast.ErrStoreUnknown
	}
	if err != nil {
		return 0, fmt.Errorf("Platform.Put %s: %w", written.Key, err)
	}
	return version, nil
}

// Delete implements gooseberrymast.Store.
func (p *Platform) Delete(ctx context.Context, key string, expected uint64) error {
	if err := p.begin(ctx, func(c *Calls) { c.Delete++ }); err != nil {
		return fmt.Errorf("Platform.Delete %s: %w", key, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, err := p.write(gooseberrymast.Object{Key: key}, expected, true)
	if p.strikes(p.faults.LostAnswers) {
		err = gooseberrymast.ErrStoreUnknown
	}
	if err != nil {
		return fmt.Errorf("Platform.Delete %s: %w", key, err)
	}
	return nil
}

// Watch implements gooseberrymast.Store.
func (p *Platform) Watch(ctx context.Context, key string, after uint64) (gooseberrymast.Object, error) {
	if err := p.begin(ctx, func(c *Calls) { c.Watch++ }); err != nil {
		return gooseberrymast.Object{}, fmt.Errorf("Platform.Watch %s: %w", key, err)
	}
	for {
		found, changed, err := p.look(key, after)
		if err != nil || changed == nil {
			return found, err
		}
		select {
		case <-ctx.Done():
			return gooseberrymast.Object{}, fmt.Errorf("Platform.Watch %s: %w", key, ctx.Err())
		case <-changed:
		}
	}
}

// look gives the object when its version is above after, and otherwise a
// channel that is closed with the next write.
func (p *Platform) look(key string, after uint64) (gooseberrymast.Object, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down || p.strikes(p.faults.CutWatches) {
		return gooseberrymast.Object{}, nil, fmt.Errorf("Platform.Watch %s: %w", key, gooseberrymast.ErrStoreUnavailable)
	}
	if found := p.objects[key]; found != nil && !found.deleted && found.current.Version > after {
		return copied(found.current), nil, nil
	}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return gooseberrymast.Object{}, p.changed, nil
}

// begin counts a call, lets its delay pass and fails while the store is down.
func (p *Platform) begin(ctx context.Context, count func(*Calls)) error {
	p.mu.Lock()
	count(&p.calls)
	faults := p.faults
	p.mu.Unlock()
	if err := p.wait(ctx, faults.Delay.Std()); err != nil {
		return err
	}
	if faults.Down {
		return gooseberrymast.ErrStoreUnavailable
	}
	return ctx.Err()
}

func (p *Platform) wait(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	var service gooseberrymast.Timer = timer.System{}
	if p.Timer != nil {
		service = p.Timer
	}
	passed := make(chan struct{})
	cancel := service.After(delay, func(time.Time) { close(passed) })
	defer cancel()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-passed:
		return nil
	}
}

func (p *Platform) read(key string) (gooseberrymast.Object, bool) {
	found := p.objects[key]
	if found == nil || found.deleted {
		return gooseberrymast.Object{}, false
	}
	if found.previous.Version > 0 && p.strikes(p.faults.StaleReads) {
		return copied(found.previous), true
	}
	return copied(found.current), true
}

func (p *Platform) write(written gooseberrymast.Object, expected uint64, remove bool) (uint64, error) {
	if p.objects == nil {
		p.objects = map[string]*object{}
	}
	known := p.objects[written.Key]
	if known == nil {
		known = &object{deleted: true, current: gooseberrymast.Object{Version: p.FirstVersion}}
	}
	present := known.current.Version
	if known.deleted {
		present = 0
	}
	if present != expected {
		return 0, gooseberrymast.ErrStoreConflict
	}
	if remove && known.deleted {
		return 0, gooseberrymast.ErrStoreNotFound
	}
	written = copied(written)
	written.Version = known.current.Version + 1
	next := &object{current: written, deleted: remove}
	if !known.deleted {
		next.previous = known.current
	}
	p.objects[written.Key] = next
	p.wake()
	return written.Version, nil
}

func (p *Platform) wake() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// strikes draws whether a fault with a share happens.
func (p *Platform) strikes(share float64) bool {
	if share <= 0 {
		return false
	}
	if p.random == nil {
		p.random = rand.New(rand.NewPCG(p.Seed, p.Seed))
	}
	return p.random.Float64() < share
}

func copied(object gooseberrymast.Object) gooseberrymast.Object {
	object.Value = slices.Clone(object.Value)
	return object
}
