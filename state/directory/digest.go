package directory

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of buckets that a cell's digest divides into.
const BucketCount = 16

// CellID names a cell in messages.
type CellID uint32

// CellDigest is the digest of one cell.
type CellDigest struct {
	Cell   CellID
	Digest uint64
}

// CellInfo describes a cell.
type CellInfo struct {
	ID   CellID
	Name string
	Zone string
	// Entries counts the cell's entries that peers are told of.
	Entries int
}

// Version is what two directories compare for one key.
type Version struct {
	Key         Key
	Incarnation uint32
	Sequence    uint32
	Loss        Loss
}

// cell is one part of the entries with its digests. A digest is the exclusive
// or of the fingerprints, so that the order of changes has no part in it.
type cell struct {
	info    CellInfo
	buckets [BucketCount]uint64
	keys    [BucketCount]map[Key]struct{}
}

type cells struct {
	byID map[CellID]*cell
	// byPlace finds a cell by its zone's number and its own.
	byPlace map[uint32]*cell
}

// toggle adds an entry to its cell, or takes it out when count is negative.
func (d *Directory) toggle(p packed, count int) {
	hash := p.key.Hash() >> 8
	part := d.cell(p.zone, uint16(hash%uint64(max(d.CellsPerZone, 1))))
	part.toggle(int(hash>>24)%BucketCount, p, count)
}

func (d *Directory) cell(zone, number uint16) *cell {
	at := uint32(zone)<<16 | uint32(number)
	if part := d.cells.byPlace[at]; part != nil {
		return part
	}
	if d.cells.byID == nil {
		d.cells = cells{byID: map[CellID]*cell{}, byPlace: map[uint32]*cell{}}
	}
	name := CellName(d.zones.name(zone), int(number))
	part := &cell{info: CellInfo{ID: IDOf(name), Name: name, Zone: d.zones.name(zone)}}
	d.cells.byPlace[at] = part
	d.cells.byID[part.info.ID] = part
	return part
}

// CellName gives the name of a zone's cell.
func CellName(zone string, number int) string {
	return fmt.Sprintf("%s/%d", zone, number)
}

// ZoneOfCell gives the availability zone in a cell's name.
func ZoneOfCell(name string) string {
	zone, _, _ := strings.Cut(name, "/")
	return zone
}

// IDOf gives the identifier of the cell with a name.
func IDOf(name string) CellID {
	return CellID(xxhash.Sum64String(name))
}

func (c *cell) toggle(bucket int, p packed, count int) {
	c.info.Entries += count
	c.buckets[bucket] ^= p.fingerprint()
	if count < 0 {
		delete(c.keys[bucket], p.key)
		return
	}
	if c.keys[bucket] == nil {
		c.keys[bucket] = map[Key]struct{}{}
	}
	c.keys[bucket][p.key] = struct{}{}
}

func (c *cell) digest() uint64 {
	sum := uint64(0)
	for _, bucket := range c.buckets {
		sum ^= bucket
	}
	return sum
}

// Digest is equal in two directories that hold the same entries.
func (d *Directory) Digest() uint64 {
	sum := uint64(0)
	for _, part := range d.cells.byID {
		sum ^= part.digest()
	}
	return sum
}

// CellDigests gives the digest of each cell that has entries, by identifier.
func (d *Directory) CellDigests() []CellDigest {
	digests := make([]CellDigest, 0, len(d.cells.byID))
	for id, part := range d.cells.byID {
		if part.info.Entries > 0 {
			digests = append(digests, CellDigest{Cell: id, Digest: part.digest()})
		}
	}
	slices.SortFunc(digests, func(a, b CellDigest) int { return int(int64(a.Cell) - int64(b.Cell)) })
	return digests
}

// BucketDigests gives the digests of a cell's buckets.
func (d *Directory) BucketDigests(id CellID) [BucketCount]uint64 {
	if part := d.cells.byID[id]; part != nil {
		return part.buckets
	}
	return [BucketCount]uint64{}
}

// Versions lists a bucket's entries by key.
func (d *Directory) Versions(id CellID, bucket int) []Version {
	part := d.cells.byID[id]
	if part == nil {
		return nil
	}
	versions := make([]Version, 0, len(part.keys[bucket]))
	for key := range part.keys[bucket] {
		if p, found := d.get(key); found {
			versions = append(versions, p.version())
		}
	}
	slices.SortFunc(versions, func(a, b Version) int { return int(int64(a.Key) - int64(b.Key)) })
	return versions
}

// VersionOf gives the version of a key that peers are told of.
func (d *Directory) VersionOf(key Key) (Version, bool) {
	p, found := d.get(key)
	return p.version(), found
}

// CellKeys lists a cell's keys in order.
func (d *Directory) CellKeys(id CellID) []Key {
	part := d.cells.byID[id]
	if part == nil {
		return nil
	}
	keys := make([]Key, 0, part.info.Entries)
	for _, bucket := range part.keys {
		for key := range bucket {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Cells describes the cells that have entries, by name.
func (d *Directory) Cells() []CellInfo {
	infos := make([]CellInfo, 0, len(d.cells.byID))
	for _, part := range d.cells.byID {
		if part.info.Entries > 0 {
			infos = append(infos, part.info)
		}
	}
	slices.SortFunc(infos, func(a, b CellInfo) int { return strings.Compare(a.Name, b.Name) })
	return infos
}

func (p packed) version() Version {
	return Version{Key: p.key, Incarnation: uint32(p.incarnation), Sequence: p.sequence, Loss: p.loss}
}

// Covers reports whether a directory at v has nothing to learn from other.
func (v Version) Covers(other Version) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	if v.Sequence != other.Sequence {
		return v.Sequence > other.Sequence
	}
	return v.Loss|other.Loss == v.Loss
}

// CellDigest gives the digest of one cell.
func (d *Directory) CellDigest(id CellID) uint64 {
	if part := d.cells.byID[id]; part != nil {
		return part.digest()
	}
	return 0
}

// CellEntries lists a cell's entries by key.
func (d *Directory) CellEntries(id CellID) []Entry {
	keys := d.CellKeys(id)
	entries := make([]Entry, 0, len(keys))
	for _, key := range keys {
		if entry, found := d.Lookup(key); found {
			entries = append(entries, entry)
		}
	}
	return entries
}
