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
	// Faults counts the faults by kind.
	Faults map[string]int `json:"faults"`
	// Broken counts the violations by promise.
	Broken     map[Promise]int `json:"broken"`
	Violations []Violation     `json:"violations"`
}

func (r *Report) finish(counted *tally, checker *Checker, instances []*instance) {
	r.Asked, r.Served = counted.asked.Load(), counted.served.Load()
	r.Refused, r.Cut, r.TimedOut = counted.refused.Load(), counted.cut.Load(), counted.timeouts.Load()
	r.Violations = checker.Violations()
	r.Broken = map[Promise]int{}
	for _, each := range r.Violations {
		r.Broken[each.Promise]++
	}
	for _, i := range instances {
		r.Starts += i.process.starts.Load()
	}
}
