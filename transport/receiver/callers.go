package receiver

import (
	"encoding/binary"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrymast/protocol/framer"
)

// Bounds of what is remembered of callers.
const (
	callerShards = 16
	// DefaultMaxCallers is the number of callers that are remembered.
	DefaultMaxCallers = 1 << 16
	// CallerLifetime is how long a silent caller is remembered. It is well above
	// the idle timeout of a flow.
	CallerLifetime = 3 * time.Minute
	// alternateAfter is the silence of a caller after which its answers take
	// turns through several balancers, as the newest may be gone. It is above
	// a round trip and a delayed acknowledgement.
	alternateAfter = 100 * time.Millisecond
	// paths is the number of balancers remembered for each caller.
	paths = 3
)

// path leads back to a caller through one balancer.
type path struct {
	balancer netip.AddrPort
	sender   uint64
	index    uint16
}

// caller is what is remembered of one caller's address.
type caller struct {
	address *net.UDPAddr
	heard   time.Time
	paths   [paths]path // the newest first, zero ones last
	turn    uint8
	opening uint64 // key of the flow that the caller is opening, or zero
	proved  bool   // the caller has shown an id of the agent's making
}

// callers remembers, by the caller's address, the balancers that last delivered
// its packets.
// It is sharded, each shard under its own lock. The zero value works.
type callers struct {
	max       int
	balancers atomic.Pointer[[]netip.AddrPort]
	shards    [callerShards]callerShard
}

type callerShard struct {
	mu       sync.Mutex
	byKey    map[uint64]*caller
	unproved []uint64 // keys of new callers, the oldest first; some are proved or gone by now
	lastScan time.Time
}

// heard notes that a balancer delivered a caller's packet. Proved says that the
// packet proves the caller's address. It gives the address as a *net.UDPAddr that
// is made once for each caller.
func (c *callers) heard(address netip.AddrPort, via path, proved bool, now time.Time) *net.UDPAddr {
	key := callerKey(address)
	shard := c.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known := shard.byKey[key]
	if known == nil {
		known = &caller{address: net.UDPAddrFromAddrPort(address)}
		shard.add(key, known, c.limit(), now)
	}
	known.heard = now
	known.proved = known.proved || proved
	known.turn = 0
	known.prefer(via)
	return known.address
}

// back gives the path for an answer. It reports whether that is another than
// the newest, and whether the caller is known at all.
func (c *callers) back(address netip.AddrPort, now time.Time) (via path, alternate, ok bool) {
	key := callerKey(address)
	shard := c.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known := shard.byKey[key]
	if known == nil {
		return path{}, false, false
	}
	if now.Sub(known.heard) <= alternateAfter {
		return known.paths[0], false, true
	}
	via = known.alternative(int(known.turn), key, c.balancers.Load())
	known.turn++
	return via, via != known.paths[0], true
}

// setBalancers replaces the balancers that are known to run.
func (c *callers) setBalancers(addresses []netip.AddrPort) {
	next := slices.DeleteFunc(slices.Clone(addresses), func(address netip.AddrPort) bool { return !address.Addr().Is4() })
	c.balancers.Store(&next)
}

// alternative gives the path at a turn, from zero. The turns go over the
// balancers that are remembered and run, then over others that run in place of
// those that don't, and last over the newest: it may run though it isn't known
// to.
func (c *caller) alternative(turn int, key uint64, running *[]netip.AddrPort) path {
	var choice [paths]path
	n := c.remembered(&choice, running)
	if running != nil {
		n = c.replacements(&choice, n, key, *running)
	}
	if n == 1 {
		// Two turns would always give the first and the second of the probes
		// that QUIC sends in pairs the same ways, and one of these may be dead.
		choice[n] = choice[0]
		n++
	}
	choice[n] = c.paths[0]
	return choice[turn%(n+1)]
}

// remembered fills choice with the paths but for the newest that may still
// work, and gives their number.
func (c *caller) remembered(choice *[paths]path, running *[]netip.AddrPort) int {
	n := 0
	for _, via := range c.paths[1:] {
		if via != (path{}) && runs(via.balancer, running) {
			choice[n] = via
			n++
		}
	}
	return n
}

