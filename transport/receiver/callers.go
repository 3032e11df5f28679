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

// Limits of the table of callers.
const (
	callerShards = 16
	// DefaultMaxCallers is the default limit of callers in the table.
	DefaultMaxCallers = 1 << 16
	// CallerLifetime is how long a silent caller stays in the table. It is well
	// above the idle timeout of a flow.
	CallerLifetime = 3 * time.Minute
	// alternateAfter is the silence of a caller after which answers to it
	// alternate between several balancers, as the newest may have failed. It is
	// longer than a round trip plus a delayed acknowledgement.
	alternateAfter = 100 * time.Millisecond
	// maxPaths is the number of balancers stored for each caller.
	maxPaths = 3
)

// path is a return path to a caller through one balancer.
type path struct {
	balancer netip.AddrPort
	sender   uint64
	index    uint16
}

// caller is the state of one caller's address.
type caller struct {
	address    *net.UDPAddr
	lastSeen   time.Time
	paths      [maxPaths]path // newest first, unused ones last
	turn       uint8
	openingKey uint64 // key of the flow that the caller is opening, or 0
	validated  bool   // the caller has sent a connection ID that this agent issued
}

// callers maps a caller's address to the balancers that last delivered its
// packets. It is sharded, with one lock per shard. The zero value is ready to
// use.
type callers struct {
	max       int
	balancers atomic.Pointer[[]netip.AddrPort]
	shards    [callerShards]callerShard
}

type callerShard struct {
	mu          sync.Mutex
	byKey       map[uint64]*caller
	unvalidated []uint64 // keys of new callers, oldest first; may hold keys validated or removed since
	lastScan    time.Time
}

// recordPath records that a balancer delivered a packet of a caller. validated
// states that the packet proves the caller's address. It returns the address as
// a *net.UDPAddr, which is allocated once per caller.
func (c *callers) recordPath(address netip.AddrPort, via path, validated bool, now time.Time) *net.UDPAddr {
	key := callerKey(address)
	shard := c.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry := shard.byKey[key]
	if entry == nil {
		entry = &caller{address: net.UDPAddrFromAddrPort(address)}
		shard.add(key, entry, c.limit(), now)
	}
	entry.lastSeen = now
	entry.validated = entry.validated || validated
	entry.turn = 0
	entry.moveToFront(via)
	return entry.address
}

// returnPath returns the path for an answer. It reports whether that path is
// not the newest one, and whether the caller is in the table.
func (c *callers) returnPath(address netip.AddrPort, now time.Time) (via path, alternate, ok bool) {
	key := callerKey(address)
	shard := c.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry := shard.byKey[key]
	if entry == nil {
		return path{}, false, false
	}
	if now.Sub(entry.lastSeen) <= alternateAfter {
		return entry.paths[0], false, true
	}
	via = entry.alternativePath(int(entry.turn), key, c.balancers.Load())
	entry.turn++
	return via, via != entry.paths[0], true
}

// setBalancers replaces the list of running balancers.
func (c *callers) setBalancers(addresses []netip.AddrPort) {
	next := slices.DeleteFunc(slices.Clone(addresses), func(address netip.AddrPort) bool { return !address.Addr().Is4() })
	c.balancers.Store(&next)
}

// alternativePath returns the path for a turn, counted from 0. The turns cycle
// through the stored balancers that are running, then other running balancers
// in place of stored ones that aren't, and last the newest, which may be running
// although it isn't in the list.
func (c *caller) alternativePath(turn int, key uint64, running *[]netip.AddrPort) path {
	var choice [maxPaths]path
	n := c.addOlderPaths(&choice, running)
	if running != nil {
		n = c.addReplacements(&choice, n, key, *running)
	}
	if n == 1 {
		// QUIC sends its probes in pairs. With two turns the first and the second
		// probe of each pair would always take the same path, and one of the
		// paths may be broken.
		choice[n] = choice[0]
		n++
	}
	choice[n] = c.paths[0]
	return choice[turn%(n+1)]
}

// addOlderPaths fills choice with the older paths that may still work and
// returns their number.
func (c *caller) addOlderPaths(choice *[maxPaths]path, running *[]netip.AddrPort) int {
	n := 0
	for _, via := range c.paths[1:] {
		if via != (path{}) && mayRun(via.balancer, running) {
			choice[n] = via
			n++
		}
	}
	return n
}

