package gooseberrymast

import (
	"net/netip"
	"slices"
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
	// Placement is how new flows are placed: PlacementByWork, PlacementByCount or
	// PlacementAuto.
	Placement string `toml:"placement"`
	// Admission states where agents hold and refuse new flows while their servers are
	// full: RuleOn, RuleOff or RuleAuto.
	Admission RuleMode `toml:"admission"`
	// FewSlots and TightObjective bound the servers that "auto" applies to.
	FewSlots       int      `toml:"few-slots"`
	TightObjective Duration `toml:"tight-objective"`
	// FlowRecords says whether open flows are recorded in the store.
	FlowRecords FlowRecordsMode `toml:"flow-records"`
}

// The values of ForwardingSettings.Placement.
const (
	// PlacementByWork places a flow where its request is expected to be answered first.
	PlacementByWork = "by-work"
	// PlacementByCount places a flow by the numbers of requests and flows.
	PlacementByCount = "by-count"
	// PlacementAuto places by work where WorkRule applies in RuleAuto.
	PlacementAuto = "auto"
)

// The defaults and ranges of settings for processes that forward packets.
const (
	// DefaultLogRate is enough to log every flow under light load.
	DefaultLogRate = 10
	// DefaultLogBurst covers the lines about one balancer's flows at a restart.
	DefaultLogBurst = 40
	// DefaultStoreTimeout is over a hundred times the store's usual response
	// time of 4 ms and well below the time in which a change must be in force.
	DefaultStoreTimeout = Duration(700 * time.Millisecond)
	// DefaultFewSlots is the number of slots up to which one misplaced request blocks
	// half of a server or more.
	DefaultFewSlots = 2
	// DefaultTightObjective is less than twice the time that one expensive request holds a
	// slot, seven times 20 ms: one of these ahead in the queue uses up more than half.
	DefaultTightObjective = Duration(250 * time.Millisecond)
	MaxFewSlots           = 10_000
	maxTightObjective     = 10 * time.Minute
	MaxLogRate            = 10_000
	maxPort               = 65_535
	minStoreTimeout       = 50 * time.Millisecond
	maxStoreTimeout       = 10 * time.Second
)

// SetDefaults sets every zero field that has a default.
func (f *ForwardingSettings) SetDefaults() {
	setDefault(&f.LogRate, DefaultLogRate)
	setDefault(&f.LogBurst, DefaultLogBurst)
	setDefault(&f.StoreTimeout, DefaultStoreTimeout)
	setDefault(&f.Placement, PlacementAuto)
	setDefault(&f.Admission, RuleAuto)
	setDefault(&f.FewSlots, DefaultFewSlots)
	setDefault(&f.TightObjective, DefaultTightObjective)
	setDefault(&f.FlowRecords, FlowRecordsAuto)
}

// PlacementRule returns the rule for the servers whose flows are placed by work.
func (f *ForwardingSettings) PlacementRule() WorkRule {
	switch f.Placement {
	case PlacementByWork:
		return f.workRule(RuleOn)
	case PlacementAuto:
		return f.workRule(RuleAuto)
	}
	return f.workRule(RuleOff)
}

// AdmissionRule returns the rule for the servers whose agents hold and refuse new flows.
func (f *ForwardingSettings) AdmissionRule() WorkRule {
	return f.workRule(f.Admission)
}

func (f *ForwardingSettings) workRule(mode RuleMode) WorkRule {
	return WorkRule{Mode: mode, FewSlots: f.FewSlots, TightObjective: f.TightObjective.Std()}
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
	if !slices.Contains([]string{PlacementByWork, PlacementByCount, PlacementAuto}, f.Placement) {
		faults.add("placement", f.Placement, "%q, %q or %q", PlacementByWork, PlacementByCount, PlacementAuto)
	}
	if !slices.Contains([]RuleMode{RuleOn, RuleOff, RuleAuto}, f.Admission) {
		faults.add("admission", f.Admission, "%q, %q or %q", RuleOn, RuleOff, RuleAuto)
	}
	validateRange(&faults, "few-slots", f.FewSlots, 1, MaxFewSlots)
	validateRange(&faults, "tight-objective", f.TightObjective, Duration(time.Millisecond), Duration(maxTightObjective))
	switch f.FlowRecords {
	case FlowRecordsOn, FlowRecordsOff, FlowRecordsAuto:
	default:
		faults.add("flow-records", f.FlowRecords, "on, off or auto")
	}
	return faults
}
