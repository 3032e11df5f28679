package regulator

import (
	"time"

	"gooseberrymast"
)

const (
	// initialCost is assumed for a request until one of its route has been measured: about
	// the mean of short requests.
	initialCost = 10 * time.Millisecond
	// costWeight is the weight of a sample in the mean time in a slot: 3% of requests
	// take 7 times as long, so that fewer samples would make the mean jump.
	costWeight = 1.0 / 32
	// maxCostFactor bounds a sample as a multiple of the mean.
	maxCostFactor = 8
	// maxInProgress bounds the requests that are followed; a server has 2,000 connections
	// at most.
	maxInProgress = 2048
)

// counts follows the requests in progress at one server. It implements
// gooseberrymast.WorkEstimator by counts: a request that arrives now waits for those
// before it, each for the mean time in a slot.
type counts struct {
	slots int
	// requests holds the requests in progress in the order of their arrival, in which a
	// server gives them slots.
	requests []inProgress
	// total is the cost of all requests, and routes that of each route's.
	total  cost
	routes map[gooseberrymast.Endpoint]*cost
}

type inProgress struct {
	key gooseberrymast.FlowKey
	// started is when the request got a slot; zero while it waits for one.
	started time.Time
}

// cost is the mean time in a slot, in seconds.
type cost struct {
	mean    float64
	samples int
}

func (c *cost) add(took time.Duration) {
	sample := took.Seconds()
	if c.samples > 0 {
		sample = min(sample, maxCostFactor*c.mean)
	}
	c.samples++
	c.mean += max(costWeight, 1/float64(c.samples)) * (sample - c.mean)
}

func (c *cost) duration() time.Duration {
	if c == nil || c.samples == 0 {
		return initialCost
	}
	return time.Duration(c.mean * float64(time.Second))
}

func (c *counts) begin(key gooseberrymast.FlowKey, now time.Time) {
	if len(c.requests) >= maxInProgress {
		return
	}
	request := inProgress{key: key}
	if c.slots == 0 || len(c.requests) < c.slots {
		request.started = now
	}
	c.requests = append(c.requests, request)
}

// end removes a flow's request and reports whether it was in progress. Its time in a
// slot is measured if sample is set.
func (c *counts) end(key gooseberrymast.FlowKey, now time.Time, sample bool) bool {
	for i, request := range c.requests {
		if request.key != key {
			continue
		}
		c.requests = append(c.requests[:i], c.requests[i+1:]...)
		if next := c.slots - 1; i <= next && next < len(c.requests) && c.requests[next].started.IsZero() {
			c.requests[next].started = now
		}
		if sample && !request.started.IsZero() && c.slots > 0 {
			c.addCost(key.Service, now.Sub(request.started))
		}
		return true
	}
	return false
}

func (c *counts) addCost(address gooseberrymast.Endpoint, took time.Duration) {
	c.total.add(took)
	route := c.routes[address]
	if route == nil {
		if len(c.routes) >= maxRoutes {
			return
		}
		if c.routes == nil {
			c.routes = map[gooseberrymast.Endpoint]*cost{}
		}
		route = &cost{}
		c.routes[address] = route
	}
	route.add(took)
}

// Wait implements gooseberrymast.WorkEstimator.
func (c *counts) Wait(time.Time) time.Duration {
	if c.slots == 0 || len(c.requests) < c.slots {
		return 0
	}
	ahead := len(c.requests) - c.slots + 1
	return time.Duration(ahead) * c.total.duration() / time.Duration(c.slots)
}

// Cost implements gooseberrymast.WorkEstimator.
func (c *counts) Cost(address gooseberrymast.Endpoint) time.Duration {
	if route := c.routes[address]; route != nil && route.samples > 0 {
		return route.duration()
	}
	return c.total.duration()
}
