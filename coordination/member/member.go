// Package member is the part of one process, balancer or agent, in the
// membership and configuration of its environment. It is one state machine:
// events and the time go in, actions come out.
package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/adopter"
	"gooseberrymast/coordination/announcer"
	"gooseberrymast/coordination/leaser"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/coordination/registrar"
	"gooseberrymast/coordination/reporter"
	"gooseberrymast/coordination/spreader"
	"gooseberrymast/coordination/watcher"
	"gooseberrymast/state/directory"
)

// Config is what a member needs to know and to be given.
type Config struct {
	// Environment is the name of the member's environment.
	Environment string
	// Record is the own record: all but the state and the sequence is set.
	Record gooseberrymast.Record
	// Seeds are control addresses of balancers, the own one possibly among
	// them. At least one other's is needed to join an environment.
	Seeds []netip.AddrPort
	// CellsPerZone divides each availability zone; zero is one cell. It is
	// the same in the whole environment.
	CellsPerZone int
	// Store is set when the member is a balancer that has a store.
	Store bool
	// Parse decodes and checks a document.
	Parse func(text []byte) (gooseberrymast.Document, error)
	// DecodeRevision reads the value of the document's object.
	DecodeRevision func(value []byte) (gooseberrymast.Revision, error)
	// EncodeCell and DecodeCell write and read the values of cells' objects.
	EncodeCell func(cell messenger.Cell) []byte
	DecodeCell func(value []byte) (messenger.Cell, error)
	// Random is the only source of randomness.
	Random *rand.Rand
}

// Member is one process's part. Its methods must be called one at a time.
type Member struct {
	Config
	// Directory holds the records that the member knows.
	Directory directory.Directory
	// Counters count what happened.
	Counters Counters

	announcer announcer.Announcer
	registrar registrar.Registrar
	spreader  spreader.Spreader
	reporter  reporter.Reporter
	adopter   adopter.Adopter
	actions   Actions
	self      directory.Key
	started   time.Time
	wanted    gooseberrymast.State
	// inForce is when the first revision came into force.
	inForce time.Time
	dials   map[netip.AddrPort]*dial
	advice  []netip.AddrPort
	// told holds the balancers' addresses that Actions last named.
	told []netip.AddrPort
	// primary is the session that news is taken from, or zero.
	primary messenger.Session
	// offered is the revision that each session was last sent.
	offered map[messenger.Session]uint64
	// advised is the advice that each agent's session was last sent.
	advised map[messenger.Session][]netip.AddrPort
	// differing holds the digest that a peer's last heartbeat told, when it
	// wasn't the own one.
	differing  map[messenger.Session]bool
	nextRepair time.Time
	nextProbe  time.Time
	// reprobe is the address of a probe that failed, or zero.
	reprobe  netip.AddrPort
	document watcher.Watcher
	leasers  map[directory.CellID]*leaser.Leaser
	ranks    map[directory.CellID]int
	ranked   []directory.Balancer
	cells    int
	tree     tree
	// advisedOf is the list that agents were last advised from.
	advisedOf []directory.Balancer
	calls     map[uint64]string
	lastCall  uint64
	storeDown bool
	hints     hints
	queries   map[uint64]origin
	lastQuery uint64
	renewed   time.Time
}

// New makes a member that has not started.
func New(config Config) *Member {
	m := &Member{
		Config:    config,
		wanted:    gooseberrymast.StateStarting,
		dials:     map[netip.AddrPort]*dial{},
		offered:   map[messenger.Session]uint64{},
		advised:   map[messenger.Session][]netip.AddrPort{},
		differing: map[messenger.Session]bool{},
		leasers:   map[directory.CellID]*leaser.Leaser{},
		calls:     map[uint64]string{},
		queries:   map[uint64]origin{},
	}
	m.Directory.CellsPerZone = config.CellsPerZone
	m.adopter.Environment = config.Environment
	m.adopter.Parse = config.Parse
	m.document.Key = gooseberrymast.DocumentKey(config.Environment)
	m.document.Random = config.Random
	m.Directory.Told = !m.isBalancer()
	if m.isBalancer() {
		m.wanted = gooseberrymast.StateReady
	}
	return m
}

