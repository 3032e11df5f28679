// Package locator finds the agent that owns a flow when the flow's packets
// carry no token.
//
// Load pattern: a network that moves nearly all flows to other balancers when
// one joins or leaves. Each balancer records the owners of the flows whose
// packets it forwards. Besides, each flow has two lookup balancers, those with
// the highest rendezvous scores for its key, to which its owner announces it. A
// balancer that doesn't hold a flow's owner queries a lookup balancer; the number
// of messages doesn't grow with the number of balancers.
package locator

import (
	"sync"
	"sync/atomic"
	"time"

	"gooseberrymast"
)

const (
	// LookupsPerFlow is the number of lookup balancers of a flow. With two, one
	// remains when the other is lost.
	LookupsPerFlow = 2
	// shardCount is the number of shards, each with its own lock.
	shardCount = 16
	// maxOwnersPerShard bounds the owners of one shard: 16 shards of 16,384 owners
	// hold more than twice one balancer's share of 140 million flows over 17,000
	// balancers.
	maxOwnersPerShard = 16384
)

// Locator holds the owners of flows. The zero value is empty.
type Locator struct {
	// Lifetime is how long an owner is kept after its last use; zero means
	// DefaultLifetime.
	Lifetime time.Duration

	shards [shardCount]shard
	epoch  atomic.Uint64
}

// DefaultLifetime is the longest time that a flow may last.
const DefaultLifetime = gooseberrymast.DefaultMaxFlowAge

type shard struct {
	mu     sync.Mutex
	owners map[gooseberrymast.FlowKey]owner
}

type owner struct {
	agent    gooseberrymast.Endpoint
	lastUsed time.Time
	// epoch is the one in which the agent was recorded first.
	epoch uint64
	// offered is set while nothing shows that the agent has taken the flow. Only then
	// sequence is that of the caller's last packet, and firstSeen when that first came.
	offered   bool
	sequence  uint32
	firstSeen time.Time
}

// BeginEpoch begins a new epoch and returns its number.
func (l *Locator) BeginEpoch() uint64 {
	return l.epoch.Add(1)
}

// RecordedBefore reports whether a flow's owner was recorded before an epoch.
func (l *Locator) RecordedBefore(key gooseberrymast.FlowKey, epoch uint64, now time.Time) bool {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.owners[key]
	return ok && found.epoch < epoch && now.Sub(found.lastUsed) <= l.lifetime()
}

// Find returns the owner of a flow.
func (l *Locator) Find(key gooseberrymast.FlowKey, now time.Time) (gooseberrymast.Endpoint, bool) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.owners[key]
	if !ok || now.Sub(found.lastUsed) > l.lifetime() {
		return gooseberrymast.Endpoint{}, false
	}
	found.lastUsed = now
	s.owners[key] = found
	return found.agent, true
}

// Record records a flow's owner.
func (l *Locator) Record(key gooseberrymast.FlowKey, agent gooseberrymast.Endpoint, now time.Time) {
	l.record(key, owner{agent: agent, lastUsed: now})
}

// Offer records the agent that a new flow is offered to as its owner. Another one may have
// taken it from a copy of the opening packet.
func (l *Locator) Offer(key gooseberrymast.FlowKey, agent gooseberrymast.Endpoint, now time.Time) {
	l.record(key, owner{agent: agent, lastUsed: now, offered: true})
}

// Repeats reports whether a caller's packet repeats the last one of its flow, and when that
// was first seen. It does so only while nothing shows that the flow's owner has taken it.
func (l *Locator) Repeats(key gooseberrymast.FlowKey, sequence uint32, now time.Time) (firstSeen time.Time, repeats bool) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.owners[key]
	if !ok || !found.offered {
		return time.Time{}, false
	}
	if found.sequence == sequence && !found.firstSeen.IsZero() {
		return found.firstSeen, true
	}
	found.sequence, found.firstSeen = sequence, now
	s.owners[key] = found
	return now, false
}

func (l *Locator) record(key gooseberrymast.FlowKey, recorded owner) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners == nil {
		s.owners = map[gooseberrymast.FlowKey]owner{}
	}
	if len(s.owners) >= maxOwnersPerShard {
		s.evict()
	}
	recorded.epoch = l.epoch.Load()
	if before, ok := s.owners[key]; ok && before.agent == recorded.agent {
		recorded.epoch = before.epoch
		recorded.offered = recorded.offered && before.offered
	}
	s.owners[key] = recorded
}

// Forget drops a flow's owner if it is the given agent.
func (l *Locator) Forget(key gooseberrymast.FlowKey, agent gooseberrymast.Endpoint) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[key].agent == agent {
		delete(s.owners, key)
	}
}

// Expire drops the owners that were not used for Lifetime.
func (l *Locator) Expire(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for key, found := range s.owners {
			if now.Sub(found.lastUsed) > l.lifetime() {
				delete(s.owners, key)
			}
		}
		s.mu.Unlock()
	}
}

// Len returns the number of owners.
func (l *Locator) Len() int {
	total := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		total += len(s.owners)
		s.mu.Unlock()
	}
	return total
}

func (l *Locator) lifetime() time.Duration {
	if l.Lifetime == 0 {
		return DefaultLifetime
	}
	return l.Lifetime
}

func (l *Locator) shard(key gooseberrymast.FlowKey) *shard {
	return &l.shards[key.Hash()%shardCount]
}

// evict drops one owner, the least recently used of a small sample.
func (s *shard) evict() {
	const sample = 8
	var oldest gooseberrymast.FlowKey
	var lastUsed time.Time
	sampled := 0
	for key, found := range s.owners {
		if sampled == 0 || found.lastUsed.Before(lastUsed) {
			oldest, lastUsed = key, found.lastUsed
		}
		if sampled++; sampled == sample {
			break
		}
	}
	delete(s.owners, oldest)
}

// LookupBalancers returns the lookup balancers of a flow among balancers, the one
// with the highest score first. Zero endpoints stand for missing ones.
func LookupBalancers(key gooseberrymast.FlowKey, balancers []gooseberrymast.Endpoint) [LookupsPerFlow]gooseberrymast.Endpoint {
	var lookups [LookupsPerFlow]gooseberrymast.Endpoint
	var scores [LookupsPerFlow]uint64
	flow := key.Hash()
	for _, balancer := range balancers {
		score := gooseberrymast.RendezvousScore(flow, balancer)
		for i := range lookups {
			if lookups[i].IsZero() || score > scores[i] {
				copy(lookups[i+1:], lookups[i:])
				copy(scores[i+1:], scores[i:])
				lookups[i], scores[i] = balancer, score
				break
			}
		}
	}
	return lookups
}
