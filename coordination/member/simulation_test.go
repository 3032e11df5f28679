package member

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberrymast"
	"gooseberrymast/coordination/adopter"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/protocol/messages/control"
	"gooseberrymast/protocol/translator"
	"gooseberrymast/standin/platform"
)

const testEnvironment = "trial"

// simulation runs members in virtual time with simulated sessions and the
// stand-in for the platform's store. A run is determined by its seed.
type simulation struct {
	t         testing.TB
	now       time.Time
	startTime time.Time
	random    *rand.Rand
	queue     events
	serial    uint64
	nodes     []*node
	store     *platform.Platform
	// storeDelay bounds the random delay of a store call's request and of its
	// response.
	storeDelay time.Duration
	watches    []*watch
	endpoints  []*endpoint
	// accepted holds the text of each revision that the store accepted.
	accepted map[uint64]string
	// linkDelay and linkJitter apply to links between zones.
	linkDelay      time.Duration
	linkJitter     time.Duration
	cells          int
	watchCalls     int
	uncountedReads int
	callsBefore    platform.Calls
}

type node struct {
	sim         *simulation
	index       int
	config      Config
	m           *Member
	running     bool
	generation  int
	partition   int
	paused      bool
	backlog     []func()
	endpoints   map[messenger.Session]*endpoint
	lastSession messenger.Session
	nextFlush   time.Time
	// revision is the highest revision in force since the last start.
	revision  uint64
	adoptedAt time.Time
	// sent and received count bytes, messages counts messages in both
	// directions.
	sent     int
	received int
	messages int
}

// endpoint is one side of a session.
type endpoint struct {
	owner      *node
	generation int
	id         messenger.Session
	peer       *endpoint
	open       bool
	// broken sessions lose all messages until one side closes them.
	broken  bool
	arrival time.Time
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	return &simulation{
		t:          t,
		now:        time.Unix(1_700_000_000, 0),
		startTime:  time.Unix(1_700_000_000, 0),
		random:     rand.New(rand.NewPCG(seed, 1)),
		store:      &platform.Platform{Seed: seed},
		storeDelay: 5 * time.Millisecond,
		accepted:   map[uint64]string{},
		linkDelay:  4 * time.Millisecond,
		linkJitter: time.Millisecond,
	}
}

func (sim *simulation) add(role gooseberrymast.Role, zone string, service string, seeds []netip.AddrPort) *node {
	index := len(sim.nodes)
	address := netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)})
	record := gooseberrymast.Record{
		Identity: gooseberrymast.Identity{Address: netip.AddrPortFrom(address, 7000)},
		Control:  netip.AddrPortFrom(address, 7001),
		Role:     role,
		Zone:     zone,
	}
	if role == gooseberrymast.RoleAgent {
		record.Service = gooseberrymast.TagOf(service)
	}
	n := &node{sim: sim, index: index, config: Config{
		Environment:    testEnvironment,
		Record:         record,
		Seeds:          seeds,
		CellsPerZone:   sim.cells,
		Store:          role == gooseberrymast.RoleBalancer,
		Parse:          parseTest,
		DecodeRevision: translator.DecodeRevision,
		EncodeCell:     translator.EncodeCell,
		DecodeCell:     translator.DecodeCell,
	}}
	sim.nodes = append(sim.nodes, n)
	return n
}

func parseTest(text []byte) (gooseberrymast.Document, error) {
	if len(text) == 0 {
		return gooseberrymast.Document{}, errors.New("empty document")
	}
	document := gooseberrymast.Document{Services: map[string]gooseberrymast.Service{}}
	for line := range strings.Lines(string(text)) {
		name, value, found := strings.Cut(strings.TrimSpace(line), "=")
		if queue, err := strconv.Atoi(value); found && err == nil {
			document.Services[name] = gooseberrymast.Service{Limits: gooseberrymast.Limits{Queue: queue}}
		}
	}
	return document, nil
}

func controlOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)}), 7001)
}

