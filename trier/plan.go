package trier

import "time"

// Plan is the traffic of one scenario.
type Plan struct {
	// FlowsPerServer is the number of callers' flows for each backend server.
	FlowsPerServer int
	// Utilization returns the share of a service's slots that the offered load
	// would occupy; above one is overload.
	Utilization func(elapsed time.Duration) float64
	// Work is the service time of a short request.
	Work time.Duration
	// LongEvery makes one request in LongEvery long; zero makes none long.
	LongEvery int
	// LongFactor is the service time of a long request as a multiple of that of a
	// short one.
	LongFactor int
	// Deadline is the deadline of short requests; that of long ones is later by
	// LongFactor times Work.
	Deadline time.Duration
	// StreamLines is the number of lines in a stream.
	StreamLines int
	// StreamPeriod is the time between two lines.
	StreamPeriod time.Duration
	// StreamsPerFlow is the number of streams after which a caller closes its
	// flow and opens another; zero keeps flows for the whole trial.
	StreamsPerFlow int
	// RateWork replaces the mean service time in the calculation of the rate
	// unless it is zero, so that plans with and without long requests can have
	// the same rate.
	RateWork time.Duration
}

// steady returns the plan that the other plans modify.
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

// rate returns the requests a second to a service at the given elapsed time.
func (p Plan) rate(service DeployedService, elapsed time.Duration) float64 {
	work := p.RateWork
	if work == 0 {
		work = p.meanWork()
	}
	return float64(service.Servers*service.Slots) / work.Seconds() * p.Utilization(elapsed)
}

// capacity returns the requests a second that all slots together can serve.
func (p Plan) capacity(deployment Deployment) float64 {
	slots := 0
	for _, service := range deployment.Services {
		slots += service.Servers * service.Slots
	}
	return float64(slots) / p.meanWork().Seconds()
}

// meanWork returns the mean service time of short and long requests together.
func (p Plan) meanWork() time.Duration {
	if p.LongEvery == 0 {
		return p.Work
	}
	extra := float64(p.LongFactor-1) / float64(p.LongEvery)
	return time.Duration(float64(p.Work) * (1 + extra))
}

// deadline returns the deadline of a short or long request.
func (p Plan) deadline(long bool) time.Duration {
	if !long {
		return p.Deadline
	}
	return p.Deadline + time.Duration(p.LongFactor)*p.Work
}
