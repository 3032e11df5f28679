package directory

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"gooseberrymast"
)

// RegistrarCount is the number of registrars that an entry can name.
const RegistrarCount = 2

// Loss is a set of flags for the processes that lost the connection to the
// writer of a record. It is valid only for the record's incarnation and sequence.
type Loss uint8

// The flags of a Loss.
const (
	// LossFirst: the first registrar has no session with the writer.
	LossFirst Loss = 1 << iota
	// LossSecond: the second registrar has no session with the writer.
	LossSecond
	// LossUnreachable: a balancer could not connect to the writer, which is
	// a balancer too.
	LossUnreachable
)

// LossOf returns the flag of the registrar at an index.
func LossOf(registrar int) Loss {
	return LossFirst << registrar
}

// Entry is a record with the registrars of its writer and the losses that were
// reported.
type Entry struct {
	Record gooseberrymast.Record
	// Registrars are the addresses of the balancers that the writer has
	// sessions with, set by the writer; the zero address is none.
	Registrars [RegistrarCount]netip.AddrPort
	// Loss only grows within one incarnation and sequence.
	Loss Loss
}

// Key is an IPv4 address and port as one number.
type Key uint64

// KeyOf converts an address to its key. The key of the zero address is zero.
func KeyOf(address netip.AddrPort) Key {
	if !address.IsValid() {
		return 0
	}
	quad := address.Addr().Unmap().As4()
	return Key(binary.BigEndian.Uint32(quad[:]))<<16 | Key(address.Port())
}

// Address converts the key back to the address.
func (k Key) Address() netip.AddrPort {
	if k == 0 {
		return netip.AddrPort{}
	}
	var quad [4]byte
	binary.BigEndian.PutUint32(quad[:], uint32(k>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(quad), uint16(k))
}

// Hash returns a uniform hash of the key that is the same in every process.
func (k Key) Hash() uint64 {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(k))
	return xxhash.Sum64(raw[:])
}

// RendezvousScore returns the rendezvous score of the key for another number.
func (k Key) RendezvousScore(other uint64) uint64 {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], uint64(k))
	binary.BigEndian.PutUint64(raw[8:], other)
	return xxhash.Sum64(raw[:])
}

// packed is the compact form in which shards hold an entry.
type packed struct {
	key         Key
	control     Key
	registrars  [RegistrarCount]Key
	incarnation gooseberrymast.Incarnation
	sequence    uint32
	// since is when the entry became suspect or gone, in seconds of the
	// directory's clock.
	since   uint32
	service gooseberrymast.ServiceTag
	weight  uint16
	zone    uint16
	role    gooseberrymast.Role
	state   gooseberrymast.State
	loss    Loss
	suspect bool
	// hidden entries are excluded from digests and never sent to peers.
	hidden bool
}

func (p packed) newer(other packed) bool {
	if p.incarnation != other.incarnation {
		return p.incarnation > other.incarnation
	}
	return p.sequence > other.sequence
}

func (p packed) sameVersion(other packed) bool {
	return p.incarnation == other.incarnation && p.sequence == other.sequence
}

// sameContent compares the fields that only the writer sets.
func (p packed) sameContent(other packed) bool {
	return p.key == other.key && p.control == other.control && p.registrars == other.registrars &&
		p.service == other.service && p.weight == other.weight && p.zone == other.zone &&
		p.role == other.role && p.state == other.state
}

// fingerprint returns the hash by which the entry contributes to digests.
func (p packed) fingerprint() uint64 {
	var raw [18]byte
	binary.BigEndian.PutUint64(raw[:], uint64(p.key))
	binary.BigEndian.PutUint32(raw[8:], uint32(p.incarnation))
	binary.BigEndian.PutUint32(raw[12:], p.sequence)
	raw[16] = byte(p.loss)
	raw[17] = byte(p.state)
	return xxhash.Sum64(raw[:])
}

func (d *Directory) pack(entry Entry) packed {
	record := entry.Record
	p := packed{
		key:         KeyOf(record.Identity.Address),
		control:     KeyOf(record.Control),
		incarnation: record.Identity.Incarnation,
		sequence:    record.Sequence,
		service:     record.Service,
		weight:      record.Weight,
		zone:        d.zones.number(record.Zone),
		role:        record.Role,
		state:       record.State,
		loss:        entry.Loss,
	}
	for i, registrar := range entry.Registrars {
		p.registrars[i] = KeyOf(registrar)
	}
	return p
}

func (d *Directory) unpack(p packed) Entry {
	entry := Entry{Record: d.record(p), Loss: p.loss}
	for i, registrar := range p.registrars {
		entry.Registrars[i] = registrar.Address()
	}
	return entry
}

func (d *Directory) record(p packed) gooseberrymast.Record {
	return gooseberrymast.Record{
		Identity: gooseberrymast.Identity{Address: p.key.Address(), Incarnation: p.incarnation},
		Sequence: p.sequence,
		Control:  p.control.Address(),
		Role:     p.role,
		State:    p.state,
		Service:  p.service,
		Zone:     d.zones.name(p.zone),
		Weight:   p.weight,
	}
}