// replacements fills choice from n, but for the newest's place, with balancers
// that haven't delivered anything, and gives the number of all. The key spreads
// the callers over the balancers.
func (c *caller) replacements(choice *[paths]path, n int, key uint64, running []netip.AddrPort) int {
	for i := range running {
		if n == paths-1 {
			break
		}
		balancer := running[(int(key%(1<<31))+i)%len(running)]
		if !c.remembers(balancer) {
			choice[n] = path{balancer: balancer, index: framer.AnyIndex}
			n++
		}
	}
	return n
}

func (c *caller) remembers(balancer netip.AddrPort) bool {
	return slices.ContainsFunc(c.paths[:], func(via path) bool { return via.balancer == balancer })
}

// runs reports whether a balancer isn't known to be gone.
func runs(balancer netip.AddrPort, running *[]netip.AddrPort) bool {
	return running == nil || len(*running) == 0 || slices.Contains(*running, balancer)
}

// open notes that a caller opens a flow.
func (c *callers) open(address netip.AddrPort, key uint64) {
	c.swapOpening(address, key)
}

// opened gives the key of the flow that the caller was opening, once.
func (c *callers) opened(address netip.AddrPort) uint64 {
	return c.swapOpening(address, 0)
}

func (c *callers) swapOpening(address netip.AddrPort, next uint64) uint64 {
	key := callerKey(address)
	shard := c.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known := shard.byKey[key]
	if known == nil {
		return 0
	}
	before := known.opening
	known.opening = next
	return before
}

// expire forgets the callers that have been silent for CallerLifetime.
func (c *callers) expire(now time.Time) {
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		shard.forgetSilent(now)
		shard.mu.Unlock()
	}
}

// count gives the number of callers that are remembered.
func (c *callers) count() int {
	n := 0
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		n += len(shard.byKey)
		shard.mu.Unlock()
	}
	return n
}

func (c *callers) limit() int {
	if c.max == 0 {
		return DefaultMaxCallers / callerShards
	}
	return max(1, c.max/callerShards)
}

func (c *callers) shard(key uint64) *callerShard {
	return &c.shards[key*0x9e3779b97f4a7c15>>60]
}

// add makes room, if need be, at the cost of the oldest caller that hasn't
// proved its address, as in a flood from invented ones, and else of any.
func (s *callerShard) add(key uint64, known *caller, limit int, now time.Time) {
	if s.byKey == nil {
		s.byKey = map[uint64]*caller{}
	}
	if len(s.byKey) >= limit && now.Sub(s.lastScan) > time.Second {
		s.forgetSilent(now)
	}
	if len(s.byKey) >= limit {
		delete(s.byKey, s.victim())
	}
	if len(s.unproved) >= 2*limit {
		s.unproved = slices.DeleteFunc(s.unproved, func(key uint64) bool { return !s.isUnproved(key) })
	}
	s.byKey[key] = known
	s.unproved = append(s.unproved, key)
}

func (s *callerShard) victim() uint64 {
	for i, key := range s.unproved {
		if s.isUnproved(key) {
			s.unproved = s.unproved[i+1:]
			return key
		}
	}
	s.unproved = nil
	for key := range s.byKey {
		return key
	}
	return 0
}

func (s *callerShard) isUnproved(key uint64) bool {
	known := s.byKey[key]
	return known != nil && !known.proved
}

func (s *callerShard) forgetSilent(now time.Time) {
	s.lastScan = now
	for key, known := range s.byKey {
		if now.Sub(known.heard) > CallerLifetime {
			delete(s.byKey, key)
		}
	}
}

// prefer moves a path to the front.
func (c *caller) prefer(via path) {
	if c.paths[0] == via {
		return
	}
	before := c.paths[0]
	c.paths[0] = via
	for i := 1; i < paths; i++ {
		before, c.paths[i] = c.paths[i], before
		if before == via || before == (path{}) {
			return
		}
	}
}

// callerKey packs an IPv4 address and port. Other addresses give zero, which no
// caller has.
func callerKey(address netip.AddrPort) uint64 {
	if !address.Addr().Is4() {
		return 0
	}
	ip := address.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(address.Port())
}
