package soaker

// Report is the result of a soak.
type Report struct {
	Seed      uint64  `json:"seed"`
	Instances int     `json:"instances"`
	Seconds   float64 `json:"seconds"`
	// Interrupted reports whether the soak ended before its length.
	Interrupted bool `json:"interrupted"`
	// Requests counts the requests that callers made, Served those that were
	// answered. Refused, Cut and TimedOut count failed tries, of which a request
	// may have several.
	Requests int64 `json:"asked"`
	Served   int64 `json:"served"`
	Refused  int64 `json:"refused"`
	Cut      int64 `json:"cut"`
	TimedOut int64 `json:"timed-out"`
	// IdleResets counts the flows that were reset while their callers did not use them.
	IdleResets int64 `json:"idle-resets"`
	// Starts counts process starts.
	Starts int64 `json:"starts"`
	// LateTicks counts the times at which the soak was scheduled too late to
	// check time limits.
	LateTicks int64 `json:"late"`
	// Faults counts the injected faults by kind.
	Faults map[string]int `json:"faults"`
	// BrokenPromises counts the violations by promise.
	BrokenPromises map[Promise]int `json:"broken"`
	Violations     []Violation     `json:"violations"`
}

// finish copies the results of the soak into the report.
func (r *Report) finish(s *soak) {
	r.Requests, r.Served = s.tally.requests.Load(), s.tally.served.Load()
	r.Refused, r.Cut, r.TimedOut = s.tally.refused.Load(), s.tally.cut.Load(), s.tally.timeouts.Load()
	r.IdleResets = s.tally.idleResets.Load()
	r.LateTicks = s.lateTicks.Load()
	r.Violations = s.checker.Violations()
	r.BrokenPromises = map[Promise]int{}
	for _, violation := range r.Violations {
		r.BrokenPromises[violation.Promise]++
	}
	for _, i := range s.instances {
		r.Starts += i.process.starts.Load()
	}
}
