package directory

import (
	"maps"
	"math/bits"
	"slices"

	"gooseberrymast"
)

// balancerTag is the service tag in the records of balancers.
const balancerTag gooseberrymast.ServiceTag = 0

// service lists the keys of one service in order.
type service struct {
	keys []Key
}

func (s *service) add(key Key) {
	i, found := slices.BinarySearch(s.keys, key)
	if !found {
		s.keys = slices.Insert(s.keys, i, key)
	}
}

func (s *service) remove(key Key) {
	i, found := slices.BinarySearch(s.keys, key)
	if found {
		s.keys = slices.Delete(s.keys, i, i+1)
	}
}

func (d *Directory) serviceOf(tag gooseberrymast.ServiceTag) *service {
	s := d.services[tag]
	if s == nil {
		s = &service{}
		d.services[tag] = s
	}
	return s
}

// Table returns the last published snapshot, or nil before the first.
func (d *Directory) Table() *gooseberrymast.Table {
	return d.published.Load()
}

// Publish publishes a new snapshot if the entries or the revision changed since
// the last one, and reports whether it did. Unchanged services share their lists
// with the last snapshot.
func (d *Directory) Publish(revision uint64) (*gooseberrymast.Table, bool) {
	last := d.published.Load()
	if last != nil && len(d.changed) == 0 && last.Revision == revision {
		return last, false
	}
	table := &gooseberrymast.Table{Version: 1, Revision: revision}
	if last != nil {
		table.Version = last.Version + 1
		table.Services = last.Services
	}
	if len(d.changed) > 0 || last == nil {
		table.Services = d.rebuild(table.Services)
	}
	d.published.Store(table)
	return table, true
}

func (d *Directory) rebuild(old map[gooseberrymast.ServiceTag][]gooseberrymast.Member) map[gooseberrymast.ServiceTag][]gooseberrymast.Member {
	services := maps.Clone(old)
	if services == nil {
		services = map[gooseberrymast.ServiceTag][]gooseberrymast.Member{}
	}
	for tag := range d.changed {
		members := d.Members(tag)
		if len(members) == 0 {
			delete(services, tag)
			continue
		}
		services[tag] = members
	}
	clear(d.changed)
	return services
}

// Members lists the processes of a service that aren't in StateGone, sorted by
// address. The zero tag selects the balancers.
func (d *Directory) Members(tag gooseberrymast.ServiceTag) []gooseberrymast.Member {
	s := d.services[tag]
	if s == nil {
		return nil
	}
	members := make([]gooseberrymast.Member, 0, len(s.keys))
	for _, key := range s.keys {
		p, found := d.get(key)
		if !found || p.state == gooseberrymast.StateGone {
			continue
		}
		members = append(members, gooseberrymast.Member{Record: d.record(p), Suspect: p.suspect})
	}
	return members
}

// Tags lists the tags of services that have entries, without balancerTag.
func (d *Directory) Tags() []gooseberrymast.ServiceTag {
	tags := make([]gooseberrymast.ServiceTag, 0, len(d.services))
	for tag, s := range d.services {
		if tag != balancerTag && len(s.keys) > 0 {
			tags = append(tags, tag)
		}
	}
	slices.Sort(tags)
	return tags
}

// Balancer is a balancer that other processes may open sessions to.
type Balancer struct {
	Key     Key
	Control Key
	Zone    string
	// Hash is the key's hash.
	Hash uint64
	// Level is the balancer's level in the tree of peers. On average an eighth
	// of the balancers that reach a level also reach the next.
	Level int
}

// fanOutBits is the binary logarithm of the tree's fan-out.
const fanOutBits = 3

// LevelOf returns the level of the balancer whose key has the given hash.
func LevelOf(hash uint64) int {
	return bits.TrailingZeros64(hash) / fanOutBits
}

// Balancers lists the balancers that are starting or ready and not suspect,
// sorted by key. The list is shared and must not be changed.
func (d *Directory) Balancers() []Balancer {
	if d.balancers != nil {
		return d.balancers
	}
	balancers := []Balancer{}
	if s := d.services[balancerTag]; s != nil {
		for _, key := range s.keys {
			balancers = d.appendAvailable(balancers, key)
		}
	}
	d.balancers = balancers
	return balancers
}

func (d *Directory) appendAvailable(balancers []Balancer, key Key) []Balancer {
	p, found := d.get(key)
	if !found || p.suspect || p.role != gooseberrymast.RoleBalancer || p.state > gooseberrymast.StateReady {
		return balancers
	}
	hash := key.Hash()
	return append(balancers, Balancer{
		Key: key, Control: p.control, Zone: d.zones.name(p.zone), Hash: hash, Level: LevelOf(hash),
	})
}
