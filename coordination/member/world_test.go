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

// world runs members in virtual time over fake sessions and the stand-in for
// the platform's store. One seed gives one run.
type world struct {
	t      testing.TB
	now    time.Time
	begun  time.Time
	random *rand.Rand
	queue  events
	serial uint64
	nodes  []*node
	store  *platform.Platform
	// storeDelay bounds the random delay of each half of a store call.
	storeDelay time.Duration
	watches    []*watch
	ends       []*end
	// accepted holds the text of each revision that the store took.
	accepted map[uint64]string
	// linkDelay and linkJitter are those of a link between zones.
	linkDelay   time.Duration
	linkJitter  time.Duration
	cells       int
	watchCalls  int
	peeks       int
	callsBefore platform.Calls
}

type node struct {
	world   *world
	index   int
	config  Config
	m       *Member
	alive   bool
	life    int
	group   int
	paused  bool
	backlog []func()
	ends    map[messenger.Session]*end
	last    messenger.Session
	wake    time.Time
	// revision is the highest that was ever in force in this life.
	revision  uint64
	adoptedAt time.Time
	// sent and received count bytes of messages, messages their number.
	sent     int
	received int
	messages int
}

// end is one side of a session.
type end struct {
	owner *node
	life  int
	id    messenger.Session
	peer  *end
	open  bool
	// broken sessions lose everything until one side gives up.
	broken  bool
	arrival time.Time
}

func newWorld(t testing.TB, seed uint64) *world {
	return &world{
		t:          t,
		now:        time.Unix(1_700_000_000, 0),
		begun:      time.Unix(1_700_000_000, 0),
		random:     rand.New(rand.NewPCG(seed, 1)),
		store:      &platform.Platform{Seed: seed},
		storeDelay: 5 * time.Millisecond,
		accepted:   map[uint64]string{},
		linkDelay:  4 * time.Millisecond,
		linkJitter: time.Millisecond,
	}
}

