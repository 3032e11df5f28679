package soaker

import (
	"context"
	"math/rand/v2"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// The promises on where new flows may go.
const (
	// PromiseEvacuated: no new flow reaches a server of a zone that has been evacuated for
	// evacuationDeadline.
	PromiseEvacuated Promise = "flow-in-evacuated-zone"
	// PromiseWarmUp: a cold server gets no new flow once it has had warmUpLimit requests in
	// the last second.
	PromiseWarmUp Promise = "cold-server-overloaded"
)

const (
	// evacuationDeadline is the time from the write of an evacuation from which it must be
	// obeyed.
	evacuationDeadline = 5 * time.Second
	// warmUpTime is how long a server is cold.
	warmUpTime = 2 * time.Second
	// warmUpRate, warmUpOverage and warmUpSlack give a limit that a server reaches with a
	// third of the callers' flows.
	warmUpRate    = 2
	warmUpOverage = 1.5
	warmUpSlack   = 5
	warmUpLimit   = warmUpRate*warmUpOverage + warmUpSlack
)

// placesSettings are the settings of all instances.
func placesSettings() gooseberrymast.PlacesSettings {
	return gooseberrymast.PlacesSettings{EvacuateWithin: evacuationDeadline, WarmUpOverage: warmUpOverage, WarmUpSlack: warmUpSlack}
}

// warmUps returns the limits of all services.
func warmUps() map[string]gooseberrymast.WarmUp {
	limits := map[string]gooseberrymast.WarmUp{}
	for _, service := range services {
		limits[service] = gooseberrymast.WarmUp{Duration: warmUpTime, PerSecond: warmUpRate}
	}
	return limits
}

// evacuation is a zone's time without new flows. to is zero until it ends.
type evacuation struct {
	zone     string
	from, to time.Time
}

// RecordEvacuation records that the store has acknowledged the evacuation of a zone. The
// returned function records that operators begin to end it.
func (c *Checker) RecordEvacuation(zone string, at time.Time) (end func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	added := &evacuation{zone: zone, from: at}
	c.evacuations = append(c.evacuations, added)
	return func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		added.to = now
	}
}

// checkEvacuated checks the zone of a new flow. The flow's balancer may be in any state,
// since the agent refuses the flow. The lock must be held.
func (c *Checker) checkEvacuated(opening Opening, at time.Time) {
	for _, e := range c.evacuations {
		if e.zone == opening.Zone && e.to.IsZero() && at.Sub(e.from) > evacuationDeadline && c.undisturbed(at, true, opening.Agent, storeName) {
			c.addViolation(PromiseEvacuated, at, "flow %s opened at %s in zone %s, evacuated for %s", opening.Key, opening.Server, e.zone, at.Sub(e.from))
		}
	}
}

// CheckWarmUp checks the number of requests that a cold server has had in the second up to
// a new flow, which is included.
func (c *Checker) CheckWarmUp(server, agent string, requests int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(requests) > warmUpLimit && c.undisturbed(at, true, agent) {
		c.addViolation(PromiseWarmUp, at, "%s, which is cold, got a flow as request %d within a second", server, requests)
	}
}

// evacuateZone evacuates a random zone until some time after it must be obeyed. Its
// servers are cold when it returns. Without effect while the zone is evacuated.
func (s *soak) evacuateZone(ctx context.Context, fault Fault, random *rand.Rand) error {
	zone := zones[random.IntN(len(zones))]
	key := platform.EvacuationsPrefix + zone
	s.writeMu.Lock()
	if _, evacuated := s.store.objects.Value(key); evacuated {
		s.writeMu.Unlock()
		return nil
	}
	s.store.objects.Set(key, []byte("{}"))
	end := s.checker.RecordEvacuation(zone, time.Now())
	s.writeMu.Unlock()
	sleep(ctx, evacuationDeadline+fault.Duration)
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	now := time.Now()
	end(now)
	for _, i := range s.instances {
		if server := i.currentServer(); server != nil && i.settings.Zone == zone {
			server.turnCold(now)
		}
	}
	s.store.objects.Remove(key)
	return nil
}

// turnCold makes the server cold for warmUpTime.
func (s *server) turnCold(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = now.Add(warmUpTime)
}

// countRequest records a request and returns the number in the last second. The lock must
// be held.
func (s *server) countRequest(now time.Time) int {
	kept := s.recent[:0]
	for _, at := range s.recent {
		if now.Sub(at) < time.Second {
			kept = append(kept, at)
		}
	}
	s.recent = append(kept, now)
	return len(s.recent)
}

// checkWarmUp counts a new flow's request and checks it if the server is cold. The lock
// must be held.
func (s *server) checkWarmUp(now time.Time) {
	if requests := s.countRequest(now); now.Before(s.coldUntil) {
		s.checker.CheckWarmUp(s.name, s.agent, requests, now)
	}
}