// start starts the node with a new member and a higher incarnation.
func (n *node) start() {
	n.generation++
	n.running = true
	n.paused = false
	n.backlog = nil
	n.endpoints = map[messenger.Session]*endpoint{}
	n.revision = 0
	n.nextFlush = time.Time{}
	config := n.config
	config.Record.Identity.Incarnation = gooseberrymast.Incarnation(n.generation)
	config.Random = rand.New(rand.NewPCG(uint64(n.index), uint64(n.generation)))
	n.m = New(config)
	n.dispatch(n.m.Start)
	if config.Record.Role == gooseberrymast.RoleAgent {
		n.dispatch(func(now time.Time) Actions { return n.m.RequestState(now, gooseberrymast.StateReady) })
	}
	n.tick(time.Duration(n.sim.random.Int64N(int64(time.Second))))
}

func (n *node) tick(in time.Duration) {
	generation := n.generation
	n.sim.after(in, func() {
		if n.generation != generation || !n.running {
			return
		}
		if !n.paused {
			n.dispatch(n.m.Tick)
		}
		n.tick(time.Second)
	})
}

// dispatch passes an event to the node's member; if the node is paused, once it
// resumes.
func (n *node) dispatch(event func(now time.Time) Actions) {
	if !n.running {
		return
	}
	if n.paused {
		generation := n.generation
		n.backlog = append(n.backlog, func() {
			if n.generation == generation {
				n.dispatch(event)
			}
		})
		return
	}
	n.perform(event(n.sim.now))
	n.schedule()
}

func (n *node) schedule() {
	next := n.m.NextFlush()
	if next.IsZero() || next.Equal(n.nextFlush) {
		return
	}
	n.nextFlush = next
	generation := n.generation
	n.sim.after(max(next.Sub(n.sim.now), 0), func() {
		if n.generation == generation && n.running && n.nextFlush.Equal(next) {
			n.nextFlush = time.Time{}
			n.dispatch(n.m.Flush)
		}
	})
}

func (n *node) perform(actions Actions) {
	if adopted := actions.Adopted; adopted != nil {
		n.sim.checkAdoption(n, adopted.Revision)
	}
	for _, address := range actions.Dials {
		n.sim.dial(n, address)
	}
	for _, send := range actions.Sends {
		if e := n.endpoints[send.Session]; e != nil {
			n.sim.deliver(e, send.Message)
		}
	}
	for _, id := range actions.Closes {
		if e := n.endpoints[id]; e != nil {
			n.sim.close(e)
		}
	}
	for _, call := range actions.Calls {
		n.sim.call(n, call)
	}
}

func (sim *simulation) checkAdoption(n *node, revision gooseberrymast.Revision) {
	if revision.Number <= n.revision {
		sim.t.Fatalf("node %d went from revision %d to %d", n.index, n.revision, revision.Number)
	}
	sim.checkText(n, revision)
	n.revision = revision.Number
	n.adoptedAt = sim.now
}

// checkText asserts that the document in force is the accepted one; at an agent
// without the text, that the section of its own service is.
func (sim *simulation) checkText(n *node, revision gooseberrymast.Revision) {
	text := sim.accepted[revision.Number]
	if n.m.isBalancer() || n.m.adopter.TextNumber == revision.Number {
		if text != string(revision.Text) {
			sim.t.Fatalf("node %d has text %q in force for revision %d, accepted was %q", n.index, revision.Text, revision.Number, text)
		}
		return
	}
	document, err := parseTest([]byte(text))
	if err != nil {
		sim.t.Fatal(err)
	}
	tag := n.config.Record.Service
	if adopter.SectionOf(document, tag) != adopter.SectionOf(n.m.Document(), tag) {
		sim.t.Fatalf("node %d has another section of its service in force than revision %d", n.index, revision.Number)
	}
}

// reachable reports whether two nodes are in the same network partition.
func (sim *simulation) reachable(a, b *node) bool {
	return a.partition == b.partition
}

func (sim *simulation) delay(a, b *node) time.Duration {
	jitter := time.Duration(sim.random.Int64N(int64(sim.linkJitter) + 1))
	if a.config.Record.Zone == b.config.Record.Zone {
		return time.Millisecond + jitter
	}
	return sim.linkDelay + jitter
}

func (sim *simulation) dial(n *node, address netip.AddrPort) {
	index := int(address.Addr().As4()[1])<<16 | int(address.Addr().As4()[2])<<8 | int(address.Addr().As4()[3])
	target := sim.nodes[index]
	generation := n.generation
	refuse := func() {
		if n.generation == generation {
			n.dispatch(func(now time.Time) Actions { return n.m.HandleDialFailure(now, address) })
		}
	}
	if !sim.reachable(n, target) || target.paused {
		sim.after(5*time.Second, refuse)
		return
	}
	sim.after(3*sim.delay(n, target), func() {
		if n.generation != generation || !n.running {
			return
		}
		if !target.running || !sim.reachable(n, target) {
			refuse()
			return
		}
		sim.connect(n, target, address)
	})
}

