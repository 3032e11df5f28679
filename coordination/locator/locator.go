// Package locator finds the agent that owns a flow when the flow's packets
// carry no token.
//
// Load pattern: a fabric that moves nearly all flows to other balancers when
// one joins or leaves. Each balancer remembers the owners of the flows whose
// packets it forwarded. Besides, each flow has two places, the balancers with
// the highest rendezvous scores for its key, to which its owner announces it.
// A balancer that doesn't know a flow asks a place; the number of messages
// doesn't grow with the fleet.
package locator

import (
	"sync"
	"time"

	"gooseberrymast"
)

const (
	// Places is the number of balancers at which a flow is looked up. With two
	// the loss of one leaves the other.
	Places = 2
	// shards is the number of locks over the owners.
	shards = 16
	// maxOwners bounds the owners of one shard: 16 shards of 16,384 hold more
	// than the flows of 17,000 balancers at 140 million flows, twice.
	maxOwners = 16384
)

// Locator remembers the owners of flows. The zero value is empty.
type Locator struct {
	// Keep is how long an owner is remembered since it was last used; zero
	// is DefaultKeep.
	Keep time.Duration

	shards [shards]shard
}

// DefaultKeep is the longest time that a flow may last.
const DefaultKeep = 60 * time.Second

type shard struct {
	mu     sync.Mutex
	owners map[gooseberrymast.FlowKey]owner
}

type owner struct {
	agent gooseberrymast.Endpoint
	used  time.Time
}

// Find gives the owner of a flow.
func (l *Locator) Find(key gooseberrymast.FlowKey, now time.Time) (gooseberrymast.Endpoint, bool) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.owners[key]
	if !ok || now.Sub(found.used) > l.keep() {
		return gooseberrymast.Endpoint{}, false
	}
	found.used = now
	s.owners[key] = found
	return found.agent, true
}

// Learn records a flow's owner.
func (l *Locator) Learn(key gooseberrymast.FlowKey, agent gooseberrymast.Endpoint, now time.Time) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners == nil {
		s.owners = map[gooseberrymast.FlowKey]owner{}
	}
	if len(s.owners) >= maxOwners {
		s.evict()
	}
	s.owners[key] = owner{agent: agent, used: now}
}

// Forget drops a flow's owner if it is the given one.
func (l *Locator) Forget(key gooseberrymast.FlowKey, agent gooseberrymast.Endpoint) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[key].agent == agent {
		delete(s.owners, key)
	}
}

// Expire drops the owners that were not used for Keep.
func (l *Locator) Expire(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for key, found := range s.owners {
			if now.Sub(found.used) > l.keep() {
				delete(s.owners, key)
			}
		}
		s.mu.Unlock()
	}
}

// Len gives the number of owners.
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

func (l *Locator) keep() time.Duration {
	if l.Keep == 0 {
		return DefaultKeep
	}
	return l.Keep
}

func (l *Locator) shard(key gooseberrymast.FlowKey) *shard {
	return &l.shards[key.Hash()%shards]
}

// evict drops one owner, the longest unused of a few.
func (s *shard) evict() {
	const sample = 8
	var oldest gooseberrymast.FlowKey
	var used time.Time
	seen := 0
	for key, found := range s.owners {
		if seen == 0 || found.used.Before(used) {
			oldest, used = key, found.used
		}
		if seen++; seen == sample {
			break
		}
	}
	delete(s.owners, oldest)
}

// PlacesOf gives the places of a flow among balancers, the first one first.
// Zero endpoints stand for places that are missing.
func PlacesOf(key gooseberrymast.FlowKey, balancers []gooseberrymast.Endpoint) [Places]gooseberrymast.Endpoint {
	var places [Places]gooseberrymast.Endpoint
	var scores [Places]uint64
	flow := key.Hash()
	for _, balancer := range balancers {
		score := gooseberrymast.RendezvousScore(flow, balancer)
		for i := range places {
			if places[i].IsZero() || score > scores[i] {
				copy(places[i+1:], places[i:])
				copy(scores[i+1:], scores[i:])
				places[i], scores[i] = balancer, score
				break
			}
		}
	}
	return places
}
