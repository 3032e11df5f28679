package deliverer

import (
	"slices"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/tracker"
)

// fullFactor is the number of requests in progress per slot from which a server
// is full: a new request would wait for a whole service time.
const fullFactor = 2

// Full reports whether a server with this many requests in progress takes a new
// flow only as the last candidate.
func Full(inProgress, slots int) bool {
	return slots > 0 && inProgress >= fullFactor*slots
}

// refusal returns the reason for which a new flow is not taken, or "". It is
// definite if the server has not seen the flow and won't take it a moment later.
func (d *Deliverer) refusal(hop gooseberrymast.Hop, key gooseberrymast.FlowKey, server Server,
	routes *gooseberrymast.Routes, now time.Time) (reason Reason, definite bool) {
	switch {
	case server.Evacuated:
		return ReasonZoneEvacuated, true
	case server.EvacuationUnknown:
		return ReasonEvacuationUnknown, false
	case server.Status == tracker.Unknown:
		return ReasonServerUnknown, false
	case server.Status == tracker.Introduced:
		return ReasonServerIntroduced, false
	case server.Status == tracker.Silent:
		return ReasonServerSilent, false
	case server.Status == tracker.Gone:
		return ReasonServerGone, true
	case server.Status == tracker.Leaving:
		return ReasonServerLeaving, true
	case d.leaving:
		return ReasonAgentLeaving, true
	case hop.Service != gooseberrymast.ServiceHash(server.Service):
		return ReasonWrongService, false
	}
	if routes != nil && routes.Version.AtLeast(hop.Version) && !routeAllows(routes, key, server.Service) {
		return ReasonWrongService, true
	}
	if !d.isRecorded(key, server.Service, now) {
		return ReasonNotRecorded, false
	}
	return "", true
}

func (d *Deliverer) flowOffer(header gooseberrymast.PacketHeader, hop gooseberrymast.Hop, server Server,
	routes *gooseberrymast.Routes) gooseberrymast.FlowOffer {
	key := header.FromCaller()
	route, ok := routes.Lookup(key.Service)
	offer := gooseberrymast.FlowOffer{
		Key: key, Route: route, HasRoute: ok, Copy: header.Copy, Last: len(hop.Candidates) == 0, Slots: server.Slots,
		InProgress: d.busyFlows, OpenFlows: d.openFlows,
	}
	if d.ZoneOf != nil {
		offer.Zone = d.ZoneOf(hop.Origin)
	}
	return offer
}

// AdmissionState returns what the admission gate knows of the server.
func (d *Deliverer) AdmissionState(now time.Time) gooseberrymast.AdmissionState {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Admission == nil {
		return gooseberrymast.AdmissionState{}
	}
	return d.Admission.State(now)
}

// HandleShed records that the server refused a request without running it.
func (d *Deliverer) HandleShed(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Admission != nil {
		d.Admission.RequestShed(d.busyFlows, now)
	}
}

// admits reports whether the admission gate is in force at the server.
func (d *Deliverer) admits(server Server) bool {
	return server.Admission && d.Admission != nil
}

// gates returns the gates in force at the server, in the order in which they are asked.
func (d *Deliverer) gates(server Server) []gooseberrymast.FlowGate {
	if !d.admits(server) {
		return d.Gates
	}
	return append(slices.Clip(d.Gates), d.Admission)
}

// askGates returns the decision of the first gate that doesn't admit an offer, or the
// zero GateDecision.
func askGates(gates []gooseberrymast.FlowGate, offer gooseberrymast.FlowOffer, now time.Time) gooseberrymast.GateDecision {
	for _, gate := range gates {
		if decision := gate.Decide(offer, now); decision.Verdict != gooseberrymast.GateAdmit {
			return decision
		}
	}
	return gooseberrymast.GateDecision{}
}

func routeAllows(routes *gooseberrymast.Routes, key gooseberrymast.FlowKey, service string) bool {
	route, ok := routes.Lookup(key.Service)
	return ok && route.Allows(service)
}

// take sends a new flow to the server.
func (d *Deliverer) take(offer gooseberrymast.FlowOffer, header gooseberrymast.PacketHeader, hop gooseberrymast.Hop,
	server Server, now time.Time) Step {
	for _, gate := range d.gates(server) {
		gate.Taken(offer, now)
	}
	f := d.addFlow(offer.Key, now)
	f.first = true
	if hop.NotifyOrigin {
		f.notify = hop.Origin
	}
	step := d.deliver(f, header, hop, now)
	step.Event = FlowTaken
	return step
}
