// Package directory holds the records of all processes of an environment. The
// newest record of an address wins, whatever order the news comes in.
//
// One goroutine at a time may change a directory; any may read it. Routers
// read the published Table and take no lock.
package directory

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrymast"
	"gooseberrymast/state/asserter"
)

// shardCount is the number of shards, each under its own lock.
const shardCount = 16

// The default timeouts of a directory.
const (
	DefaultReattachTimeout = 10 * time.Second
	DefaultForgetTimeout   = 4 * time.Hour
	DefaultTombstoneTTL    = 10 * time.Minute
)

// Directory holds one entry for each address. The zero value is empty and
// ready for use.
type Directory struct {
	// CellsPerZone divides each availability zone; zero is one cell.
	CellsPerZone int
	// ReattachTimeout is the time that a process has to find new registrars
	// after its own are lost, before it is suspect.
	ReattachTimeout time.Duration
	// ForgetTimeout is the time after which a suspect entry is dropped. It
	// is taught to nobody after half that time.
	ForgetTimeout time.Duration
	// TombstoneTTL is the time for which a gone entry is kept.
	TombstoneTTL time.Duration
	// Told is set in an agent's directory: it doesn't hold the registrars'
	// records, and Tell alone says who is suspect.
	Told bool

	shards [shardCount]shard
	zones  zoneNames
	// epoch is the zero of the directory's clock.
	epoch     time.Time
	services  map[gooseberrymast.ServiceTag]*service
	dependent map[Key][]Key
	cells     cells
	checks    checks
	// aging holds the entries that are suspect or gone.
	aging map[Key]struct{}
	// balancers is nil when it has to be listed anew.
	balancers  []Balancer
	published  atomic.Pointer[gooseberrymast.Table]
	changed    map[gooseberrymast.ServiceTag]struct{}
	suspicions []Key
	// unreachable is this process's own judgement, told to nobody.
	unreachable map[Key]struct{}
}

type shard struct {
	mu      sync.RWMutex
	entries map[Key]packed
}

// Apply takes one entry as the writer announced it or a peer passed it on. It
// reports whether the entry told something new.
func (d *Directory) Apply(now time.Time, entry Entry) bool {
	d.start(now)
	fresh := d.pack(entry)
	asserter.Holds(fresh.incarnation > 0, "record-has-incarnation", "record of %s has none", entry.Record.Identity)
	if fresh.incarnation == 0 || fresh.key == 0 {
		return false
	}
	known, found := d.get(fresh.key)
	if !found {
		d.insert(now, fresh)
		return true
	}
	if fresh.sameVersion(known) {
		return d.merge(now, known, fresh)
	}
	if !fresh.newer(known) {
		return false
	}
	d.checkOrder(known, fresh)
	d.remove(known)
	d.insert(now, fresh)
	return true
}

// Get gives the entry of an address.
func (d *Directory) Get(address netip.AddrPort) (Entry, bool) {
	p, found := d.get(KeyOf(address))
	if !found {
		return Entry{}, false
	}
	return d.unpack(p), true
}

// Lookup gives the entry of a key.
func (d *Directory) Lookup(key Key) (Entry, bool) {
	p, found := d.get(key)
	if !found {
		return Entry{}, false
	}
	return d.unpack(p), true
}

// Suspect reports whether the process at a key is suspect, gone or unknown.
func (d *Directory) Suspect(key Key) bool {
	p, found := d.get(key)
	return !found || p.suspect || p.state == gooseberrymast.StateGone
}

// Len counts the entries, tombstones included.
func (d *Directory) Len() int {
	n := 0
	for i := range d.shards {
		d.shards[i].mu.RLock()
		n += len(d.shards[i].entries)
		d.shards[i].mu.RUnlock()
	}
	return n
}

// Live counts the entries that are neither suspect nor gone.
func (d *Directory) Live() int {
	return d.Len() - len(d.aging)
}

// Replace drops the entries of a service that a full list doesn't name. An
// agent uses it, since it isn't told of entries that balancers forget.
func (d *Directory) Replace(tag gooseberrymast.ServiceTag, keep map[Key]struct{}) {
	s := d.services[tag]
	if s == nil {
		return
	}
	for _, key := range append([]Key(nil), s.keys...) {
		if _, ok := keep[key]; ok {
			continue
		}
		if p, found := d.get(key); found {
			d.remove(p)
		}
	}
}

func (d *Directory) start(now time.Time) {
	if d.services != nil {
		return
	}
	d.epoch = now
	d.services = map[gooseberrymast.ServiceTag]*service{}
	d.dependent = map[Key][]Key{}
	d.aging = map[Key]struct{}{}
	d.changed = map[gooseberrymast.ServiceTag]struct{}{}
}

// merge takes a second copy of a known version. Only its losses can be new.
func (d *Directory) merge(now time.Time, known, fresh packed) bool {
	asserter.Holds(known.sameContent(fresh), "one-writer-for-each-record",
		"two records of %s#%d with sequence %d", known.key.Address(), known.incarnation, known.sequence)
	if fresh.loss|known.loss == known.loss {
		return false
	}
	updated := known
	updated.loss |= fresh.loss
	d.update(now, known, updated)
	return true
}

// checkOrder asserts that a process doesn't move back in its states.
func (d *Directory) checkOrder(known, fresh packed) {
	if known.incarnation != fresh.incarnation {
		return
	}
	asserter.Holds(fresh.state >= known.state, "state-never-moves-back",
		"%s#%d went from %s to %s", known.key.Address(), known.incarnation, known.state, fresh.state)
}

func (d *Directory) insert(now time.Time, p packed) {
	p.since = d.clock(now)
	d.put(p)
	d.serviceOf(p.service).add(p.key)
	d.change(p.service)
	for _, registrar := range p.registrars {
		d.addDependent(registrar, p.key)
	}
	d.toggle(p, 1)
	d.judge(now, p.key)
	d.judgeDependents(now, p.key)
}

func (d *Directory) remove(p packed) {
	current, found := d.get(p.key)
	if !found {
		return
	}
	s := d.shardOf(p.key)
	s.mu.Lock()
	delete(s.entries, p.key)
	s.mu.Unlock()
	d.serviceOf(p.service).remove(p.key)
	d.change(p.service)
	for _, registrar := range p.registrars {
		d.removeDependent(registrar, p.key)
	}
	if !current.hidden {
		d.toggle(current, -1)
	}
	delete(d.aging, p.key)
}

// update replaces an entry by one of the same version.
func (d *Directory) update(now time.Time, known, updated packed) {
	if !known.hidden {
		d.toggle(known, -1)
	}
	if !updated.hidden {
		d.toggle(updated, 1)
	}
	d.put(updated)
	d.change(updated.service)
	if known.loss != updated.loss {
		d.judge(now, updated.key)
	}
}

func (d *Directory) change(tag gooseberrymast.ServiceTag) {
	if tag == balancerTag {
		d.balancers = nil
		return
	}
	d.changed[tag] = struct{}{}
}

func (d *Directory) get(key Key) (packed, bool) {
	s := d.shardOf(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, found := s.entries[key]
	return p, found
}

func (d *Directory) put(p packed) {
	s := d.shardOf(p.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = map[Key]packed{}
	}
	s.entries[p.key] = p
}

func (d *Directory) shardOf(key Key) *shard {
	return &d.shards[key.Hash()%shardCount]
}
