package linker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/timer"
)

// The bounds of a pool.
const (
	// DefaultIdleTimeout is the time after which a session without streams
	// is closed.
	DefaultIdleTimeout = 2 * time.Minute
	// MinBackoff is the wait after the first failed dial.
	MinBackoff = 100 * time.Millisecond
	// MaxBackoff bounds the wait, which doubles with each failed dial.
	MaxBackoff = 5 * time.Second
)

// Pool keeps one session to each peer that is in use. Streams of all kinds
// share it. A pool with Keys set works; it must not be copied.
type Pool struct {
	// Keys are the fleet's keys. It must be set.
	Keys KeySource
	// Timer is the timer service; nil means the system's.
	Timer gooseberrymast.Timer
	// IdleTimeout closes a session that had no stream for so long; zero
	// means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// Handlers serve the streams that peers open on dialed sessions; nil
	// refuses them.
	Handlers *Handlers

	mu     sync.Mutex
	peers  map[netip.AddrPort]*pooled
	sweep  func()
	closed bool
}

// pooled is one peer of a pool. Its lock is held while a dial is in progress,
// so that concurrent callers share the outcome.
type pooled struct {
	mu       chan struct{}
	session  *Session
	failures int
	retryAt  time.Time
	fault    error
	usedAt   time.Time
}

// Open opens a stream of a kind to the process that listens at the address. It
// reuses the session to it, or dials. While the peer can't be dialed, calls
// fail at once with ErrBackoff. An error means that the peer has received
// nothing but at most the stream's kind.
func (p *Pool) Open(ctx context.Context, address netip.AddrPort, kind Kind) (*Stream, error) {
	session, err := p.Session(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("Pool.Open: %w", err)
	}
	stream, err := session.OpenStreamContext(ctx, kind)
	if err == nil {
		return stream, nil
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("Pool.Open: %w", err)
	}
	// The session broke while it was idle; a fresh one is tried once.
	session.Close()
	session, err = p.Session(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("Pool.Open: %w", err)
	}
	stream, err = session.OpenStreamContext(ctx, kind)
	if err != nil {
		return nil, fmt.Errorf("Pool.Open: %w", err)
	}
	return stream, nil
}

// Session gives the session to the process that listens at the address.
func (p *Pool) Session(ctx context.Context, address netip.AddrPort) (*Session, error) {
	peer, err := p.peer(address)
	if err != nil {
		return nil, fmt.Errorf("Pool.Session %s: %w", address, err)
	}
	select {
	case peer.mu <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("Pool.Session %s: %w", address, ctx.Err())
	}
	defer func() { <-peer.mu }()
	now := p.timer().Now()
	peer.usedAt = now
	if peer.session != nil && !peer.session.Closed() {
		return peer.session, nil
	}
	if now.Before(peer.retryAt) {
		return nil, fmt.Errorf("Pool.Session %s: %w after: %w", address, ErrBackoff, peer.fault)
	}
	return p.dial(ctx, address, peer)
}

// dial is called with the peer's lock held.
func (p *Pool) dial(ctx context.Context, address netip.AddrPort, peer *pooled) (*Session, error) {
	session, err := Dial(ctx, address, p.Keys)
	if err != nil {
		peer.fault = err
		// A caller that gave up says nothing about the peer.
		if ctx.Err() == nil {
			peer.retryAt = p.timer().Now().Add(backoff(peer.failures))
			peer.failures++
		}
		return nil, fmt.Errorf("Pool.Session: %w", err)
	}
	peer.session = session
	peer.failures = 0
	peer.retryAt = time.Time{}
	if p.Handlers != nil {
		go session.Serve(context.Background(), p.Handlers)
	}
	if p.isClosed() {
		session.Close()
		return nil, fmt.Errorf("Pool.Session %s: %w", address, ErrClosed)
	}
	return session, nil
}

// backoff doubles with each failure and is spread by half, so that the peers
// of a restarted process don't all return at once.
func backoff(failures int) time.Duration {
	wait := MaxBackoff
	if failures < 6 {
		wait = min(MinBackoff<<failures, MaxBackoff)
	}
	return wait/2 + rand.N(wait/2)
}

func (p *Pool) peer(address netip.AddrPort) (*pooled, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if p.peers == nil {
		p.peers = map[netip.AddrPort]*pooled{}
		p.sweep = p.timer().Every(p.idleTimeout()/2, p.closeIdle)
	}
	peer := p.peers[address]
	if peer == nil {
		peer = &pooled{mu: make(chan struct{}, 1)}
		p.peers[address] = peer
	}
	return peer, nil
}

// closeIdle closes and forgets the peers that were not used of late.
func (p *Pool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		select {
		case peer.mu <- struct{}{}:
		default:
			continue // A dial is in progress.
		}
		if peer.idle(now, p.idleTimeout()) {
			if peer.session != nil {
				peer.session.Close()
			}
			delete(p.peers, address)
		}
		<-peer.mu
	}
}

func (e *pooled) idle(now time.Time, timeout time.Duration) bool {
	if e.session != nil && e.session.Streams() > 0 {
		e.usedAt = now
		return false
	}
	return now.Sub(e.usedAt) >= timeout
}

// Close ends every session. Open fails from then on.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = nil
	if p.sweep != nil {
		p.sweep()
	}
	p.mu.Unlock()
	for _, peer := range peers {
		peer.mu <- struct{}{}
		if peer.session != nil {
			peer.session.Close()
		}
		<-peer.mu
	}
	return nil
}

// Sessions gives the number of open sessions.
func (p *Pool) Sessions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for _, peer := range p.peers {
		select {
		case peer.mu <- struct{}{}:
			if peer.session != nil && !peer.session.Closed() {
				open++
			}
			<-peer.mu
		default:
		}
	}
	return open
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *Pool) timer() gooseberrymast.Timer {
	if p.Timer == nil {
		return timer.System{}
	}
	return p.Timer
}

func (p *Pool) idleTimeout() time.Duration {
	if p.IdleTimeout == 0 {
		return DefaultIdleTimeout
	}
	return p.IdleTimeout
}
