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

// The settings of QUIC at an agent.
const (
	// DefaultRetryRate is the number of new handshakes a second above which
	// callers must prove their address. At 140 million flows over 170,000
	// agents 780,000 new flows a second are about 5 at each.
	DefaultRetryRate = 100
	// PacketBytes is the size of the agent's QUIC datagrams, the least that
	// QUIC allows, so that the header before them fits any path.
	PacketBytes = 1200
	// IdleTimeout ends a flow from which no packet arrives.
	IdleTimeout = 45 * time.Second
	// KeepAlive is how often the agent sends on an idle flow. The caller's
	// acknowledgement tells the agent of a balancer that still runs.
	KeepAlive = 15 * time.Second
	// floodHold is how long callers must prove their address from the last
	// sign of a flood.
	floodHold = time.Second
	// HandshakeTimeout bounds a handshake.
	HandshakeTimeout = 5 * time.Second
)

// Transport gives the quic.Transport to listen with. It owns the receiver.
// Stateless resets and the tokens of Retry packets are under the fleet's key,
// so any agent of one key epoch can make and check them.
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
		VerifySourceAddress:   r.mustVerify,
	}, nil
}

// QUICConfig gives the quic.Config to listen with. The caller may set limits
// of streams and flow control in it.
func (r *Receiver) QUICConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    HandshakeTimeout,
		MaxIdleTimeout:          IdleTimeout,
		KeepAlivePeriod:         KeepAlive,
		InitialPacketSize:       PacketBytes,
		DisablePathMTUDiscovery: true,
	}
}

// mustVerify asks a caller to prove its address by a Retry while there is a
// flood. The flow then holds no memory until the caller has proved it.
func (r *Receiver) mustVerify(net.Addr) bool {
	if !r.flooded() {
		return false
	}
	r.Counters.Retries.Add(1)
	return true
}

// flooded reports whether there is a flood of new handshakes.
func (r *Receiver) flooded() bool {
	return r.config.Timer.Now().UnixNano() < r.floodEnd.Load()
}

// countNewFlow notes a new handshake. There is a flood for floodHold from the
// last one that came faster than the rate, or while at least half of
// MaxHalfOpen were open. It is called by the reading goroutine with the opener's
// lock held.
func (r *Receiver) countNewFlow() {
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
