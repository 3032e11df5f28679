package soaker

import "time"

// disturbance is a period in which a machine was disturbed. to is zero until it
// ends.
type disturbance struct {
	from, to time.Time
	planned  bool
}

// BeginDisturbance records that a machine is disturbed until the returned
// function is called. Planned work does not excuse a broken flow.
func (c *Checker) BeginDisturbance(machine string, planned bool, now time.Time) (end func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disturbed == nil {
		c.disturbed = map[string][]*disturbance{}
	}
	added := &disturbance{from: now, planned: planned}
	c.disturbed[machine] = append(c.disturbed[machine], added)
	return func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		added.to = now
	}
}

// undisturbed reports whether no disturbance of the machines was in progress
// at the given time or ended less than settleTime before. Planned ones count only
// if alsoPlanned is set. The lock must be held.
func (c *Checker) undisturbed(at time.Time, alsoPlanned bool, machines ...string) bool {
	for _, machine := range machines {
		for _, d := range c.disturbed[machine] {
			over := !d.to.IsZero() && at.Sub(d.to) >= settleTime
			if !over && !d.from.After(at) && (alsoPlanned || !d.planned) {
				return false
			}
		}
	}
	return true
}
