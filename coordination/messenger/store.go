package messenger

import (
	"gooseberrymast"
	"gooseberrymast/state/directory"
)

// Method is a method of the platform's store.
type Method uint8

// The methods used by the state machines.
const (
	MethodGet Method = iota + 1
	MethodList
	MethodPut
	MethodWatch
)

// Call is a call to the platform's store that the transport must make.
type Call struct {
	Method Method
	// Object is the object to write; other methods use only its key, which is a
	// prefix for MethodList.
	Object gooseberrymast.Object
	// Version is the version that MethodPut expects, or the version above which
	// MethodWatch waits for a new one.
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
	// Err is nil, an error of gooseberrymast.Store, or a context error.
	Err error
}

// Cell is the value of a cell's object in the store. Without entries, it is the
// value of the cell's lease.
type Cell struct {
	// Holder is the only process that may write the object; zero after a
	// release.
	Holder gooseberrymast.Identity
	// Renewal counts the holder's renewals of the lease.
	Renewal uint64
	Entries []directory.Entry
}

// CellKey returns the key of a cell's object.
func CellKey(environment, cell string) string {
	return CellPrefix(environment) + cell
}

// CellPrefix returns the common prefix of the keys of all cells' objects.
func CellPrefix(environment string) string {
	return "environments/" + environment + "/cells/"
}

// LeaseKey returns the key of a cell's lease.
func LeaseKey(environment, cell string) string {
	return LeasePrefix(environment) + cell
}

// LeasePrefix returns the common prefix of the keys of all leases.
func LeasePrefix(environment string) string {
	return "environments/" + environment + "/leases/"
}
