package linker

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"gooseberrymast/protocol/keyer"
	"gooseberrymast/state/timer"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// serveEcho starts a listener that echoes hand-over streams.
func serveEcho(t *testing.T, keys *keyer.Keys) *Listener {
	return serve(t, keys, KindHandOver, func(_ context.Context, _ netip.AddrPort, stream *Stream) {
		_, _ = io.Copy(stream, stream)
	})
}

// serve starts a listener that handles streams of one kind.
func serve(t testing.TB, keys *keyer.Keys, kind Kind, handler Handler) *Listener {
	t.Helper()
	listener, err := Listen(loopback, FixedKeys(keys))
	is.New(t).NoErr(err)
	listener.Handle(kind, handler)
	served := make(chan error, 1)
	go func() { served <- listener.Serve(context.Background()) }()
	t.Cleanup(func() {
		listener.Close()
		is.New(t).NoErr(<-served)
	})
	return listener
}

func dial(t testing.TB, address netip.AddrPort, keys *keyer.Keys) *Session {
	t.Helper()
	session, err := Dial(t.Context(), address, FixedKeys(keys))
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = session.Close() })
	return session
}

func TestSessionCarriesMessages(t *testing.T) {
	is := is.New(t)
	keys := keyer.Random()
	stream, err := dial(t, serveEcho(t, keys).Address(), keys).OpenStream(KindHandOver)
	is.NoErr(err)
	want := []string{"first", ""}
	for _, text := range want {
		is.NoErr(WriteMessage(stream, wrapperspb.String(text)))
	}
	var got wrapperspb.StringValue
	for _, text := range want {
		is.NoErr(ReadMessage(stream, &got))
		is.Equal(got.Value, text)
	}
	stream.Close()
	is.Equal(ReadMessage(stream, &got), io.EOF)
}

func TestStreamOfUnhandledKindIsClosed(t *testing.T) {
	is := is.New(t)
	keys := keyer.Random()
	stream, err := dial(t, serveEcho(t, keys).Address(), keys).OpenStream(KindControl)
	is.NoErr(err)
	_, err = stream.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

func TestHandshakeNeedsAnAcceptedKey(t *testing.T) {
	old := keyer.Random()
	both := &keyer.Keys{Current: 2, Keys: []keyer.Key{old.Keys[0], keyer.Random().Keys[0]}}
	both.Keys[1].Epoch = 2
	renewed := &keyer.Keys{Current: 2, Keys: both.Keys[1:]}
	tests := []struct {
		name   string
		server *keyer.Keys
		client *keyer.Keys
		ok     bool
	}{
		{"same key", old, old, true},
		{"client has yet to rotate", both, old, false}, // The server presents epoch 2, which the client lacks.
		{"both epochs accepted", both, both, true},
		{"client rotated first", &keyer.Keys{Current: 1, Keys: both.Keys}, both, true},
		{"foreign key", old, keyer.Random(), false},
		{"old key withdrawn", renewed, old, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			listener := serveEcho(t, test.server)
			session, err := Dial(t.Context(), listener.Address(), FixedKeys(test.client))
			if err == nil {
				defer session.Close()
				_, err = roundTrip(session)
			}
			is.Equal(err == nil, test.ok)
		})
	}
}

// roundTrip checks that the server accepted the client's certificate too: in TLS
// 1.3 the client's handshake ends before the server has verified it.
func roundTrip(session *Session) (byte, error) {
	stream, err := session.OpenStream(KindHandOver)
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	if _, err := stream.Write([]byte{7}); err != nil {
		return 0, err
	}
	var got [1]byte
	_, err = io.ReadFull(stream, got[:])
	return got[0], err
}

func TestPlainConnectionIsRefused(t *testing.T) {
	is := is.New(t)
	listener := serveEcho(t, keyer.Random())
	conn, err := net.Dial("tcp", listener.Address().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	is.NoErr(err)
	_, err = io.Copy(io.Discard, conn)
	is.NoErr(err) // the listener closed the connection
	is.Equal(listener.Sessions(), 0)
}

func TestReadMessageRefusesBadFrames(t *testing.T) {
	tests := []struct {
		name  string
		frame []byte
		want  error
	}{
		{"empty", nil, io.EOF},
		{"cut in the length", []byte{0, 0}, io.ErrUnexpectedEOF},
		{"cut in the body", []byte{0, 0, 0, 4, 1}, io.ErrUnexpectedEOF},
		{"no body", []byte{0, 0, 0, 4}, io.ErrUnexpectedEOF},
		{"too large", []byte{255, 0, 0, 0}, ErrTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			err := ReadMessage(bytes.NewReader(test.frame), &wrapperspb.StringValue{})
			is.True(errors.Is(err, test.want))
		})
	}
	large := wrapperspb.Bytes(make([]byte, MaxMessageBytes))
	is.New(t).True(errors.Is(WriteMessage(io.Discard, large), ErrTooLarge))
}

