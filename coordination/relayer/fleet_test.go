package relayer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/locator"
	"gooseberrymast/coordination/relayer"
	"gooseberrymast/coordination/steerer"
	"gooseberrymast/state/roster"
)

const (
	// step is the time between two steps of a simulated fleet. A message arrives
	// in the step after it was sent.
	step                   = 10 * time.Millisecond
	agentReportInterval    = 200 * time.Millisecond
	balancerReportInterval = 400 * time.Millisecond
	// checkInterval is the time between two checks during a run.
	checkInterval = 50 * time.Millisecond
)

var (
	epoch   = time.Unix(1000, 0)
	address = gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
)

// process is one instance of a simulated fleet.
type process struct {
	self    gooseberrymast.Peer
	roster  roster.Roster
	relayer relayer.Relayer
	// steerer decides at a balancer; it records each agent as the owner of one flow.
	steerer *steerer.Steerer
	owners  *locator.Locator

	started     time.Time
	down        bool
	pausedUntil time.Time
	// undisturbedSince is the end of the last time that the process was down or paused.
	undisturbedSince time.Time
	zoneChanged      bool
	inbox            []message
	// readLimit bounds the messages read in a step; zero is no bound.
	readLimit   int
	sentReports int
}

// message is a report, a summary or a marker in flight.
type message struct {
	report  gooseberrymast.Report
	summary *gooseberrymast.Summary
	// marker is when a balancer sent this to itself.
	marker time.Time
	// departures is a list of peers that leave.
	departures []gooseberrymast.Peer
}

// fleet simulates the reports and summaries of balancers and agents.
type fleet struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	processes []*process
	// loss is the share of messages that get lost.
	loss float64
	// lossAt is the share for single processes, sent or received.
	lossAt map[*process]float64
	// legacy processes report directly to all and know no summaries.
	legacy map[*process]bool
	// cut reports whether messages between two processes get lost; nil if none do.
	cut func(from, to *process) bool
	// crossZone counts the messages between availability zones.
	crossZone int
	// questions counts the questions to agents.
	questions int
}

func newFleet(t *testing.T, seed uint64, zones, balancers, agents int) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		lossAt: map[*process]float64{}, legacy: map[*process]bool{},
	}
	for zone := range zones {
		for i := range balancers {
			f.add(gooseberrymast.RoleBalancer, zone, i+1)
		}
		for i := range agents {
			f.add(gooseberrymast.RoleAgent, zone, 100+i)
		}
	}
	for _, p := range f.processes {
		f.start(p)
	}
	return f
}

func (f *fleet) add(role gooseberrymast.Role, zone, number int) *process {
	p := &process{self: gooseberrymast.Peer{
		Endpoint: gooseberrymast.Endpoint{IP: [4]byte{10, byte(zone), 0, byte(number)}, Port: 7000},
		Role:     role, State: gooseberrymast.StateReady, Zone: fmt.Sprint("zone-", zone),
	}}
	if role == gooseberrymast.RoleAgent {
		p.self.Service = "ledger"
	}
	f.processes = append(f.processes, p)
	return p
}

// start starts a process with what it reads from the store: all peers, none of
// which has reported.
func (f *fleet) start(p *process) {
	p.down, p.started, p.undisturbedSince, p.inbox = false, f.now, f.now, nil
	p.self.Incarnation++
	p.roster = roster.Roster{Zone: p.self.Zone}
	p.roster.StartListening(f.now)
	p.relayer = relayer.Relayer{Self: p.self.Endpoint, Role: p.self.Role, Zone: p.self.Zone, Started: f.now}
	if f.legacy[p] {
		p.roster.Zone = ""
	}
	for _, other := range f.processes {
		if other != p {
			listed := other.self
			listed.Incarnation, listed.Sequence, listed.State = 0, 0, gooseberrymast.StateStarting
			p.roster.Merge([]gooseberrymast.Peer{listed}, f.now)
		}
	}
	p.roster.MarkComplete()
	if p.self.Role != gooseberrymast.RoleBalancer {
		return
	}
	p.owners = &locator.Locator{Lifetime: time.Hour}
	p.steerer = &steerer.Steerer{
		Self: p.self.Endpoint, Zone: p.self.Zone, Roster: &p.roster, Owners: p.owners,
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	p.steerer.SetRoutes(&gooseberrymast.Routes{Version: gooseberrymast.DocumentVersion{Number: 1}, ByAddress: map[gooseberrymast.Endpoint]gooseberrymast.Route{
		address: {Address: address, Backends: []gooseberrymast.WeightedService{{Service: "ledger", Weight: 1}}},
	}})
	for i, other := range f.processes {
		if other.self.Role == gooseberrymast.RoleAgent {
			p.owners.Record(flowOf(i), other.self.Endpoint, f.now)
		}
	}
}

// flowOf returns the flow that the agent with an index owns.
func flowOf(index int) gooseberrymast.FlowKey {
	return gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: uint16(index + 1)}, Service: address}
}

