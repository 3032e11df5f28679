package deliverer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// openedFlow lets the server take and answer the flow of a port.
func openedFlow(d *Deliverer, port uint16, now time.Time) {
	header, accept := opening(), answer(0)
	header.Source.Port, accept.Destination.Port = port, port
	d.FromPeer(header, placeHop(), ledger, routes, now)
	accept.Accepts = true
	d.FromServer(accept, now)
}

// denies reports whether the agent of a server that it saw start denies the flow of a
// port definitely.
func denies(d *Deliverer, port uint16, now time.Time) bool {
	header := request(1)
	header.Source.Port = port
	complete := ledger
	complete.Complete = true
	step := d.FromPeer(header, walkHop(), complete, routes, now)
	return step.Action == Forward && step.Hop.Definite
}

// Guards against resets of flows that were idle for longer than the agent kept them, but
// not for longer than the document allows.
func TestIdleFlowIsNotDeniedWhileItsServerMayHoldIt(t *testing.T) {
	set := func(timeout time.Duration) func(*Deliverer) {
		return func(d *Deliverer) { d.HandleDocument("ledger", &gooseberrymast.Routes{IdleTimeout: timeout}) }
	}
	open := func(d *Deliverer) { openedFlow(d, 1, epoch) }
	tests := []struct {
		name   string
		events []func(*Deliverer)
		want   time.Duration
	}{
		{"no document", []func(*Deliverer){open}, gooseberrymast.DefaultMaxFlowAge + documentDelay},
		{"a document without a limit", []func(*Deliverer){set(0), open}, gooseberrymast.DefaultMaxFlowAge + documentDelay},
		{"a short limit", []func(*Deliverer){set(15 * time.Second), open}, minRetention},
		{"a long limit", []func(*Deliverer){set(50 * time.Second), open}, 50*time.Second + documentDelay},
		{"a limit beyond a flow's age", []func(*Deliverer){set(time.Hour), open}, gooseberrymast.DefaultMaxFlowAge + documentDelay},
		{"raised later", []func(*Deliverer){set(15 * time.Second), open, set(50 * time.Second)}, 50*time.Second + documentDelay},
		{"lowered later", []func(*Deliverer){set(50 * time.Second), open, set(15 * time.Second)}, 50*time.Second + documentDelay},
		{"lowered before", []func(*Deliverer){set(50 * time.Second), set(15 * time.Second), open}, minRetention},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var d Deliverer
			for _, event := range test.events {
				event(&d)
			}
			d.Expire(epoch.Add(test.want))
			is.Equal(len(d.flows), 1)
			d.Expire(epoch.Add(test.want + 1))
			is.Equal(len(d.flows), 0)
			is.True(denies(&d, 1, epoch.Add(test.want+1)))
		})
	}
}

// Guards against resets of flows that the agent dropped to bound its memory.
func TestFlowsAreNotDeniedAfterEviction(t *testing.T) {
	is := is.New(t)
	d := Deliverer{MaxFlows: 2}
	openedFlow(&d, 1, epoch)
	openedFlow(&d, 2, epoch)
	is.True(denies(&d, 3, epoch))
	reset := answer(0)
	reset.Destination.Port, reset.Resets = 2, true
	d.FromServer(reset, epoch)
	openedFlow(&d, 3, epoch.Add(time.Millisecond)) // flow 1 is the least recently used one
	is.Equal(len(d.flows), 2)
	is.True(denies(&d, 4, epoch)) // only the flow that had ended was evicted
	later := epoch.Add(time.Second)
	openedFlow(&d, 4, later)
	is.Equal(len(d.flows), 2)
	is.True(!denies(&d, 1, later)) // the least recently used one was evicted
	is.True(!denies(&d, 5, later))
	is.True(denies(&d, 5, later.Add(d.maxFlowAge()+documentDelay))) // the server no longer holds it
	flows, busy := d.Load()
	is.Equal(flows, 2)
	is.Equal(busy, 0)
}
