package linker

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
)

// Stream is one stream of a session. Close closes the sending direction only;
// data that the peer sends until it closes can still be read.
type Stream struct {
	*yamux.Stream
	// Kind is the kind that the opening side sent.
	Kind Kind
	// Peer is the TCP address of the other side.
	Peer netip.AddrPort
}

// Session is one authenticated connection to a peer. Both sides may open and
// accept streams.
type Session struct {
	// Peer is the TCP address of the other side; for an accepted session its
	// port is ephemeral.
	Peer netip.AddrPort

	mux *yamux.Session
	// protocol is the negotiated application protocol.
	protocol string
}

// Dial connects to the process that listens at the address.
func Dial(ctx context.Context, address netip.AddrPort, keys KeySource) (*Session, error) {
	return dialProtocol(ctx, address, keys, protocolPings)
}

// DialHeartbeats is like Dial, for a session whose user sends its own heartbeats
// and closes the session when none arrive. The session has no pings.
func DialHeartbeats(ctx context.Context, address netip.AddrPort, keys KeySource) (*Session, error) {
	return dialProtocol(ctx, address, keys, protocolHeartbeats)
}

func dialProtocol(ctx context.Context, address netip.AddrPort, keys KeySource, protocol string) (*Session, error) {
	config, err := tlsConfig(keys())
	if err != nil {
		return nil, fmt.Errorf("linker.Dial %s: keys: %w", address, err)
	}
	config.NextProtos = []string{protocol}
	ctx, cancel := context.WithTimeout(ctx, HandshakeTimeout)
	defer cancel()
	dialer := net.Dialer{Control: setUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("linker.Dial %s: connect: %w", address, err)
	}
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, fmt.Errorf("linker.Dial %s: handshake: %w", address, err)
	}
	mux, err := yamux.Client(&frameWriter{Conn: tlsConn}, muxConfig(protocol))
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("linker.Dial %s: session: %w", address, err)
	}
	return &Session{Peer: address, mux: mux, protocol: protocol}, nil
}

// accept performs the server side of a handshake.
func accept(ctx context.Context, conn net.Conn, keys KeySource) (*Session, error) {
	peer := remoteAddress(conn)
	config, err := tlsConfig(keys())
	if err != nil {
		return nil, fmt.Errorf("linker.accept %s: keys: %w", peer, err)
	}
	config.NextProtos = []string{protocolPings, protocolHeartbeats}
	ctx, cancel := context.WithTimeout(ctx, HandshakeTimeout)
	defer cancel()
	tlsConn := tls.Server(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("linker.accept %s: handshake: %w", peer, err)
	}
	protocol := tlsConn.ConnectionState().NegotiatedProtocol
	mux, err := yamux.Server(&frameWriter{Conn: tlsConn}, muxConfig(protocol))
	if err != nil {
		return nil, fmt.Errorf("linker.accept %s: session: %w", peer, err)
	}
	return &Session{Peer: peer, mux: mux, protocol: protocol}, nil
}

// OpenStream opens a stream of a kind.
func (s *Session) OpenStream(kind Kind) (*Stream, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("Session.OpenStream %s %s: open: %w", kind, s.Peer, err)
	}
	stream.SetWriteDeadline(time.Now().Add(HandshakeTimeout))
	if _, err := stream.Write([]byte{byte(kind)}); err != nil {
		stream.Close()
		return nil, fmt.Errorf("Session.OpenStream %s %s: kind: %w", kind, s.Peer, err)
	}
	stream.SetWriteDeadline(time.Time{})
	return &Stream{Stream: stream, Kind: kind, Peer: s.Peer}, nil
}

// OpenStreamContext is like OpenStream but returns when the context ends, since
// OpenStream blocks if the peer has stopped accepting streams.
func (s *Session) OpenStreamContext(ctx context.Context, kind Kind) (*Stream, error) {
	opened := make(chan *Stream, 1)
	var openErr error
	go func() {
		var stream *Stream
		stream, openErr = s.OpenStream(kind)
		opened <- stream
	}()
	select {
	case stream := <-opened:
		return stream, openErr
	case <-ctx.Done():
		go closeAbandoned(opened)
		return nil, fmt.Errorf("Session.OpenStreamContext %s %s: %w", kind, s.Peer, ctx.Err())
	}
}

// closeAbandoned closes a stream whose opener has already returned.
func closeAbandoned(opened <-chan *Stream) {
	if stream := <-opened; stream != nil {
		stream.Close()
	}
}

// Accept waits for a stream that the peer opens.
func (s *Session) Accept(ctx context.Context) (*Stream, error) {
	stream, err := s.mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, fmt.Errorf("Session.Accept %s: %w", s.Peer, err)
	}
	kind, err := readKind(stream)
	if err != nil {
		stream.Close()
		return nil, fmt.Errorf("Session.Accept %s: kind: %w", s.Peer, err)
	}
	return &Stream{Stream: stream, Kind: kind, Peer: s.Peer}, nil
}

// Serve accepts the peer's streams and calls the handler of each stream's kind,
// until the session ends.
func (s *Session) Serve(ctx context.Context, handlers *Handlers) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		stream, err := s.mux.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		go s.serveStream(ctx, handlers, stream)
	}
}

func (s *Session) serveStream(ctx context.Context, handlers *Handlers, accepted *yamux.Stream) {
	defer accepted.Close()
	kind, err := readKind(accepted)
	if err != nil {
		return
	}
	handler := handlers.find(kind)
	if handler == nil {
		return
	}
	handler(ctx, s.Peer, &Stream{Stream: accepted, Kind: kind, Peer: s.Peer})
}

// Streams returns the number of open streams.
func (s *Session) Streams() int {
	return s.mux.NumStreams()
}

// Closed reports whether the session has ended.
func (s *Session) Closed() bool {
	return s.mux.IsClosed()
}

// Done is closed when the session ends.
func (s *Session) Done() <-chan struct{} {
	return s.mux.CloseChan()
}

// Close ends the session and its streams.
func (s *Session) Close() error {
	return s.mux.Close()
}

func remoteAddress(conn net.Conn) netip.AddrPort {
	address, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	whole := address.AddrPort()
	return netip.AddrPortFrom(whole.Addr().Unmap(), whole.Port())
}
