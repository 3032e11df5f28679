// Package member implements one process's, balancer's or agent's, participation
// in the membership and configuration protocol of its environment. It is a
// state machine without I/O: events and the current time go in, actions come
// out.
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

// Config holds the settings and dependencies of a member.
type Config struct {
	// Environment is the name of the member's environment.
	Environment string
	// Record is the member's own record. State and sequence are set by the
	// member.
	Record gooseberrymast.Record
	// Seeds are control addresses of balancers, possibly including the member's
	// own. Joining an environment needs at least one other balancer's.
	Seeds []netip.AddrPort
	// CellsPerZone is the number of cells of each availability zone; zero means
	// one. All processes of an environment must agree on it.
	CellsPerZone int
	// Store is set for a balancer that has access to the platform's store.
	Store bool
	// Parse decodes and checks a document.
	Parse func(text []byte) (gooseberrymast.Document, error)
	// DecodeRevision decodes the value of the document's object in the store.
	DecodeRevision func(value []byte) (gooseberrymast.Revision, error)
	// EncodeCell and DecodeCell encode and decode the values of the cells'
	// objects in the store.
	EncodeCell func(cell messenger.Cell) []byte
	DecodeCell func(value []byte) (messenger.Cell, error)
	// Random is the only source of randomness.
	Random *rand.Rand
}

// Member is the state machine of one process. Its methods must not be called
// concurrently.
type Member struct {
	Config
	// Directory holds the known records of all processes.
	Directory directory.Directory
	Counters  Counters

	announcer announcer.Announcer
	registrar registrar.Registrar
	spreader  spreader.Spreader
	reporter  reporter.Reporter
	adopter   adopter.Adopter
	actions   Actions
	self      directory.Key
	started   time.Time
	// targetState is the highest state that RequestState has requested.
	targetState gooseberrymast.State
	// firstAdopted is when the first revision came into force.
	firstAdopted time.Time
	dials        map[netip.AddrPort]*dialState
	// advice lists the control addresses of the balancers that this agent was
	// advised to connect to.
	advice []netip.AddrPort
	// reportedBalancers holds the addresses in the last Actions.Balancers.
	reportedBalancers []netip.AddrPort
	// primary is the session with the upstream peer, the source of updates;
	// zero if there is none.
	primary messenger.Session
	// offeredRevisions holds the last revision scheduled for each session.
	offeredRevisions map[messenger.Session]uint64
	// sentAdvice holds the last advice sent to each agent's session.
	sentAdvice map[messenger.Session][]netip.AddrPort
	// digestDiffers records for each session with a balancer whether the digest
	// in the peer's last heartbeat differed from this member's.
	digestDiffers map[messenger.Session]bool
	nextRepair    time.Time
	nextProbe     time.Time
	// retryProbe is the address of the last failed probe, or zero. The next probe
	// dials it again if its dial delay has passed, and otherwise drops it.
	retryProbe      netip.AddrPort
	documentWatcher watcher.Watcher
	leasers         map[directory.CellID]*leaser.Leaser
	// cellRanks holds this balancer's rank among the lease candidates of each
	// cell that it serves; candidatesPerCell marks a cell being given up.
	cellRanks map[directory.CellID]int
	// rankedBalancers and rankedCells are the balancers and the number of cells
	// that cellRanks was computed from.
	rankedBalancers []directory.Balancer
	rankedCells     int
	cachedPosition  treePosition
	// advisedBalancers is the list of balancers that agents were last advised
	// from.
	advisedBalancers []directory.Balancer
	// callOwners maps the IDs of pending store calls to their owners.
	callOwners map[uint64]string
	lastCallID uint64
	storeDown  bool
	discovery  discovery
	// queryOrigins maps the IDs of forwarded queries to their origins.
	queryOrigins map[uint64]origin
	lastQueryID  uint64
	// lastRefutation is when the member last raised the sequence or incarnation
	// of its own record in response to a received entry.
	lastRefutation time.Time
}

// New returns a member that has not been started.
func New(config Config) *Member {
	m := &Member{
		Config:           config,
		targetState:      gooseberrymast.StateStarting,
		dials:            map[netip.AddrPort]*dialState{},
		offeredRevisions: map[messenger.Session]uint64{},
		sentAdvice:       map[messenger.Session][]netip.AddrPort{},
		digestDiffers:    map[messenger.Session]bool{},
		leasers:          map[directory.CellID]*leaser.Leaser{},
		callOwners:       map[uint64]string{},
		queryOrigins:     map[uint64]origin{},
	}
	m.Directory.CellsPerZone = config.CellsPerZone
	m.adopter.Environment = config.Environment
	m.adopter.Parse = config.Parse
	m.documentWatcher.Key = gooseberrymast.DocumentKey(config.Environment)
	m.documentWatcher.Random = config.Random
	m.Directory.SuspicionReported = !m.isBalancer()
	if m.isBalancer() {
		m.targetState = gooseberrymast.StateReady
	}
	return m
}

