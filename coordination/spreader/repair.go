package spreader

import (
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/directory"
)

// MaxRepairCells is the maximum number of cells that one repair compares by
// bucket.
const MaxRepairCells = 32

// Begin returns the message that starts a repair with a peer.
func Begin(d *directory.Directory) *messenger.Message {
	return &messenger.Message{Cells: &messenger.Cells{Digests: d.CellDigests()}}
}

// Compare handles a peer's cell digests. It returns the replies, and the keys
// of the entries in cells that the peer lacks, which are to be sent to it.
func Compare(d *directory.Directory, cells *messenger.Cells) (replies []*messenger.Message, keys []directory.Key) {
	theirs := make(map[directory.CellID]uint64, len(cells.Digests))
	for _, digest := range cells.Digests {
		theirs[digest.Cell] = digest.Digest
	}
	compared := 0
	for _, own := range d.CellDigests() {
		digest, found := theirs[own.Cell]
		delete(theirs, own.Cell)
		switch {
		case !found:
			keys = append(keys, d.CellKeys(own.Cell)...)
		case digest != own.Digest && compared < MaxRepairCells:
			compared++
			replies = append(replies, &messenger.Message{Buckets: &messenger.Buckets{
				Cell: own.Cell, Digests: d.BucketDigests(own.Cell),
			}})
		}
	}
	if want := missingCells(cells, theirs); len(want) > 0 {
		replies = append(replies, &messenger.Message{Want: &messenger.Want{Cells: want}})
	}
	return replies, keys
}

// missingCells returns the unmatched cells in the order of the peer's message.
func missingCells(cells *messenger.Cells, unmatched map[directory.CellID]uint64) []directory.CellID {
	var want []directory.CellID
	for _, digest := range cells.Digests {
		if _, ok := unmatched[digest.Cell]; ok {
			want = append(want, digest.Cell)
		}
	}
	return want
}

// CompareBuckets handles a peer's bucket digests of one cell. It returns this
// side's versions in the differing buckets, or nil if none differs.
func CompareBuckets(d *directory.Directory, buckets *messenger.Buckets) *messenger.Message {
	own := d.BucketDigests(buckets.Cell)
	versions := &messenger.Versions{Cell: buckets.Cell}
	for i, digest := range buckets.Digests {
		if digest == own[i] {
			continue
		}
		versions.Mask |= 1 << i
		versions.Versions = append(versions.Versions, d.Versions(buckets.Cell, i)...)
	}
	if versions.Mask == 0 {
		return nil
	}
	return &messenger.Message{Versions: versions}
}

// CompareVersions handles a peer's entry versions. It returns a request for the
// entries that are newer at the peer, and the keys of those that are newer or
// exist only here.
func CompareVersions(d *directory.Directory, versions *messenger.Versions) (want *messenger.Message, keys []directory.Key) {
	var wanted []directory.Key
	theirs := make(map[directory.Key]directory.Version, len(versions.Versions))
	for _, version := range versions.Versions {
		theirs[version.Key] = version
		own, found := d.VersionOf(version.Key)
		if !found || !own.Covers(version) {
			wanted = append(wanted, version.Key)
		}
	}
	for bucket := range directory.BucketCount {
		if versions.Mask&(1<<bucket) == 0 {
			continue
		}
		for _, own := range d.Versions(versions.Cell, bucket) {
			if version, found := theirs[own.Key]; !found || !version.Covers(own) {
				keys = append(keys, own.Key)
			}
		}
	}
	if len(wanted) > 0 {
		want = &messenger.Message{Want: &messenger.Want{Keys: wanted}}
	}
	return want, keys
}

// Wanted returns the keys of all entries that a peer requested.
func Wanted(d *directory.Directory, want *messenger.Want) []directory.Key {
	keys := append([]directory.Key(nil), want.Keys...)
	for _, cell := range want.Cells {
		keys = append(keys, d.CellKeys(cell)...)
	}
	return keys
}
