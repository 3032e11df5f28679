package gooseberrymast

import (
	"net/netip"
	"time"
)

// ForwardingSettings are the load balancer's own settings of processes that
// forward packets; InstanceSettings holds those that the platform sets.
type ForwardingSettings struct {
	// LogRate is the number of log lines a second for one event.
	LogRate int `toml:"log-rate"`
	// LogBurst is the number of log lines that one event may write at once.
	LogBurst int `toml:"log-burst"`
	// MetricsPort serves metrics on the instance's address; zero serves none.
	MetricsPort int `toml:"metrics-port"`
	// PeersListen is the local address for packets and messages of peers when
	// network address translation makes it differ from the address that peers
	// use; otherwise it is the zero value.
	PeersListen netip.AddrPort `toml:"peers-listen"`
	// StoreTimeout bounds each call to the platform's store.
	StoreTimeout Duration `toml:"store-timeout"`
	// FlowRecords says whether open flows are recorded in the store.
	FlowRecords FlowRecordsMode `toml:"flow-records"`
}

// The defaults and ranges of settings for processes that forward packets.
const (
	// DefaultLogRate is enough to log every flow under light load.
	DefaultLogRate = 10
	// DefaultLogBurst covers the lines about one balancer's flows at a restart.
	DefaultLogBurst = 40
	// DefaultStoreTimeout is over a hundred times the store's usual response
	// time of 4 ms and well below the time in which a change must be in force.
	DefaultStoreTimeout = Duration(700 * time.Millisecond)
	MaxLogRate          = 10_000
	maxPort             = 65_535
	minStoreTimeout     = 50 * time.Millisecond
	maxStoreTimeout     = 10 * time.Second
)

// SetDefaults sets every zero field that has a default.
func (f *ForwardingSettings) SetDefaults() {
	setDefault(&f.LogRate, DefaultLogRate)
	setDefault(&f.LogBurst, DefaultLogBurst)
	setDefault(&f.StoreTimeout, DefaultStoreTimeout)
	setDefault(&f.FlowRecords, FlowRecordsAuto)
}

// Validate returns every fault of the settings. SetDefaults must be called first.
func (f *ForwardingSettings) Validate() Faults {
	var faults Faults
	validateRange(&faults, "log-rate", f.LogRate, 1, MaxLogRate)
	validateRange(&faults, "log-burst", f.LogBurst, 1, MaxLogRate)
	validateRange(&faults, "metrics-port", f.MetricsPort, 0, maxPort)
	if f.PeersListen.IsValid() && !f.PeersListen.Addr().Is4() {
		faults.add("peers-listen", f.PeersListen, "an IPv4 address and a port")
	}
	if timeout := f.StoreTimeout.Std(); timeout < minStoreTimeout || timeout > maxStoreTimeout {
		faults.add("store-timeout", f.StoreTimeout, "a duration from %s to %s", minStoreTimeout, maxStoreTimeout)
	}
	switch f.FlowRecords {
	case FlowRecordsOn, FlowRecordsOff, FlowRecordsAuto:
	default:
		faults.add("flow-records", f.FlowRecords, "on, off or auto")
	}
	return faults
}
