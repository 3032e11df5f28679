package messenger

import (
	"gooseberrymast"
	"gooseberrymast/state/directory"
)

// Method is a method of the platform's store.
type Method uint8

// The methods that deciding code calls.
const (
	MethodGet Method = iota + 1
	MethodList
	MethodPut
	MethodWatch
)

// Call is one call to the platform's store, to be made by the transport.
type Call struct {
	Method Method
	// Object is the object to write; other methods use only its key, which
	// is a prefix for MethodList.
	Object gooseberrymast.Object
	// Version is the expected one of MethodPut, or the one that MethodWatch
	// waits to be passed.
	Version uint64
}

// Result is the outcome of a Call.
type Result struct {
	// Object is set by MethodGet and MethodWatch.
	Object gooseberrymast.Object
	// Objects is set by MethodList.
	Objects []gooseberrymast.Object
	// Version is set by MethodPut.
	Version uint64
	// Err is nil, an error of gooseberrymast.Store, or one of the context.
	Err error
}

// Cell is the value of a cell's object in the store, and without entries that
// of its lease.
type Cell struct {
	// Holder alone may write the object, or is zero after a release.
	Holder gooseberrymast.Identity
	// Renewal counts the holder's renewals of the lease.
	Renewal uint64
	Entries []directory.Entry
}

// CellKey is the key of a cell's object.
func CellKey(environment, cell string) string {
	return CellPrefix(environment) + cell
}

// CellPrefix is the prefix of the keys of all cells' objects.
func CellPrefix(environment string) string {
	return "environments/" + environment + "/cells/"
}

// LeaseKey is the key of a cell's lease.
func LeaseKey(environment, cell string) string {
	return LeasePrefix(environment) + cell
}

// LeasePrefix is the prefix of the keys of all leases.
func LeasePrefix(environment string) string {
	return "environments/" + environment + "/leases/"
}
