package regulator

import (
	"time"

	"gooseberrymast"
)

// FlowOpened implements gooseberrymast.AdmissionGate.
func (r *Regulator) FlowOpened(key gooseberrymast.FlowKey, now time.Time) {
	r.latest = now
	if state := r.route(key.Service); state != nil {
		state.advance(now)
		state.open++
		state.opened.add(1, now, ratePeriod)
	}
}

// FlowClosed implements gooseberrymast.AdmissionGate.
func (r *Regulator) FlowClosed(key gooseberrymast.FlowKey) {
	r.removeExpected(key)
	r.counts.end(key, r.latest, false)
	if state := r.route(key.Service); state != nil && state.open > 0 {
		state.open--
	}
}

// RequestBegan implements gooseberrymast.AdmissionGate.
func (r *Regulator) RequestBegan(key gooseberrymast.FlowKey, now time.Time) {
	r.latest = now
	if !r.removeExpected(key) {
		if state := r.route(key.Service); state != nil {
			state.further.add(1, now, ratePeriod)
		}
	}
	r.counts.begin(key, now)
}

// State implements gooseberrymast.AdmissionGate.
func (r *Regulator) State(now time.Time) gooseberrymast.AdmissionState {
	state := gooseberrymast.AdmissionState{
		InProgress: len(r.counts.requests), Expected: len(r.expected), Held: len(r.held), OpenLoad: r.openLoad(now),
	}
	if r.counts.slots > 0 {
		state.Wait = r.wait(now)
	}
	return state
}

// RequestEnded implements gooseberrymast.AdmissionGate.
func (r *Regulator) RequestEnded(key gooseberrymast.FlowKey, now time.Time) {
	r.latest = now
	r.counts.end(key, now, true)
}

// RequestShed implements gooseberrymast.AdmissionGate. It is called after RequestEnded.
func (r *Regulator) RequestShed(key gooseberrymast.FlowKey, now time.Time) {
	r.latest = now
	r.rememberRefused(key.Caller, now)
	if r.counts.slots > 0 {
		// Some requests may have been answered since the server shed this one.
		r.shedBound, r.shedAt = max(r.counts.slots, len(r.counts.requests)), now
	}
}