func TestPoolSharesSessionsAndReplacesLostOnes(t *testing.T) {
	is := is.New(t)
	keys := keyer.Random()
	listener := serveEcho(t, keys)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	pool := &Pool{Keys: FixedKeys(keys), Timer: clock, IdleTimeout: time.Minute}
	defer pool.Close()

	first, err := pool.Open(t.Context(), listener.Address(), KindHandOver)
	is.NoErr(err)
	second, err := pool.Open(t.Context(), listener.Address(), KindHandOver)
	is.NoErr(err)
	is.Equal(first.Session(), second.Session()) // one session for a peer
	clock.Advance(5 * time.Minute)
	is.Equal(pool.Sessions(), 1) // a session with streams is kept

	first.Session().Close()
	third, err := pool.Open(t.Context(), listener.Address(), KindHandOver)
	is.NoErr(err)
	is.True(third.Session() != first.Session()) // a lost session is replaced
	third.Close()
	_, _ = third.Read(make([]byte, 1)) // the peer closed its side too
	clock.Advance(5 * time.Minute)
	is.Equal(pool.Sessions(), 0) // an idle session is closed
}

func TestPoolBacksOff(t *testing.T) {
	is := is.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := closed.Addr().(*net.TCPAddr).AddrPort()
	closed.Close()
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	pool := &Pool{Keys: FixedKeys(keyer.Random()), Timer: clock}
	defer pool.Close()
	_, err = pool.Open(t.Context(), address, KindHandOver)
	is.True(err != nil && !errors.Is(err, ErrBackoff)) // the first call dials
	_, err = pool.Open(t.Context(), address, KindHandOver)
	is.True(errors.Is(err, ErrBackoff)) // the second fails at once
	clock.Advance(MinBackoff)
	_, err = pool.Open(t.Context(), address, KindHandOver)
	is.True(err != nil && !errors.Is(err, ErrBackoff)) // dials again after the wait
	pool.Close()
	_, err = pool.Open(t.Context(), address, KindHandOver)
	is.True(errors.Is(err, ErrClosed))
}

// Opens streams until the peer's backlog is full. Without the context,
// OpenStreamContext would then block.
func TestOpenStreamEndsWithContextWhenPeerAcceptsNothing(t *testing.T) {
	is := is.New(t)
	keys := keyer.Random()
	socket, err := net.Listen("tcp", loopback.String())
	is.NoErr(err)
	defer socket.Close()
	accepted := make(chan *Session, 1)
	go func() {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		session, _ := accept(context.Background(), conn, FixedKeys(keys))
		accepted <- session // The session's streams are never accepted.
	}()
	session := dial(t, socket.Addr().(*net.TCPAddr).AddrPort(), keys)
	peer := <-accepted
	defer peer.Close()
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := session.OpenStreamContext(ctx, KindHandOver)
		cancel()
		if err != nil {
			is.True(errors.Is(err, context.DeadlineExceeded))
			return
		}
	}
}

func TestSessionWithHeartbeatsSendsNoPings(t *testing.T) {
	is := is.New(t)
	is.True(muxConfig(protocolPings).EnableKeepAlive)
	is.True(!muxConfig(protocolHeartbeats).EnableKeepAlive)
	keys := keyer.Random()
	listener := serveEcho(t, keys)
	session, err := DialHeartbeats(t.Context(), listener.Address(), FixedKeys(keys))
	is.NoErr(err)
	defer session.Close()
	answer, err := roundTrip(session)
	is.NoErr(err)
	is.Equal(answer, byte(7)) // it carries streams like other sessions
	listener.mu.Lock()
	defer listener.mu.Unlock()
	for accepted := range listener.sessions {
		is.Equal(accepted.protocol, protocolHeartbeats) // the other side sends no pings either
	}
}
