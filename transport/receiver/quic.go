package receiver

import (
	"fmt"
	"net"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/time/rate"

	"gooseberrymast/coordination/opener"
	"gooseberrymast/protocol/keyer"
)

// QUIC settings of an agent.
const (
	// DefaultRetryRate is the number of new handshakes a second above which
	// callers must prove their address. 140 million flows over 170,000 agents,
	// with 780,000 new flows a second in total, are about 5 a second per agent.
	DefaultRetryRate = 100
	// PacketBytes is the size of the agent's QUIC datagrams. It is the minimum
	// that QUIC allows, so that the added frame header fits any path MTU.
	PacketBytes = 1200
	// IdleTimeout ends a flow from which no packet arrives.
	IdleTimeout = 45 * time.Second
	// KeepAlive is the interval of keep-alive packets on an idle flow. The
	// caller's acknowledgement arrives through a running balancer and so
	// refreshes the return path.
	KeepAlive = 15 * time.Second
	// floodHold is how long callers must prove their address after a flood was
	// last detected.
	floodHold = time.Second
	// HandshakeTimeout is the idle timeout during a handshake.
	HandshakeTimeout = 5 * time.Second
)

// Transport returns a quic.Transport that reads and writes through the receiver.
// The keys of stateless resets and Retry tokens are derived from the fleet's key,
// so that any agent of the same key epoch can create and verify them.
func (r *Receiver) Transport() (*quic.Transport, error) {
	keys := r.config.Keys
	reset, err := keys.Derive(keys.Current, keyer.PurposeStatelessReset)
	if err != nil {
		return nil, fmt.Errorf("Receiver.Transport: %w", err)
	}
	token, err := keys.Derive(keys.Current, keyer.PurposeRetryToken)
	if err != nil {
		return nil, fmt.Errorf("Receiver.Transport: %w", err)
	}
	return &quic.Transport{
		Conn:                  r,
		ConnectionIDGenerator: r,
		StatelessResetKey:     (*quic.StatelessResetKey)(reset),
		TokenGeneratorKey:     (*quic.TokenGeneratorKey)(token),
		VerifySourceAddress:   r.requireValidation,
	}, nil
}

// QUICConfig returns the quic.Config to listen with. Limits of streams and flow
// control may be set in it before use.
func (r *Receiver) QUICConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    HandshakeTimeout,
		MaxIdleTimeout:          IdleTimeout,
		KeepAlivePeriod:         KeepAlive,
		InitialPacketSize:       PacketBytes,
		DisablePathMTUDiscovery: true,
	}
}

// requireValidation reports whether a caller must prove its address by a Retry,
// as it must during a flood. QUIC then allocates no state for the flow until the
// caller has proved its address.
func (r *Receiver) requireValidation(net.Addr) bool {
	if !r.flooded() {
		return false
	}
	r.Counters.Retries.Add(1)
	return true
}

// flooded reports whether there is a flood of new handshakes at present.
func (r *Receiver) flooded() bool {
	return r.config.Timer.Now().UnixNano() < r.floodEnd.Load()
}

// detectFlood is called for each new handshake, by the reading goroutine with
// openerMu held. A handshake that exceeds the rate, or that arrives while at
// least half of MaxHalfOpen handshakes are incomplete, starts or extends a flood,
// which lasts floodHold.
func (r *Receiver) detectFlood() {
	limit := r.config.MaxHalfOpen
	if limit == 0 {
		limit = opener.DefaultMaxHalfOpen
	}
	if r.rate.AllowN(r.now, 1) && r.opener.HalfOpen() < max(1, limit/2) {
		return
	}
	r.floodEnd.Store(r.now.Add(floodHold).UnixNano())
}

func newLimiter(perSecond float64) *rate.Limiter {
	switch {
	case perSecond == 0:
		perSecond = DefaultRetryRate
	case perSecond < 0:
		return rate.NewLimiter(0, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}
