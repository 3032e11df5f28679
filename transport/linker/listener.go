package linker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Handler serves one stream. The stream is closed when the handler returns. The
// context ends with the session.
type Handler func(ctx context.Context, peer netip.AddrPort, stream *Stream)

// Handlers holds one handler for each kind of stream. The zero value works;
// streams without a handler are closed.
type Handlers struct {
	mu     sync.RWMutex
	byKind map[Kind]Handler
}

// Handle sets the handler of a kind.
func (h *Handlers) Handle(kind Kind, handler Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byKind == nil {
		h.byKind = map[Kind]Handler{}
	}
	h.byKind[kind] = handler
}

func (h *Handlers) find(kind Kind) Handler {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.byKind[kind]
}

// Listener accepts sessions from the other processes of the fleet.
type Listener struct {
	// Handlers serve the streams of every accepted session. Set them before
	// Serve is called.
	Handlers

	socket net.Listener
	keys   KeySource

	mu       sync.Mutex
	sessions map[*Session]struct{}
	closed   bool
}

// Listen binds the TCP address; Serve accepts sessions on it.
func Listen(address netip.AddrPort, keys KeySource) (*Listener, error) {
	// Accepted sockets inherit the option.
	config := net.ListenConfig{Control: setUserTimeout}
	socket, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("linker.Listen %s: %w", address, err)
	}
	return &Listener{socket: socket, keys: keys, sessions: map[*Session]struct{}{}}, nil
}

// Address returns the bound address.
func (l *Listener) Address() netip.AddrPort {
	return l.socket.Addr().(*net.TCPAddr).AddrPort()
}

// Serve accepts sessions until the listener is closed, and then returns nil.
func (l *Listener) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		conn, err := l.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The error may be temporary, such as too many open files. A
			// process that stops accepting would be lost to its peers.
			log.Warn().Err(err).Str("address", l.Address().String()).Msg("a session could not be accepted; trying again")
			if !pause(ctx, acceptPause) {
				return nil
			}
			continue
		}
		go l.serveConn(ctx, conn)
	}
}

// acceptPause is the wait after a failed accept.
const acceptPause = 200 * time.Millisecond

// pause waits. It returns false if the context ends first.
func pause(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (l *Listener) serveConn(ctx context.Context, conn net.Conn) {
	session, err := accept(ctx, conn, l.keys)
	if err != nil {
		conn.Close()
		log.Debug().Err(err).Msg("session refused")
		return
	}
	if !l.add(session) {
		session.Close()
		return
	}
	defer l.remove(session)
	session.Serve(ctx, &l.Handlers)
}

func (l *Listener) add(session *Session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.sessions[session] = struct{}{}
	return true
}

func (l *Listener) remove(session *Session) {
	session.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, session)
}

// Sessions returns the number of open accepted sessions.
func (l *Listener) Sessions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sessions)
}

// Close stops accepting and ends every accepted session.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	sessions := make([]*Session, 0, len(l.sessions))
	for session := range l.sessions {
		sessions = append(sessions, session)
	}
	l.mu.Unlock()
	err := l.socket.Close()
	for _, session := range sessions {
		session.Close()
	}
	if err != nil {
		return fmt.Errorf("Listener.Close: %w", err)
	}
	return nil
}
