package trier

import "time"

// Plan is the traffic of one scenario.
type Plan struct {
	// FlowsPerServer is the number of callers' flows for each backend server.
	FlowsPerServer int
	// Utilization gives the share of the service's slots that the requests
	// sent at a time would fill; above one is overload.
	Utilization func(elapsed time.Duration) float64
	// Work is the service time of a short request.
	Work time.Duration
	// LongEvery makes one request in so many long; zero makes none long.
	LongEvery int
	// LongFactor is the service time of a long request over that of a short one.
	LongFactor int
	// Deadline is the deadline of short requests; long ones get LongFactor
	// times their work more.
	Deadline time.Duration
	// StreamLines is the number of lines that a stream pushes before it ends.
	StreamLines int
	// StreamPeriod is the time between two lines.
	StreamPeriod time.Duration
	// StreamsPerFlow is the number of streams after which a caller closes its
	// flow and opens another; zero keeps flows for the whole trial.
	StreamsPerFlow int
	// RateWork stands in for the mean service time where the rate is worked
	// out, so that two plans can send short requests at one rate.
	RateWork time.Duration
}

// steady is the plan that the scenarios start from.
func steady(Options) Plan {
	return Plan{
		FlowsPerServer: 20,
		Utilization:    func(time.Duration) float64 { return 0.4 },
		Work:           20 * time.Millisecond,
		LongEvery:      200,
		LongFactor:     20,
		Deadline:       time.Second,
		StreamLines:    15,
		StreamPeriod:   200 * time.Millisecond,
	}
}

// rate gives the requests a second for a service at a time.
func (p Plan) rate(service DeployedService, elapsed time.Duration) float64 {
	work := p.RateWork
	if work == 0 {
		work = p.meanWork()
	}
	return float64(service.Servers*service.Slots) / work.Seconds() * p.Utilization(elapsed)
}

// capacity is the number of requests a second that all slots could serve.
func (p Plan) capacity(deployment Deployment) float64 {
	slots := 0
	for _, service := range deployment.Services {
		slots += service.Servers * service.Slots
	}
	return float64(slots) / p.meanWork().Seconds()
}

// meanWork is the mean service time with the long requests.
func (p Plan) meanWork() time.Duration {
	if p.LongEvery == 0 {
		return p.Work
	}
	extra := float64(p.LongFactor-1) / float64(p.LongEvery)
	return time.Duration(float64(p.Work) * (1 + extra))
}

// deadline is the time that a request is given.
func (p Plan) deadline(long bool) time.Duration {
	if !long {
		return p.Deadline
	}
	return p.Deadline + time.Duration(p.LongFactor)*p.Work
}
