package gooseberrymast

// DocumentVersion identifies one version of the operators' document.
type DocumentVersion struct {
	// Number is the operators' version number, which orders documents. It is zero for a
	// document from an instance of an earlier build, which orders them by revision.
	Number uint64
	// Revision is the store's revision of the document. A store that was restored
	// from a copy may issue it again, and the same document may have several.
	Revision uint64
	// Digest is a hash of the document as stored. It is zero if Number is.
	Digest uint64
}

// IsZero reports whether v identifies no document.
func (v DocumentVersion) IsZero() bool {
	return v == DocumentVersion{}
}

// Newer reports whether v supersedes other. A numbered version supersedes any that has
// no number.
func (v DocumentVersion) Newer(other DocumentVersion) bool {
	if v.Number == 0 && other.Number == 0 {
		return v.Revision > other.Revision
	}
	return v.Number > other.Number
}

// Same reports whether v and other identify the same document.
func (v DocumentVersion) Same(other DocumentVersion) bool {
	if v.Number == 0 && other.Number == 0 {
		return v.Revision == other.Revision
	}
	return v.Number == other.Number && v.Digest == other.Digest
}

// AtLeast reports whether v is other's document or a later one. Unless both have
// numbers, it compares revisions, as earlier builds do.
func (v DocumentVersion) AtLeast(other DocumentVersion) bool {
	if v.Number == 0 || other.Number == 0 {
		return v.Revision >= other.Revision
	}
	return v.Number >= other.Number
}
