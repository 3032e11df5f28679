package runner

import (
	"net/http"
	"strings"

	"gooseberrymast"
	"gooseberrymast/coordination/deliverer"
	"gooseberrymast/coordination/regulator"
)

// shedStatus is the status by which a server refuses a request without running it.
const shedStatus = http.StatusServiceUnavailable

// startAdmission sets up the admission of new flows unless the settings exclude it.
func (a *Agent) startAdmission() {
	if a.AdmissionRule.Mode != gooseberrymast.RuleOn && a.AdmissionRule.Mode != gooseberrymast.RuleAuto {
		return
	}
	a.deliverer.Admission = &regulator.Regulator{Work: &a.predictor}
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

// isRefusal reports whether a step ends the offer of a new flow by admission: no other
// agent gets it.
func isRefusal(step deliverer.Step) bool {
	ends := step.Action == deliverer.Drop || step.Action == deliverer.Forward && step.Hop.Mode == gooseberrymast.HopAbsent
	return ends && strings.HasPrefix(string(step.Reason), regulator.AdmissionPrefix)
}
