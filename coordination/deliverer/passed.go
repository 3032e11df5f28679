package deliverer

import (
	"time"

	"gooseberrymast"
)

const (
	// maxPassedOn is the number of new flows of which an agent records the next
	// candidate: two seconds of a peak load at one agent.
	maxPassedOn = 2048
	// passedOnTimeout is how long such a record is used. The agent that takes a flow
	// notifies the balancer within one trip between availability zones.
	passedOnTimeout = time.Second
	// maxPassedOnUses is the number of packets that follow one record. Two agents may
	// have passed copies of an opening packet on to each other, and a packet must not
	// go round between them.
	maxPassedOnUses = 4
)

// passedOn holds to which candidates the agent has passed new flows on. Its caller's
// first packets may reach the agent before the balancer knows which candidate took the
// flow. The zero value is ready.
type passedOn struct {
	next map[gooseberrymast.FlowKey]nextCandidate
	// order is a ring of the recorded flows.
	order    [maxPassedOn]gooseberrymast.FlowKey
	position int
}

type nextCandidate struct {
	endpoint gooseberrymast.Endpoint
	at       time.Time
	uses     int
}

// record records the next candidate of a new flow. The oldest record is dropped.
func (p *passedOn) record(key gooseberrymast.FlowKey, next gooseberrymast.Endpoint, now time.Time) {
	if p.next == nil {
		p.next = map[gooseberrymast.FlowKey]nextCandidate{}
	}
	if _, known := p.next[key]; !known {
		delete(p.next, p.order[p.position])
		p.order[p.position] = key
		p.position = (p.position + 1) % maxPassedOn
	}
	p.next[key] = nextCandidate{endpoint: next, at: now}
}

// follow returns the candidate to which a packet of a flow goes, if one is recorded.
func (p *passedOn) follow(key gooseberrymast.FlowKey, now time.Time) (gooseberrymast.Endpoint, bool) {
	found, ok := p.next[key]
	if !ok || found.uses >= maxPassedOnUses || now.Sub(found.at) > passedOnTimeout {
		return gooseberrymast.Endpoint{}, false
	}
	found.uses++
	p.next[key] = found
	return found.endpoint, true
}