func (w *world) add(role gooseberrymast.Role, zone string, service string, seeds []netip.AddrPort) *node {
	index := len(w.nodes)
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
	n := &node{world: w, index: index, config: Config{
		Environment:    testEnvironment,
		Record:         record,
		Seeds:          seeds,
		CellsPerZone:   w.cells,
		Store:          role == gooseberrymast.RoleBalancer,
		Parse:          parseTest,
		DecodeRevision: translator.DecodeRevision,
		EncodeCell:     translator.EncodeCell,
		DecodeCell:     translator.DecodeCell,
	}}
	w.nodes = append(w.nodes, n)
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

// start begins a new life of the node.
func (n *node) start() {
	n.life++
	n.alive = true
	n.paused = false
	n.backlog = nil
	n.ends = map[messenger.Session]*end{}
	n.revision = 0
	n.wake = time.Time{}
	config := n.config
	config.Record.Identity.Incarnation = gooseberrymast.Incarnation(n.life)
	config.Random = rand.New(rand.NewPCG(uint64(n.index), uint64(n.life)))
	n.m = New(config)
	n.do(n.m.Start)
	if config.Record.Role == gooseberrymast.RoleAgent {
		n.do(func(now time.Time) Actions { return n.m.Move(now, gooseberrymast.StateReady) })
	}
	n.tick(time.Duration(n.world.random.Int64N(int64(time.Second))))
}

func (n *node) tick(in time.Duration) {
	life := n.life
	n.world.after(in, func() {
		if n.life != life || !n.alive {
			return
		}
		if !n.paused {
			n.do(n.m.Tick)
		}
		n.tick(time.Second)
	})
}

// do hands an event to the node's member, later if the node is paused.
func (n *node) do(event func(now time.Time) Actions) {
	if !n.alive {
		return
	}
	if n.paused {
		life := n.life
		n.backlog = append(n.backlog, func() {
			if n.life == life {
				n.do(event)
			}
		})
		return
	}
	n.perform(event(n.world.now))
	n.schedule()
}

func (n *node) schedule() {
	next := n.m.NextTick()
	if next.IsZero() || next.Equal(n.wake) {
		return
	}
	n.wake = next
	life := n.life
	n.world.after(max(next.Sub(n.world.now), 0), func() {
		if n.life == life && n.alive && n.wake.Equal(next) {
			n.wake = time.Time{}
			n.do(n.m.Flush)
		}
	})
}

func (n *node) perform(actions Actions) {
	if adopted := actions.Adopted; adopted != nil {
		n.world.checkAdoption(n, adopted.Revision)
	}
	for _, address := range actions.Dials {
		n.world.dial(n, address)
	}
	for _, send := range actions.Sends {
		if e := n.ends[send.Session]; e != nil {
			n.world.deliver(e, send.Message)
		}
	}
	for _, id := range actions.Closes {
		if e := n.ends[id]; e != nil {
			n.world.close(e)
		}
	}
	for _, call := range actions.Calls {
		n.world.call(n, call)
	}
}

func (w *world) checkAdoption(n *node, revision gooseberrymast.Revision) {
	if revision.Number <= n.revision {
		w.t.Fatalf("node %d went from revision %d to %d", n.index, n.revision, revision.Number)
	}
	w.checkText(n, revision)
	n.revision = revision.Number
	n.adoptedAt = w.now
}

// checkText asserts that the document in force is the accepted one, at an agent
// in what it says of the own service.
func (w *world) checkText(n *node, revision gooseberrymast.Revision) {
	text := w.accepted[revision.Number]
	if n.m.isBalancer() || n.m.adopter.TextNumber == revision.Number {
		if text != string(revision.Text) {
			w.t.Fatalf("node %d has text %q in force for revision %d, accepted was %q", n.index, revision.Text, revision.Number, text)
		}
		return
	}
	document, err := parseTest([]byte(text))
	if err != nil {
		w.t.Fatal(err)
	}
	tag := n.config.Record.Service
	if adopter.SectionOf(document, tag) != adopter.SectionOf(n.m.Document(), tag) {
		w.t.Fatalf("node %d runs its service by another document than revision %d", n.index, revision.Number)
	}
}

// linked reports whether packets pass between two nodes.
func (w *world) linked(a, b *node) bool {
	return a.group == b.group
}

func (w *world) delay(a, b *node) time.Duration {
	jitter := time.Duration(w.random.Int64N(int64(w.linkJitter) + 1))
	if a.config.Record.Zone == b.config.Record.Zone {
		return time.Millisecond + jitter
	}
	return w.linkDelay + jitter
}

func (w *world) dial(n *node, address netip.AddrPort) {
	index := int(address.Addr().As4()[1])<<16 | int(address.Addr().As4()[2])<<8 | int(address.Addr().As4()[3])
	target := w.nodes[index]
	life := n.life
	refuse := func() {
		if n.life == life {
			n.do(func(now time.Time) Actions { return n.m.Refused(now, address) })
		}
	}
	if !w.linked(n, target) || target.paused {
		w.after(5*time.Second, refuse)
		return
	}
	w.after(3*w.delay(n, target), func() {
		if n.life != life || !n.alive {
			return
		}
		if !target.alive || !w.linked(n, target) {
			refuse()
			return
		}
		w.connect(n, target, address)
	})
}

func (w *world) connect(n, target *node, address netip.AddrPort) {
	near := &end{owner: n, life: n.life, open: true}
	far := &end{owner: target, life: target.life, open: true, peer: near}
	near.peer = far
	for _, e := range []*end{far, near} {
		e.owner.last++
		e.id = e.owner.last
		e.owner.ends[e.id] = e
		w.ends = append(w.ends, e)
	}
	target.do(func(now time.Time) Actions { return target.m.Connected(now, far.id, netip.AddrPort{}) })
	n.do(func(now time.Time) Actions { return n.m.Connected(now, near.id, address) })
}

func (w *world) deliver(from *end, message *messenger.Message) {
	raw, err := proto.Marshal(translator.Encode(message))
	if err != nil {
		w.t.Fatal(err)
	}
	from.owner.sent += len(raw)
	from.owner.messages++
	w.arrive(from, func(to *end) {
		to.owner.received += len(raw)
		to.owner.messages++
		var frame control.Message
		if err := proto.Unmarshal(raw, &frame); err != nil {
			w.t.Fatal(err)
		}
		decoded, err := translator.Decode(&frame)
		if err != nil {
			w.t.Fatal(err)
		}
		to.owner.do(func(now time.Time) Actions { return to.owner.m.Received(now, to.id, decoded) })
	})
}

// arrive lets something pass from one end to the other, in order.
func (w *world) arrive(from *end, event func(to *end)) {
	to := from.peer
	at := w.now.Add(w.delay(from.owner, to.owner))
	if at.Before(to.arrival) {
		at = to.arrival
	}
	to.arrival = at
	w.after(at.Sub(w.now), func() {
		if !w.linked(from.owner, to.owner) {
			from.broken = true
			to.broken = true
		}
		if to.open && !to.broken && to.owner.life == to.life {
			event(to)
		}
	})
}

func (w *world) close(e *end) {
	if !e.open {
		return
	}
	e.open = false
	delete(e.owner.ends, e.id)
	w.arrive(e, w.ended)
}

// ended tells the owner of an end that its session is over.
func (w *world) ended(e *end) {
	if !e.open || e.owner.life != e.life {
		return
	}
	e.open = false
	delete(e.owner.ends, e.id)
	e.owner.do(func(now time.Time) Actions { return e.owner.m.Closed(now, e.id) })
}

// kill ends a node's life. Peers learn of it at once unless it is silent.
func (w *world) kill(n *node, silent bool) {
	n.alive = false
	for _, e := range w.ends {
		if e.owner != n || !e.open || e.life != n.life {
			continue
		}
		if silent {
			e.broken = true
			e.peer.broken = true
			e.open = false
			continue
		}
		w.close(e)
	}
}

func (w *world) resume(n *node) {
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

// heal lets all nodes reach each other; sessions that lost something end.
func (w *world) heal() {
	for _, n := range w.nodes {
		n.group = 0
	}
	for _, e := range w.ends {
		if e.broken && e.open {
			broken := e
			w.after(w.linkDelay, func() { w.ended(broken) })
		}
	}
}

func (w *world) after(delay time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, event{at: w.now.Add(delay), serial: w.serial, run: run})
}

// run lets time pass.
func (w *world) run(by time.Duration) {
	end := w.now.Add(by)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
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
