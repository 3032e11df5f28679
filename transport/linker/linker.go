// Package linker provides authenticated sessions between the processes of the
// fleet: TLS 1.3 over TCP, in which both sides prove that they hold the fleet
// key, with yamux streams on top. The first byte of a stream is its kind.
package linker

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/phuslu/log"

	"gooseberrymast/protocol/keyer"
)

// Kind is the protocol that a stream carries, sent as its first byte.
type Kind uint8

// The kinds of streams.
const (
	// KindHandOver carries one request, query or ticket between agents.
	KindHandOver Kind = 1
	// KindControl carries membership and configuration.
	KindControl Kind = 2
)

// String returns the kind in kebab case.
func (k Kind) String() string {
	switch k {
	case KindHandOver:
		return "hand-over"
	case KindControl:
		return "control"
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// KeySource returns the keys in force. It is called for each handshake, so that
// reloaded keys are used without a restart; open sessions are kept.
type KeySource func() *keyer.Keys

// FixedKeys returns a KeySource that always returns the same keys.
func FixedKeys(keys *keyer.Keys) KeySource {
	return func() *keyer.Keys { return keys }
}

// The time limits of a session.
const (
	// HandshakeTimeout bounds the connect together with the TLS handshake, and
	// the write or read of the kind of a new stream.
	HandshakeTimeout = 5 * time.Second
	// KeepAliveInterval is the period of the pings on a session.
	KeepAliveInterval = 15 * time.Second
	// WriteTimeout is the time without progress after which a session is
	// considered broken.
	WriteTimeout = 5 * time.Second
	// UnacknowledgedTimeout is the time after which data that the peer's host
	// has not acknowledged breaks the session. It detects a host that
	// disappeared while it holds a request.
	UnacknowledgedTimeout = 4 * time.Second
	// StreamOpenTimeout is the time within which a peer must accept a stream.
	StreamOpenTimeout = 10 * time.Second
)

// The errors of sessions.
var (
	// ErrUnauthenticated means that the peer does not hold the fleet key.
	ErrUnauthenticated = errors.New("the peer does not hold an accepted key")
	// ErrBackoff means that the last dial failed recently and no new one was
	// tried.
	ErrBackoff = errors.New("waiting before the next dial")
	// ErrClosed means that the pool or listener was closed.
	ErrClosed = errors.New("closed")
	// ErrTooLarge means that a message is longer than MaxMessageBytes.
	ErrTooLarge = errors.New("the message is too large")
)

// The application protocols of a TLS handshake (RFC 7301), by which the dialing
// side selects how the liveness of the session is checked.
const (
	// protocolPings: both sides send yamux's pings.
	protocolPings = "gooseberrymast-pings"
	// protocolHeartbeats: the user of the session sends its own heartbeats,
	// which make pings redundant.
	protocolHeartbeats = "gooseberrymast-heartbeats"
)

func muxConfig(protocol string) *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = protocol != protocolHeartbeats
	config.KeepAliveInterval = KeepAliveInterval
	config.ConnectionWriteTimeout = WriteTimeout
	config.StreamOpenTimeout = StreamOpenTimeout
	config.LogOutput = nil
	config.Logger = debugLogger{}
	return config
}

// debugLogger logs yamux's messages at debug level.
type debugLogger struct{}

func (debugLogger) Print(args ...any) {
	log.Debug().Msg(fmt.Sprint(args...))
}

func (debugLogger) Printf(format string, args ...any) {
	log.Debug().Msgf(format, args...)
}

func (debugLogger) Println(args ...any) {
	log.Debug().Msg(fmt.Sprint(args...))
}

// readKind reads the first byte of an accepted stream.
func readKind(stream *yamux.Stream) (Kind, error) {
	stream.SetReadDeadline(time.Now().Add(HandshakeTimeout))
	defer stream.SetReadDeadline(time.Time{})
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		return 0, err
	}
	return Kind(kind[0]), nil
}
