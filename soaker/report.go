package soaker

// Report is what came of a soak.
type Report struct {
	Seed      uint64  `json:"seed"`
	Instances int     `json:"instances"`
	Seconds   float64 `json:"seconds"`
	// Interrupted is set when the soak ended before its length.
	Interrupted bool `json:"interrupted"`
	// Asked and Served count requests, the others tries that failed.
	Asked    int64 `json:"asked"`
	Served   int64 `json:"served"`
	Refused  int64 `json:"refused"`
	Cut      int64 `json:"cut"`
	TimedOut int64 `json:"timed-out"`
	// Starts counts the starts of processes.
	Starts int64 `json:"starts"`
	// Late counts the times in which the machine was too busy to hold processes
	// to bounds of time.
	Late int64 `json:"late"`
	// Faults counts the faults by kind.
	Faults map[string]int `json:"faults"`
	// Broken counts the violations by promise.
	Broken     map[Promise]int `json:"broken"`
	Violations []Violation     `json:"violations"`
}

func (r *Report) finish(s *soak) {
	r.Asked, r.Served = s.tally.asked.Load(), s.tally.served.Load()
	r.Refused, r.Cut, r.TimedOut = s.tally.refused.Load(), s.tally.cut.Load(), s.tally.timeouts.Load()
	r.Late = s.late.Load()
	r.Violations = s.checker.Violations()
	r.Broken = map[Promise]int{}
	for _, each := range r.Violations {
		r.Broken[each.Promise]++
	}
	for _, i := range s.instances {
		r.Starts += i.process.starts.Load()
	}
}
