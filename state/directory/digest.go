package directory

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of buckets of a cell, each with a digest.
const BucketCount = 16

// CellID identifies a cell in messages.
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
	// Entries counts the cell's entries that are sent to peers, so without the
	// hidden ones.
	Entries int
}

// Version is the version of one entry. Directories compare versions to find out
// which entries to exchange.
type Version struct {
	Key         Key
	Incarnation uint32
	Sequence    uint32
	Loss        Loss
}

// cell holds the keys of one cell's entries with their digests. A digest is the
// exclusive or of the fingerprints and thus independent of the order of changes.
type cell struct {
	info    CellInfo
	buckets [BucketCount]uint64
	keys    [BucketCount]map[Key]struct{}
}

type cells struct {
	byID map[CellID]*cell
	// byZoneAndNumber is keyed by the zone's number, shifted left by 16 bits,
	// and the cell's number in the zone.
	byZoneAndNumber map[uint32]*cell
}

// toggleDigest adds an entry to its cell when count is 1 and removes it when
// count is -1.
func (d *Directory) toggleDigest(p packed, count int) {
	hash := p.key.Hash() >> 8
	c := d.cell(p.zone, uint16(hash%uint64(max(d.CellsPerZone, 1))))
	c.toggle(int(hash>>24)%BucketCount, p, count)
}

func (d *Directory) cell(zone, number uint16) *cell {
	at := uint32(zone)<<16 | uint32(number)
	if c := d.cells.byZoneAndNumber[at]; c != nil {
		return c
	}
	if d.cells.byID == nil {
		d.cells = cells{byID: map[CellID]*cell{}, byZoneAndNumber: map[uint32]*cell{}}
	}
	name := CellName(d.zones.name(zone), int(number))
	c := &cell{info: CellInfo{ID: CellIDOf(name), Name: name, Zone: d.zones.name(zone)}}
	d.cells.byZoneAndNumber[at] = c
	d.cells.byID[c.info.ID] = c
	return c
}

// CellName returns the name of the cell with a number in a zone.
func CellName(zone string, number int) string {
	return fmt.Sprintf("%s/%d", zone, number)
}

// ZoneOfCell returns the availability zone from a cell's name.
func ZoneOfCell(name string) string {
	zone, _, _ := strings.Cut(name, "/")
	return zone
}

// CellIDOf returns the identifier of the cell with a name.
func CellIDOf(name string) CellID {
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

// Digest returns a hash that is equal in directories with the same entries.
func (d *Directory) Digest() uint64 {
	sum := uint64(0)
	for _, c := range d.cells.byID {
		sum ^= c.digest()
	}
	return sum
}

// CellDigests returns the digest of each cell that has entries, sorted by
// identifier.
func (d *Directory) CellDigests() []CellDigest {
	digests := make([]CellDigest, 0, len(d.cells.byID))
	for id, c := range d.cells.byID {
		if c.info.Entries > 0 {
			digests = append(digests, CellDigest{Cell: id, Digest: c.digest()})
		}
	}
	slices.SortFunc(digests, func(a, b CellDigest) int { return int(int64(a.Cell) - int64(b.Cell)) })
	return digests
}

// BucketDigests returns the digests of a cell's buckets.
func (d *Directory) BucketDigests(id CellID) [BucketCount]uint64 {
	if c := d.cells.byID[id]; c != nil {
		return c.buckets
	}
	return [BucketCount]uint64{}
}

// Versions lists the versions of a bucket's entries, sorted by key.
func (d *Directory) Versions(id CellID, bucket int) []Version {
	c := d.cells.byID[id]
	if c == nil {
		return nil
	}
	versions := make([]Version, 0, len(c.keys[bucket]))
	for key := range c.keys[bucket] {
		if p, found := d.get(key); found {
			versions = append(versions, p.version())
		}
	}
	slices.SortFunc(versions, func(a, b Version) int { return int(int64(a.Key) - int64(b.Key)) })
	return versions
}

// VersionOf returns the version of the entry of a key.
func (d *Directory) VersionOf(key Key) (Version, bool) {
	p, found := d.get(key)
	return p.version(), found
}

// CellKeys returns the sorted keys of a cell.
func (d *Directory) CellKeys(id CellID) []Key {
	c := d.cells.byID[id]
	if c == nil {
		return nil
	}
	keys := make([]Key, 0, c.info.Entries)
	for _, bucket := range c.keys {
		for key := range bucket {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Cells describes the cells that have entries, sorted by name.
func (d *Directory) Cells() []CellInfo {
	infos := make([]CellInfo, 0, len(d.cells.byID))
	for _, c := range d.cells.byID {
		if c.info.Entries > 0 {
			infos = append(infos, c.info)
		}
	}
	slices.SortFunc(infos, func(a, b CellInfo) int { return strings.Compare(a.Name, b.Name) })
	return infos
}

func (p packed) version() Version {
	return Version{Key: p.key, Incarnation: uint32(p.incarnation), Sequence: p.sequence, Loss: p.loss}
}

// Covers reports whether an entry at v needs no update from one at other.
func (v Version) Covers(other Version) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	if v.Sequence != other.Sequence {
		return v.Sequence > other.Sequence
	}
	return v.Loss|other.Loss == v.Loss
}

// CellDigest returns the digest of one cell.
func (d *Directory) CellDigest(id CellID) uint64 {
	if c := d.cells.byID[id]; c != nil {
		return c.digest()
	}
	return 0
}

// CellEntries lists a cell's entries, sorted by key.
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
