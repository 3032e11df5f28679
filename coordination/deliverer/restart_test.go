package deliverer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// Guards against resets of flows that a restarted server took before its first
// announcement, however far the clocks of the server and the agent are apart, and
// against callers of lost flows that are left waiting.
func TestOnlyFlowsOfEarlierIncarnationAreLost(t *testing.T) {
	at := func(number uint16) gooseberrymast.Endpoint {
		return gooseberrymast.Endpoint{IP: caller.IP, Port: caller.Port + number}
	}
	receives := func(number uint16, header gooseberrymast.PacketHeader) func(*Deliverer) {
		return func(d *Deliverer) {
			header.Source = at(number)
			d.FromPeer(header, placeHop(), ledger, routes, epoch)
		}
	}
	opens := func(number uint16) func(*Deliverer) { return receives(number, opening()) }
	sends := func(number uint16, header gooseberrymast.PacketHeader) func(*Deliverer) {
		return func(d *Deliverer) {
			header.Destination = at(number)
			d.FromServer(header, epoch)
		}
	}
	accept := answer(0)
	accept.Accepts = true
	acknowledges := func(number uint16) func(*Deliverer) {
		return func(d *Deliverer) {
			d.FromPeer(gooseberrymast.PacketHeader{
				Source: at(number), Destination: address, Acknowledges: true, Acknowledgement: 1,
			}, gooseberrymast.Hop{Mode: gooseberrymast.HopDeliver, Origin: balancer}, ledger, routes, epoch)
		}
	}
	accepted := func(number uint16) func(*Deliverer) {
		return func(d *Deliverer) { opens(number)(d); sends(number, accept)(d) }
	}
	taken := func(number uint16) func(*Deliverer) {
		return func(d *Deliverer) { accepted(number)(d); acknowledges(number)(d) }
	}
	announced := func(d *Deliverer) { d.HandleAnnouncement(false) }
	ended := answer(0)
	ended.Resets = true
	tests := []struct {
		name   string
		events []func(*Deliverer)
		lost   []uint16
		kept   int
	}{
		{"the server announced itself before and after", []func(*Deliverer){taken(1), announced, announced}, []uint16{1}, 0},
		{"accepted since the last announcement", []func(*Deliverer){announced, taken(1)}, nil, 1},
		{"accepted since the last announcement but one", []func(*Deliverer){announced, taken(1), announced}, nil, 1},
		{"the server answered on an earlier flow after that", []func(*Deliverer){
			taken(1), announced, announced, taken(2), sends(1, answer(400)), taken(3),
		}, []uint16{1, 2}, 1},
		{"a reset on an earlier flow shows nothing", []func(*Deliverer){
			taken(1), taken(2), announced, announced, taken(3), sends(2, ended),
		}, []uint16{1}, 1},
		{"both incarnations accepted copies of an opening", []func(*Deliverer){
			taken(1), taken(2), announced, announced, sends(2, accept), sends(2, answer(400)),
		}, []uint16{1}, 1},
		{"recorded from what the server sent", []func(*Deliverer){
			sends(1, answer(400)), acknowledges(1), announced, announced,
		}, []uint16{1}, 0},
		// Its caller may have opened it at another server, which answered a copy.
		{"not acknowledged by its caller", []func(*Deliverer){accepted(1), taken(2), announced, announced}, []uint16{2}, 0},
		{"not accepted", []func(*Deliverer){announced, opens(1)}, nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var d Deliverer
			for _, event := range test.events {
				event(&d)
			}
			var lost []uint16
			for _, header := range d.HandleAnnouncement(true) {
				lost = append(lost, header.Source.Port-caller.Port)
			}
			slices.Sort(lost)
			is.Equal(lost, test.lost)
			flows, busy := d.Load()
			is.Equal(flows, test.kept)
			is.Equal(busy, 0)
			is.True(!d.HasUnansweredOpening(epoch.Add(time.Second)))
			// What is kept is the new incarnation's once it has announced itself twice.
			d.HandleAnnouncement(false)
			is.Equal(len(d.HandleAnnouncement(true)), test.kept)
		})
	}
}
