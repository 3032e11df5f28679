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
	// MaxBackoff is the longest wait; the wait doubles with each failed dial.
	MaxBackoff = 5 * time.Second
)

// Pool keeps one session to each peer in use, which streams of all kinds share.
// Only Keys must be set. A pool must not be copied.
type Pool struct {
	// Keys are the fleet's keys. It must be set.
	Keys KeySource
	// Timer is the timer service; nil means the system's.
	Timer gooseberrymast.Timer
	// IdleTimeout is the time after which a session without streams is closed;
	// zero means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// Handlers serve the streams that peers open on dialed sessions; if nil,
	// such streams are not accepted.
	Handlers *Handlers

	mu        sync.Mutex
	peers     map[netip.AddrPort]*pooledPeer
	stopSweep func()
	closed    bool
}

// pooledPeer is one peer of a pool. Its lock is held while a dial is in progress,
// so that concurrent callers share the outcome.
type pooledPeer struct {
	mu       chan struct{}
	session  *Session
	failures int
	retryAt  time.Time
	lastErr  error
	usedAt   time.Time
}

// Open opens a stream of a kind to the process that listens at the address. It
// reuses the session to that process, or dials. For a while after a failed dial,
// calls fail at once with ErrBackoff. After an error the peer has received at
// most the stream's kind.
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
	// The session broke while it was idle; retry once with a new one.
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

// Session returns the session to the process that listens at the address, and
// dials if there is none.
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
		return nil, fmt.Errorf("Pool.Session %s: %w after: %w", address, ErrBackoff, peer.lastErr)
	}
	return p.dial(ctx, address, peer)
}

// dial opens a session to a peer. The peer's lock must be held.
func (p *Pool) dial(ctx context.Context, address netip.AddrPort, peer *pooledPeer) (*Session, error) {
	session, err := Dial(ctx, address, p.Keys)
	if err != nil {
		peer.lastErr = err
		// A context that ended is no failure of the peer.
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

// backoff returns the wait after a number of earlier failures. It doubles with
// each failure and is randomised by half, so that the peers of a restarted
// process don't all reconnect at once.
func backoff(failures int) time.Duration {
	wait := MaxBackoff
	if failures < 6 {
		wait = min(MinBackoff<<failures, MaxBackoff)
	}
	return wait/2 + rand.N(wait/2)
}

func (p *Pool) peer(address netip.AddrPort) (*pooledPeer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if p.peers == nil {
		p.peers = map[netip.AddrPort]*pooledPeer{}
		p.stopSweep = p.timer().Every(p.idleTimeout()/2, p.removeIdlePeers)
	}
	peer := p.peers[address]
	if peer == nil {
		peer = &pooledPeer{mu: make(chan struct{}, 1)}
		p.peers[address] = peer
	}
	return peer, nil
}

// removeIdlePeers closes and removes the peers that were not used for the idle
// timeout.
func (p *Pool) removeIdlePeers(now time.Time) {
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

func (p *pooledPeer) idle(now time.Time, timeout time.Duration) bool {
	if p.session != nil && p.session.Streams() > 0 {
		p.usedAt = now
		return false
	}
	return now.Sub(p.usedAt) >= timeout
}

// Close ends every session. Open fails from then on.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = nil
	if p.stopSweep != nil {
		p.stopSweep()
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

// Sessions returns the number of open sessions.
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
