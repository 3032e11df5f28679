package emulator

// returnZone returns the first zone to service: its servers are cold, and its callers
// begin anew.
func (e *emulation) returnZone() {
	for _, server := range e.servers {
		if server.zone != 0 {
			continue
		}
		server.coldUntil = e.now + coldPeriod
		server.predictor.HandleServer(server.slots, coldPeriod, false, e.clock())
		if e.result.Policy != PolicyUnlimited {
			server.throttler.SetWarmUp(e.pattern.WarmUp)
		}
		server.throttler.HandleAnnouncement(coldPeriod, true, e.clock())
	}
	for caller := 0; caller < e.pattern.Callers; caller += e.pattern.Zones {
		for i := range e.pattern.Classes {
			key := e.flowsOf(&request{caller: caller, route: e.pattern.Classes[i].route(i)})
			for _, idle := range e.idleFlows[key] {
				e.closeFlow(idle)
			}
			delete(e.idleFlows, key)
		}
	}
}
