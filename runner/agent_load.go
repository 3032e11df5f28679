package runner

import (
	"net/http"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/chooser"
	"gooseberrymast/coordination/deliverer"
)

func (a *Agent) flowLoad(now time.Time) gooseberrymast.FlowLoad {
	a.trackerMu.Lock()
	last, receivedAt := a.tracker.Last()
	a.trackerMu.Unlock()
	flows, busy := a.deliverer.Load()
	load := gooseberrymast.FlowLoad{
		Slots:      last.Slots,
		InProgress: busy,
		Flows:      flows,
		WarmUpLeft: max(0, last.WarmUpLeft-now.Sub(receivedAt)),
		Failing:    a.failingShare(now),
		Work:       a.expectedWork(last, now),
	}
	if room, limited := a.throttler.Room(flows, now); limited {
		load.Limited, load.Room, load.WarmUpLeft = true, room, a.throttler.ColdLeft(now)
	}
	return load
}

// setWarmUp sets how the servers of the agent's service warm up.
func (a *Agent) setWarmUp(routes *gooseberrymast.Routes, service string) {
	if a.Settings.Places.Active() {
		a.throttler.SetWarmUp(routes.WarmUp(service))
	}
}

// limitWarmUp limits what the server gets while it is cold, if the platform does.
func (a *Agent) limitWarmUp() {
	places := a.Settings.Places
	if !places.Active() {
		return
	}
	a.throttler.Overage, a.throttler.Slack = places.WarmUpOverage, places.WarmUpSlack
	a.deliverer.Gates = append(a.deliverer.Gates, &a.throttler)
	a.deliverer.RefuseFullDefinitely = true
	a.onReturned = a.throttler.HandleUnknown
	a.throttler.Begin(a.began)
}

// expectedWork returns the expected work of the server if flows are placed by it, and logs
// when that changes.
func (a *Agent) expectedWork(last gooseberrymast.Announcement, now time.Time) gooseberrymast.WorkLoad {
	var work gooseberrymast.WorkLoad
	if a.Placement.Active(last.Slots, last.Service, a.currentRoutes()) {
		work = a.predictor.Load(now)
	}
	if known := work.Cost > 0; a.reportsWork.Swap(known) != known {
		a.Log.Info(gooseberrymast.EventPlacementChanged).Bool("by-work", known).Int("slots", last.Slots).
			Int64("cost-us", work.Cost.Microseconds()).Msg("")
	}
	return work
}

// failingShare returns the share of requests that the server fails, and logs when
// it crosses the limit at which balancers leave the server out.
func (a *Agent) failingShare(now time.Time) float64 {
	a.assessorMu.Lock()
	share := a.assessor.FailingShare(now)
	failing := share >= chooser.FailingLimit
	changed := failing != a.failing
	a.failing = failing
	a.assessorMu.Unlock()
	if changed {
		a.Log.Warn(gooseberrymast.EventServerFailing).Bool("failing", failing).Float64("share", share).
			Float64("limit", chooser.FailingLimit).Msg("")
	}
	return share
}

// ranRequest reports whether the server ran the whole request that it answered with a
// status. Refusals and failures come fast and would make the server look fast.
func ranRequest(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests
}

// recordOutcome updates the server's assessment and costs with the outcome of a request
// of a flow.
func (a *Agent) recordOutcome(step deliverer.Step, key gooseberrymast.FlowKey, packet []byte, now time.Time) {
	if !step.Answered && step.Event != deliverer.RequestCut && step.Event != deliverer.RequestAbandoned {
		return
	}
	a.trackerMu.Lock()
	last, _ := a.tracker.Last()
	a.trackerMu.Unlock()
	// Load no longer counts the request that has just ended, but it used a slot.
	_, busy := a.deliverer.Load()
	full := last.Slots > 0 && busy+1 >= last.Slots
	a.assessorMu.Lock()
	defer a.assessorMu.Unlock()
	if step.Answered {
		if status := a.Codec.AnswerStatus(packet); status != 0 {
			a.assessor.AddAnswer(status, full, now)
			a.metrics.countStatus(status)
			if ranRequest(status) {
				a.predictor.AddSample(key.Service, step.Request.SlotTime, now)
			}
			if status == shedStatus {
				a.deliverer.HandleShed(now)
			}
		}
		return
	}
	// A request that its caller abandoned counts only if the server had a free slot.
	if step.Event == deliverer.RequestCut || !full {
		a.assessor.AddUnanswered(now)
	}
}