// Start begins to announce the member.
func (m *Member) Start(now time.Time) Actions {
	m.started = now
	m.nextProbe = now.Add(m.jitter(probeInterval))
	m.nextRepair = now.Add(m.jitter(repairInterval))
	m.announcer.Begin(m.Record)
	m.self = directory.KeyOf(m.Record.Identity.Address)
	m.Directory.Apply(now, m.announcer.Entry)
	return m.finish(now, true)
}

// Move asks for a state of the own record. Ready is announced once a revision
// is in force.
func (m *Member) Move(now time.Time, state gooseberrymast.State) Actions {
	m.wanted = max(m.wanted, state)
	if state >= gooseberrymast.StateLeaving {
		m.releaseCells(now)
	}
	return m.finish(now, true)
}

// Tick lets time pass. It is called about once a second, and at NextTick.
func (m *Member) Tick(now time.Time) Actions {
	m.Directory.Expire(now)
	for _, id := range m.registrar.Silent(now) {
		m.Counters.SilentSessions++
		m.drop(now, id)
		m.actions.Closes = append(m.actions.Closes, id)
	}
	m.markLost(now)
	m.probe(now)
	m.closeProbes(now)
	m.advise()
	m.useStore(now)
	m.acknowledge(now)
	m.tellNumbers(now)
	m.catchUp(now)
	m.beat(now)
	m.report(now)
	m.renewOwn(now)
	return m.finish(now, true)
}

// NextTick gives the time of the next delta, or zero when none is due before
// the next second.
func (m *Member) NextTick() time.Time {
	return m.spreader.Next()
}

// Flush sends the deltas that are due.
func (m *Member) Flush(now time.Time) Actions {
	return m.finish(now, false)
}

// Identity gives the own identity. Its incarnation rises when an earlier incarnation
// of the address is heard of.
func (m *Member) Identity() gooseberrymast.Identity {
	return m.announcer.Entry.Record.Identity
}

// State gives the state that the own record announces.
func (m *Member) State() gooseberrymast.State {
	return m.announcer.Entry.Record.State
}

// Revision gives the revision in force; its number is zero before any.
func (m *Member) Revision() gooseberrymast.Revision {
	return m.adopter.Current
}

// Document gives the document in force.
func (m *Member) Document() gooseberrymast.Document {
	return m.adopter.Document
}

// finish ends the handling of an event and gives the actions that follow.
func (m *Member) finish(now time.Time, attach bool) Actions {
	if attach {
		m.advance(now)
		m.attach(now)
	}
	m.tellSuspicions()
	m.flush(now)
	if table, changed := m.Directory.Publish(m.adopter.Current.Number); changed {
		m.actions.Table = table
	}
	actions := m.actions
	m.actions = Actions{}
	return actions
}

// advance moves the own record to the wanted state.
func (m *Member) advance(now time.Time) {
	state := m.wanted
	if state == gooseberrymast.StateReady && !m.gathered(now) {
		state = gooseberrymast.StateStarting
	}
	if m.announcer.Move(state) {
		m.announce(now)
	}
}

// gathered reports whether a revision is in force that peers and the store had
// time to supersede.
func (m *Member) gathered(now time.Time) bool {
	if m.adopter.Current.Number == 0 {
		return false
	}
	waited := now.Sub(m.inForce)
	if m.Store && !m.document.Read() {
		return waited >= storeTime
	}
	return waited >= gatherTime
}

func (m *Member) isBalancer() bool {
	return m.Record.Role == gooseberrymast.RoleBalancer
}

// jitter spreads a delay by a quarter in both directions.
func (m *Member) jitter(delay time.Duration) time.Duration {
	return delay*3/4 + time.Duration(m.Random.Int64N(int64(delay)/2+1))
}
