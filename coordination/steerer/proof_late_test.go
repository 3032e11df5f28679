package steerer_test

import (
	"testing"
	"time"
)

// A server has restarted, and the store has refused to record that. Its agent restarts,
// too, and receives announcements and the departure of the server's earlier incarnation,
// which are late. It must not take the flows for those of the earlier one, nor itself for
// having seen the server start.
func TestFlowSurvivesLateAnnouncementsOfEarlierIncarnation(t *testing.T) {
	for _, departs := range []bool{false, true} {
		m := newModel(1, 4, 2)
		for _, a := range m.agents {
			m.announce(a)
		}
		m.rest(4 * time.Second)
		a := m.agents[0]
		late := a.announcements[len(a.announcements)-2:]
		m.refuseStore(a, 2*time.Second)
		m.startServer(a)
		m.rest(time.Second)
		const flows = 20
		for port := uint16(1); port <= flows; port++ {
			openFlow(m, m.balancers[0], port)
		}
		m.rest(2 * tick)
		m.restartAsPlanned(a, 0)
		for _, announcement := range late {
			for port := uint16(1); port <= flows; port++ {
				sendRequest(m, m.balancers[0], port)
			}
			m.handleAnnouncement(a, announcement)
		}
		if departs {
			_ = a.tracker.HandleDeparture("i", late[0].StartUnixMs)
		}
		for range 2 {
			m.announce(a)
			for _, b := range m.balancers {
				m.startBalancer(b)
				m.rest(2 * time.Second)
			}
			for port := uint16(1); port <= flows; port++ {
				sendRequest(m, m.balancers[0], port)
			}
		}
		if len(m.broken) > 0 {
			t.Fatalf("departs %v: reset although its server holds it: %v\n%s", departs, m.broken, m.traceOf(m.broken[0]))
		}
	}
}
