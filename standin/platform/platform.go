// Package platform is a stand-in for the platform's object API, for tests and
// local trials. It keeps objects in memory and can inject the faults that the
// real API may have.
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

// Faults configures the injected faults. The zero value injects none. Shares
// are probabilities from 0 to 1.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay gooseberrymast.Duration `json:"delay"`
	// LostAnswers is the share of writes that are carried out but return
	// gooseberrymast.ErrStoreUnknown instead of their outcome.
	LostAnswers float64 `json:"lost-answers"`
	// LostWrites is the share of puts that take no effect and return
	// gooseberrymast.ErrStoreUnknown.
	LostWrites float64 `json:"lost-writes"`
	// CutWatches is the share of watches that fail at once. The draw is repeated
	// whenever a waiting watch wakes up.
	CutWatches float64 `json:"cut-watches"`
	// StaleReads is the share of reads that return the previous version.
	StaleReads float64 `json:"stale-reads"`
}

// Calls counts the calls by method. A watch counts once, however long it waits.
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

// Platform is an in-memory object store. The zero value is empty, has no faults
// and uses the system timer.
type Platform struct {
	// Timer schedules Faults.Delay; nil means timer.System.
	Timer gooseberrymast.Timer
	// Seed seeds the random draws, so that faults are reproducible.
	Seed uint64
	// FirstVersion is one below the version of a new key's first write. A
	// restarted stand-in needs a higher value than before, since versions
	// never decrease.
	FirstVersion uint64

	mu      sync.Mutex
	objects map[string]*object
	faults  Faults
	calls   Calls
	random  *rand.Rand
	// changed is created for a waiting watch, and closed and reset to nil by
	// the next write or SetFaults.
	changed chan struct{}
}

// object holds the last two values of a key. A deleted key keeps its version.
type object struct {
	current  gooseberrymast.Object
	previous gooseberrymast.Object
	deleted  bool
}

// SetFaults replaces the faults. Waiting watches fail if the store goes down.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.notifyWatchers()
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Calls returns the counts since the start.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Get implements gooseberrymast.Store.
func (p *Platform) Get(ctx context.Context, key string) (gooseberrymast.Object, error) {
	if err := p.beginCall(ctx, func(c *Calls) { c.Get++ }); err != nil {
		return gooseberrymast.Object{}, fmt.Errorf("Platform.Get %s: %w", key, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.readLocked(key)
	if !ok {
		return gooseberrymast.Object{}, fmt.Errorf("Platform.Get %s: %w", key, gooseberrymast.ErrStoreNotFound)
	}
	return found, nil
}

// List implements gooseberrymast.Store.
func (p *Platform) List(ctx context.Context, prefix string) ([]gooseberrymast.Object, error) {
	if err := p.beginCall(ctx, func(c *Calls) { c.List++ }); err != nil {
		return nil, fmt.Errorf("Platform.List %s: %w", prefix, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []gooseberrymast.Object
	for _, key := range slices.Sorted(maps.Keys(p.objects)) {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if object, ok := p.readLocked(key); ok {
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
	if err := p.beginCall(ctx, func(c *Calls) { c.Put++ }); err != nil {
		return 0, fmt.Errorf("Platform.Put %s: %w", written.Key, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drawFault(p.faults.LostWrites) {
		return 0, fmt.Errorf("Platform.Put %s: %w", written.Key, gooseberrymast.ErrStoreUnknown)
	}
	version, err := p.writeLocked(written, expected, false)
	if p.drawFault(p.faults.LostAnswers) {
		err = gooseberrymast.ErrStoreUnknown
	}
	if err != nil {
		return 0, fmt.Errorf("Platform.Put %s: %w", written.Key, err)
	}
	return version, nil
}

// Delete implements gooseberrymast.Store.
func (p *Platform) Delete(ctx context.Context, key string, expected uint64) error {
	if err := p.beginCall(ctx, func(c *Calls) { c.Delete++ }); err != nil {
		return fmt.Errorf("Platform.Delete %s: %w", key, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, err := p.writeLocked(gooseberrymast.Object{Key: key}, expected, true)
	if p.drawFault(p.faults.LostAnswers) {
		err = gooseberrymast.ErrStoreUnknown
	}
	if err != nil {
		return fmt.Errorf("Platform.Delete %s: %w", key, err)
	}
	return nil
}

// Watch implements gooseberrymast.Store.
func (p *Platform) Watch(ctx context.Context, key string, after uint64) (gooseberrymast.Object, error) {
	if err := p.beginCall(ctx, func(c *Calls) { c.Watch++ }); err != nil {
		return gooseberrymast.Object{}, fmt.Errorf("Platform.Watch %s: %w", key, err)
	}
	for {
		found, changed, err := p.poll(key, after)
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

// poll returns the object if its version is above after, and otherwise a
// channel that is closed on the next change.
func (p *Platform) poll(key string, after uint64) (gooseberrymast.Object, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down || p.drawFault(p.faults.CutWatches) {
		return gooseberrymast.Object{}, nil, fmt.Errorf("Platform.Watch %s: %w", key, gooseberrymast.ErrStoreUnavailable)
	}
	if found := p.objects[key]; found != nil && !found.deleted && found.current.Version > after {
		return cloneObject(found.current), nil, nil
	}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return gooseberrymast.Object{}, p.changed, nil
}

// beginCall counts a call, waits for the configured delay and returns an error
// while the store is down.
func (p *Platform) beginCall(ctx context.Context, count func(*Calls)) error {
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
	var clock gooseberrymast.Timer = timer.System{}
	if p.Timer != nil {
		clock = p.Timer
	}
	passed := make(chan struct{})
	cancel := clock.After(delay, func(time.Time) { close(passed) })
	defer cancel()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-passed:
		return nil
	}
}

func (p *Platform) readLocked(key string) (gooseberrymast.Object, bool) {
	found := p.objects[key]
	if found == nil || found.deleted {
		return gooseberrymast.Object{}, false
	}
	if found.previous.Version > 0 && p.drawFault(p.faults.StaleReads) {
		return cloneObject(found.previous), true
	}
	return cloneObject(found.current), true
}

func (p *Platform) writeLocked(written gooseberrymast.Object, expected uint64, remove bool) (uint64, error) {
	if p.objects == nil {
		p.objects = map[string]*object{}
	}
	stored := p.objects[written.Key]
	if stored == nil {
		stored = &object{deleted: true, current: gooseberrymast.Object{Version: p.FirstVersion}}
	}
	version := stored.current.Version
	if stored.deleted {
		version = 0
	}
	if version != expected {
		return 0, gooseberrymast.ErrStoreConflict
	}
	if remove && stored.deleted {
		return 0, gooseberrymast.ErrStoreNotFound
	}
	written = cloneObject(written)
	written.Version = stored.current.Version + 1
	next := &object{current: written, deleted: remove}
	if !stored.deleted {
		next.previous = stored.current
	}
	p.objects[written.Key] = next
	p.notifyWatchers()
	return written.Version, nil
}

func (p *Platform) notifyWatchers() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// drawFault draws whether a fault with the given share occurs.
func (p *Platform) drawFault(share float64) bool {
	if share <= 0 {
		return false
	}
	if p.random == nil {
		p.random = rand.New(rand.NewPCG(p.Seed, p.Seed))
	}
	return p.random.Float64() < share
}

func cloneObject(object gooseberrymast.Object) gooseberrymast.Object {
	object.Value = slices.Clone(object.Value)
	return object
}