func (sim *simulation) connect(n, target *node, address netip.AddrPort) {
	local := &endpoint{owner: n, generation: n.generation, open: true}
	remote := &endpoint{owner: target, generation: target.generation, open: true, peer: local}
	local.peer = remote
	for _, e := range []*endpoint{remote, local} {
		e.owner.lastSession++
		e.id = e.owner.lastSession
		e.owner.endpoints[e.id] = e
		sim.endpoints = append(sim.endpoints, e)
	}
	target.dispatch(func(now time.Time) Actions { return target.m.HandleConnection(now, remote.id, netip.AddrPort{}) })
	n.dispatch(func(now time.Time) Actions { return n.m.HandleConnection(now, local.id, address) })
}

func (sim *simulation) deliver(from *endpoint, message *messenger.Message) {
	raw, err := proto.Marshal(translator.Encode(message))
	if err != nil {
		sim.t.Fatal(err)
	}
	from.owner.sent += len(raw)
	from.owner.messages++
	sim.transmit(from, func(to *endpoint) {
		to.owner.received += len(raw)
		to.owner.messages++
		var frame control.Message
		if err := proto.Unmarshal(raw, &frame); err != nil {
			sim.t.Fatal(err)
		}
		decoded, err := translator.Decode(&frame)
		if err != nil {
			sim.t.Fatal(err)
		}
		to.owner.dispatch(func(now time.Time) Actions { return to.owner.m.HandleMessage(now, to.id, decoded) })
	})
}

// transmit schedules an event at the other endpoint, in order.
func (sim *simulation) transmit(from *endpoint, event func(to *endpoint)) {
	to := from.peer
	at := sim.now.Add(sim.delay(from.owner, to.owner))
	if at.Before(to.arrival) {
		at = to.arrival
	}
	to.arrival = at
	sim.after(at.Sub(sim.now), func() {
		if !sim.reachable(from.owner, to.owner) {
			from.broken = true
			to.broken = true
		}
		if to.open && !to.broken && to.owner.generation == to.generation {
			event(to)
		}
	})
}

func (sim *simulation) close(e *endpoint) {
	if !e.open {
		return
	}
	e.open = false
	delete(e.owner.endpoints, e.id)
	sim.transmit(e, sim.handleClosed)
}

// handleClosed reports to the owner of an endpoint that its session has ended.
func (sim *simulation) handleClosed(e *endpoint) {
	if !e.open || e.owner.generation != e.generation {
		return
	}
	e.open = false
	delete(e.owner.endpoints, e.id)
	e.owner.dispatch(func(now time.Time) Actions { return e.owner.m.HandleClose(now, e.id) })
}

// kill stops a node. It closes the node's sessions, or if silent lets them lose
// all messages until the peers close them.
func (sim *simulation) kill(n *node, silent bool) {
	n.running = false
	for _, e := range sim.endpoints {
		if e.owner != n || !e.open || e.generation != n.generation {
			continue
		}
		if silent {
			e.broken = true
			e.peer.broken = true
			e.open = false
			continue
		}
		sim.close(e)
	}
}

func (sim *simulation) resume(n *node) {
	if !n.paused {
		return
	}
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, event := range backlog {
		event()
	}
}

// healPartition lets all nodes reach each other again and ends the sessions
// that lost messages.
func (sim *simulation) healPartition() {
	for _, n := range sim.nodes {
		n.partition = 0
	}
	for _, e := range sim.endpoints {
		if e.broken && e.open {
			broken := e
			sim.after(sim.linkDelay, func() { sim.handleClosed(broken) })
		}
	}
}

func (sim *simulation) after(delay time.Duration, run func()) {
	sim.serial++
	heap.Push(&sim.queue, event{at: sim.now.Add(delay), serial: sim.serial, run: run})
}

// run advances the virtual time.
func (sim *simulation) run(by time.Duration) {
	end := sim.now.Add(by)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

type event struct {
	at     time.Time
	serial uint64
	run    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