// takesForGone reports whether a balancer takes the agent that owns a flow for gone:
// the flow's packets neither go to it nor are walked there, so that the flow is reset
// once all others have answered.
func (f *fleet) takesForGone(balancer *process, index int) bool {
	key, agent := flowOf(index), f.processes[index].self.Endpoint
	balancer.owners.Record(key, agent, f.now)
	steps := balancer.steerer.FromCaller(nil, gooseberrymast.PacketHeader{
		Source: key.Caller, Destination: key.Service, Acknowledges: true,
	}, f.now)
	return !slices.ContainsFunc(steps, func(step steerer.Step) bool {
		return step.To == agent || slices.Contains(step.Hop.Candidates, agent)
	})
}

func (f *fleet) stop(p *process) {
	p.down, p.inbox = true, nil
}

func (f *fleet) pause(p *process, d time.Duration) {
	p.pausedUntil = f.now.Add(d)
	p.undisturbedSince = p.pausedUntil
}

// run runs the fleet and calls check, if any, every checkInterval.
func (f *fleet) run(d time.Duration, check func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for _, p := range f.processes {
			if !p.down && !f.now.Before(p.pausedUntil) {
				f.act(p)
			}
		}
		if check != nil && f.now.Sub(epoch)%checkInterval == 0 {
			check()
		}
	}
}

func (f *fleet) act(p *process) {
	read := len(p.inbox)
	if p.readLimit > 0 {
		read = min(read, p.readLimit)
	}
	inbox := p.inbox[:read]
	p.inbox = p.inbox[read:]
	for _, m := range inbox {
		f.receive(p, m)
	}
	running := f.now.Sub(p.started)
	interval := agentReportInterval
	if p.self.Role == gooseberrymast.RoleBalancer {
		interval = balancerReportInterval
	}
	if running%interval == step {
		f.report(p)
	}
	if p.self.Role == gooseberrymast.RoleBalancer && running%roster.MarkerInterval == 0 {
		p.inbox = append(p.inbox, message{marker: f.now})
	}
	if p.self.Role != gooseberrymast.RoleBalancer || f.legacy[p] || running%relayer.TickInterval != 0 {
		return
	}
	if !p.relayer.Due(p.zoneChanged, f.now) {
		return
	}
	p.zoneChanged = false
	entries := p.roster.Entries(nil)
	summary, recipients := p.relayer.Summary(entries, p.self, p.roster.Hearing(), f.now)
	for _, recipient := range recipients {
		f.send(p, recipient, message{summary: &summary})
	}
	asked := p.relayer.Questions(entries, p.self, p.roster.Hearing(), f.now)
	p.roster.MarkAsked(asked, f.now)
	for _, agent := range asked {
		f.send(p, agent, message{report: gooseberrymast.Report{Peer: p.self}})
	}
	f.questions += len(asked)
	substitutes, balancers := p.relayer.Substitutes(entries, p.self, p.roster.Hearing(), f.now)
	for i := range substitutes {
		for _, balancer := range balancers {
			f.send(p, balancer, message{summary: &substitutes[i]})
		}
	}
}