// addReplacements fills choice from index n, except its last element, with
// balancers that haven't delivered any packet of the caller, and returns the new
// number of paths. The key spreads the callers over the balancers.
func (c *caller) addReplacements(choice *[maxPaths]path, n int, key uint64, running []netip.AddrPort) int {
	for i := range running {
		if n == maxPaths-1 {
			break
		}
		balancer := running[(int(key%(1<<31))+i)%len(running)]
		if !c.hasBalancer(balancer) {
			choice[n] = path{balancer: balancer, index: framer.AnyIndex}
			n++
		}
	}
	return n
}

func (c *caller) hasBalancer(balancer netip.AddrPort) bool {
	return slices.ContainsFunc(c.paths[:], func(via path) bool { return via.balancer == balancer })
}

// mayRun reports whether a balancer is in the list of running ones. Without a
// list every balancer may be running.
func mayRun(balancer netip.AddrPort, running *[]netip.AddrPort) bool {
	return running == nil || len(*running) == 0 || slices.Contains(*running, balancer)
}

// setOpening records the key of the flow that a caller is opening.
func (c *callers) setOpening(address netip.AddrPort, key uint64) {
	c.swapOpening(address, key)
}

// takeOpening returns and clears the key of the flow that the caller is opening.
func (c *callers) takeOpening(address netip.AddrPort) uint64 {
	return c.swapOpening(address, 0)
}

func (c *callers) swapOpening(address netip.AddrPort, next uint64) uint64 {
	key := callerKey(address)
	shard := c.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry := shard.byKey[key]
	if entry == nil {
		return 0
	}
	before := entry.openingKey
	entry.openingKey = next
	return before
}

// expire removes the callers that have been silent for CallerLifetime.
func (c *callers) expire(now time.Time) {
	for i := range c.shards {
		shard := &c.shards[i]
		shard.mu.Lock()
		shard.removeSilent(now)
		shard.mu.Unlock()
	}
}

// count returns the number of callers in the table.
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

// add inserts a caller. A full shard evicts its oldest caller whose address isn't
// validated, so that a flood from spoofed addresses doesn't displace callers with
// open flows; if all are validated, it evicts any one.
func (s *callerShard) add(key uint64, entry *caller, limit int, now time.Time) {
	if s.byKey == nil {
		s.byKey = map[uint64]*caller{}
	}
	if len(s.byKey) >= limit && now.Sub(s.lastScan) > time.Second {
		s.removeSilent(now)
	}
	if len(s.byKey) >= limit {
		delete(s.byKey, s.keyToEvict())
	}
	if len(s.unvalidated) >= 2*limit {
		s.unvalidated = slices.DeleteFunc(s.unvalidated, func(key uint64) bool { return !s.isUnvalidated(key) })
	}
	s.byKey[key] = entry
	s.unvalidated = append(s.unvalidated, key)
}

func (s *callerShard) keyToEvict() uint64 {
	for i, key := range s.unvalidated {
		if s.isUnvalidated(key) {
			s.unvalidated = s.unvalidated[i+1:]
			return key
		}
	}
	s.unvalidated = nil
	for key := range s.byKey {
		return key
	}
	return 0
}

func (s *callerShard) isUnvalidated(key uint64) bool {
	entry := s.byKey[key]
	return entry != nil && !entry.validated
}

func (s *callerShard) removeSilent(now time.Time) {
	s.lastScan = now
	for key, entry := range s.byKey {
		if now.Sub(entry.lastSeen) > CallerLifetime {
			delete(s.byKey, key)
		}
	}
}

// moveToFront makes a path the newest one, dropping the oldest if need be.
func (c *caller) moveToFront(via path) {
	if c.paths[0] == via {
		return
	}
	before := c.paths[0]
	c.paths[0] = via
	for i := 1; i < maxPaths; i++ {
		before, c.paths[i] = c.paths[i], before
		if before == via || before == (path{}) {
			return
		}
	}
}

// callerKey packs an IPv4 address and port. It returns 0, which no caller has,
// for other addresses.
func callerKey(address netip.AddrPort) uint64 {
	if !address.Addr().Is4() {
		return 0
	}
	ip := address.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(address.Port())
}