// Start begins announcing the member's record.
func (m *Member) Start(now time.Time) Actions {
	m.started = now
	m.nextProbe = now.Add(m.jitter(probeInterval))
	m.nextRepair = now.Add(m.jitter(repairInterval))
	m.announcer.Begin(m.Record)
	m.self = directory.KeyOf(m.Record.Identity.Address)
	m.Directory.Apply(now, m.announcer.Entry)
	return m.finish(now, true)
}

// RequestState requests a state of the member's own record; a lower state than
// requested before is ignored. The ready state is announced only once a
// revision is in force.
func (m *Member) RequestState(now time.Time, state gooseberrymast.State) Actions {
	m.targetState = max(m.targetState, state)
	if state >= gooseberrymast.StateLeaving {
		m.releaseCells(now)
	}
	return m.finish(now, true)
}

// Tick performs all work that is due. It must be called about once a second.
func (m *Member) Tick(now time.Time) Actions {
	m.Directory.Expire(now)
	for _, id := range m.registrar.Silent(now) {
		m.Counters.SilentSessions++
		m.removeSession(now, id)
		m.actions.Closes = append(m.actions.Closes, id)
	}
	m.reportLostWriters(now)
	m.openProbe(now)
	m.closeExpiredProbes(now)
	m.adviseAgents()
	m.makeStoreCalls(now)
	m.acknowledgeRevision(now)
	m.sendRevisionNumbers(now)
	m.requestNewerRevisions(now)
	m.sendDueHeartbeats(now)
	m.sendReport(now)
	m.refuteRecordedLoss(now)
	return m.finish(now, true)
}

// NextFlush returns when Flush should next be called, or zero if no delta is
// pending.
func (m *Member) NextFlush() time.Time {
	return m.spreader.Next()
}

// Flush sends the deltas that are due.
func (m *Member) Flush(now time.Time) Actions {
	return m.finish(now, false)
}

// Identity returns the member's own identity. Its incarnation is raised when a
// record of an earlier incarnation of the same address is received.
func (m *Member) Identity() gooseberrymast.Identity {
	return m.announcer.Entry.Record.Identity
}

// State returns the state in the member's own record.
func (m *Member) State() gooseberrymast.State {
	return m.announcer.Entry.Record.State
}

// Revision returns the revision in force; its number is zero if there is none.
func (m *Member) Revision() gooseberrymast.Revision {
	return m.adopter.Current
}

// Document returns the document in force.
func (m *Member) Document() gooseberrymast.Document {
	return m.adopter.Document
}

// finish completes the handling of an event and returns the resulting actions.
func (m *Member) finish(now time.Time, updateSessions bool) Actions {
	if updateSessions {
		m.advanceState(now)
		m.updateSessions(now)
	}
	m.sendSuspicions()
	m.sendDueDeltas(now)
	if table, changed := m.Directory.Publish(m.adopter.Current.Number); changed {
		m.actions.Table = table
	}
	actions := m.actions
	m.actions = Actions{}
	return actions
}

// advanceState announces the target state as soon as its conditions hold.
func (m *Member) advanceState(now time.Time) {
	state := m.targetState
	if state == gooseberrymast.StateReady && !m.revisionSettled(now) {
		state = gooseberrymast.StateStarting
	}
	if m.announcer.SetState(state) {
		m.announce(now)
	}
}

// revisionSettled reports whether a revision is in force and peers and the
// store have had time to supply a newer one.
func (m *Member) revisionSettled(now time.Time) bool {
	if m.adopter.Current.Number == 0 {
		return false
	}
	waited := now.Sub(m.firstAdopted)
	if m.Store && !m.documentWatcher.Answered() {
		return waited >= storeSettleTime
	}
	return waited >= peerSettleTime
}

func (m *Member) isBalancer() bool {
	return m.Record.Role == gooseberrymast.RoleBalancer
}

// jitter returns a random delay within 25% of the given one.
func (m *Member) jitter(delay time.Duration) time.Duration {
	return delay*3/4 + time.Duration(m.Random.Int64N(int64(delay)/2+1))
}