func (f *fleet) receive(p *process, m message) {
	if !m.marker.IsZero() {
		p.roster.HandleMarker(m.marker)
		return
	}
	if m.departures != nil {
		p.roster.Merge(m.departures, f.now)
		return
	}
	if m.summary == nil {
		if changed, _ := p.roster.HandleReport(m.report, f.now); changed && m.report.Peer.Zone == p.self.Zone {
			p.zoneChanged = true
		}
		f.sendDepartures(p, m.report.Peer)
		return
	}
	if f.legacy[p] {
		return
	}
	p.roster.HandleSummary(*m.summary, f.now)
	if !m.summary.Forwarded {
		for _, viewed := range m.summary.Peers {
			f.sendDepartures(p, viewed.Peer)
		}
	}
	forwarded := *m.summary
	forwarded.Forwarded = true
	for _, recipient := range p.relayer.Forward(p.roster.Entries(nil), *m.summary) {
		f.send(p, recipient, message{summary: &forwarded})
	}
}

func (f *fleet) sendDepartures(p *process, balancer gooseberrymast.Peer) {
	if !p.relayer.Restarted(balancer) {
		return
	}
	if leaving := relayer.Departures(p.roster.Entries(nil)); len(leaving) > 0 {
		f.send(p, balancer.Endpoint, message{departures: leaving})
	}
}

func (f *fleet) report(p *process) {
	recipients, relayed := p.relayer.Recipients(p.roster.Entries(nil), f.now)
	if f.legacy[p] {
		recipients, relayed = nil, false
		for _, entry := range p.roster.Entries(nil) {
			if p.self.Role == gooseberrymast.RoleBalancer || entry.Role == gooseberrymast.RoleBalancer {
				recipients = append(recipients, entry.Endpoint)
			}
		}
	}
	for _, recipient := range recipients {
		f.send(p, recipient, message{report: gooseberrymast.Report{Peer: p.self, Relayed: relayed}})
	}
	p.sentReports += len(recipients)
}

func (f *fleet) send(from *process, to gooseberrymast.Endpoint, m message) {
	for _, p := range f.processes {
		if p.self.Endpoint != to {
			continue
		}
		if p.self.Zone != from.self.Zone {
			f.crossZone++
		}
		lost := f.random.Float64() < max(f.loss, f.lossAt[from], f.lossAt[p])
		if !p.down && !lost && (f.cut == nil || !f.cut(from, p)) {
			p.inbox = append(p.inbox, m)
		}
	}
}

// checkNoneFalselyGone fails the test if a balancer would reset a flow of an agent
// although both have run undisturbed for a while.
func (f *fleet) checkNoneFalselyGone() {
	const undisturbed = 4 * time.Second
	calm := func(p *process) bool {
		return !p.down && f.lossAt[p] == 0 && f.now.Sub(p.undisturbedSince) >= undisturbed
	}
	for _, balancer := range f.processes {
		if balancer.self.Role != gooseberrymast.RoleBalancer || !calm(balancer) {
			continue
		}
		for i, agent := range f.processes {
			if agent.self.Role == gooseberrymast.RoleAgent && calm(agent) && f.takesForGone(balancer, i) {
				f.t.Fatalf("%v: balancer %s resets a flow of agent %s, which runs", f.now.Sub(epoch), balancer.self.Endpoint, agent.self.Endpoint)
			}
		}
	}
}

// missing counts the pairs of a live balancer and a live agent in which the balancer
// doesn't count the agent as reporting.
func (f *fleet) missing() int {
	count := 0
	for _, balancer := range f.processes {
		if balancer.self.Role != gooseberrymast.RoleBalancer || balancer.down {
			continue
		}
		for _, agent := range f.processes {
			entry, _ := balancer.roster.Get(agent.self.Endpoint)
			if agent.self.Role == gooseberrymast.RoleAgent && !agent.down && !entry.Reporting(f.now) {
				count++
			}
		}
	}
	return count
}

// ofZone returns the processes of a role in a zone.
func (f *fleet) ofZone(role gooseberrymast.Role, zone int) []*process {
	var found []*process
	for _, p := range f.processes {
		if p.self.Role == role && p.self.Zone == fmt.Sprint("zone-", zone) {
			found = append(found, p)
		}
	}
	return found
}
