package runner

import (
	"strings"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/deliverer"
	"gooseberrymast/coordination/regulator"
)

const (
	// releaseInterval is the time between two checks of the packets held, besides those at
	// each end of a request. It adds to the longest hold.
	releaseInterval = 5 * time.Millisecond
	// shedStatus is the status by which a server refuses a request without running it.
	shedStatus = 503
)

// startAdmission sets up the admission of new flows unless the settings exclude it.
func (a *Agent) startAdmission() {
	if a.AdmissionRule.Mode != gooseberrymast.RuleOn && a.AdmissionRule.Mode != gooseberrymast.RuleAuto {
		return
	}
	a.deliverer.Admission = &regulator.Regulator{}
	a.deliverer.ZoneOf = func(balancer gooseberrymast.Endpoint) string {
		entry, _ := a.roster.Get(balancer)
		return entry.Zone
	}
}

// admissionRule is the result of the rule for admission, which depends on the slots, the
// service and the routes.
type admissionRule struct {
	slots   int
	service string
	routes  *gooseberrymast.Routes
	active  bool
}

// admissionActive reports whether admission is in force at the server. It is called with
// trackerMu locked.
func (a *Agent) admissionActive(slots int, service string, routes *gooseberrymast.Routes) bool {
	if a.deliverer.Admission == nil {
		return false
	}
	// The rule reads all routes, so its result is kept until what it depends on changes.
	if last := a.admission; last.slots != slots || last.service != service || last.routes != routes {
		a.admission = admissionRule{slots, service, routes, a.AdmissionRule.Active(slots, service, routes)}
	}
	return a.admission.active
}

// hold keeps an opening packet that the admission gate holds, and sees to its release.
func (a *Agent) hold(header gooseberrymast.PacketHeader, step deliverer.Step, packet []byte, server deliverer.Server,
	routes *gooseberrymast.Routes, now time.Time) {
	a.carryOut(a.deliverer.Hold(header, step.Hop, packet, server, routes, now))
	a.scheduleRelease()
}

// scheduleRelease starts the timer that releases held packets unless it runs or nothing
// is held.
func (a *Agent) scheduleRelease() {
	if a.deliverer.HeldCount() == 0 || !a.releaseScheduled.CompareAndSwap(false, true) {
		return
	}
	a.Timer.After(releaseInterval, func(now time.Time) {
		a.releaseScheduled.Store(false)
		a.releaseHeld(now)
		a.scheduleRelease()
	})
}

// releaseHeld carries out what is due for the held packets.
func (a *Agent) releaseHeld(now time.Time) {
	if a.deliverer.HeldCount() > 0 {
		a.carryOut(a.deliverer.Release(a.serverForNewFlows(now), a.currentRoutes(), now))
	}
}

func (a *Agent) carryOut(released []deliverer.Released) {
	for _, r := range released {
		a.metrics.observeHold(r.Step.Action == deliverer.ToServer, r.Held)
		a.execute(r.Step, r.Key, r.Packet)
	}
}

// isRefusal reports whether a step ends the offer of a new flow by admission: no other
// agent gets it.
func isRefusal(step deliverer.Step) bool {
	ends := step.Action == deliverer.Drop || step.Action == deliverer.Forward && step.Hop.Mode == gooseberrymast.HopAbsent
	return ends && (strings.HasPrefix(string(step.Reason), regulator.AdmissionPrefix) || step.Reason == deliverer.ReasonHeldTooLong)
}
