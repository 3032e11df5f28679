package gooseberrymast

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// The ranges of a document's values.
const (
	MaxNameBytes       = 63
	MaxConnections     = 1_000_000
	MaxSlots           = 100_000
	MaxQueue           = 1_000_000
	MaxCallerRate      = 1_000_000.0
	MaxCallerBurst     = 1_000_000
	MaxDeadlineAllowed = 24 * time.Hour
	MaxSlowStart       = time.Hour
	MaxDrainGrace      = 10 * time.Second
	MaxDrainWait       = 7 * 24 * time.Hour
)

const (
	wantName   = "lower-case letters, digits and single hyphens, starting with a letter, at most 63 bytes"
	wantPrefix = `a path that starts with "/", without spaces, "?" or "#"`
)

// SetDefaults sets every zero field that has a default. It is meant for documents
// that are built in Go. The parser sets the defaults of missing keys itself and
// keeps an explicit zero.
func (d *Document) SetDefaults() {
	for name, service := range d.Services {
		service.SetDefaults()
		d.Services[name] = service
	}
}

// SetDefaults sets every zero field that has a default.
func (s *Service) SetDefaults() {
	setDefault(&s.Limits.Connections, DefaultConnections)
	setDefault(&s.Limits.Slots, DefaultSlots)
	setDefault(&s.Limits.Queue, DefaultQueue)
	setDefault(&s.Limits.CallerBurst, DefaultCallerBurst)
	setDefault(&s.Limits.Deadline, Duration(DefaultDeadline))
	setDefault(&s.Limits.MaxDeadline, Duration(DefaultMaxDeadline))
	setDefault(&s.Limits.RetryBudget, DefaultRetryBudget)
	setDefault(&s.Limits.SlowStart, Duration(DefaultSlowStart))
	setDefault(&s.Limits.MaxEjected, DefaultMaxEjected)
	setDefault(&s.Drain.Grace, Duration(DefaultDrainGrace))
	setDefault(&s.CrossZone, CrossZoneWhenFull)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns every fault of the document. The defaults must be set before.
func (d *Document) Validate() Faults {
	var faults Faults
	if len(d.Zones) == 0 {
		faults.missing("zones", "at least one availability zone")
	}
	validateNames(&faults, "zones", d.Zones)
	if len(d.Services) == 0 {
		faults.missing("services", "at least one service")
	}
	tags := map[ServiceTag]string{}
	for _, name := range d.ServiceNames() {
		key := KeyPath("services", name)
		if !IsValidName(name) {
			faults.add(key, name, "a service name of %s", wantName)
		}
		if other, taken := tags[TagOf(name)]; taken {
			faults.add(key, name, "another name: packets could not tell it from service %q (both have tag %d)", other, TagOf(name))
		}
		tags[TagOf(name)] = name
		service := d.Services[name]
		service.validate(&faults, key, d.Zones)
	}
	return faults
}

// ServiceNames lists the names of the services in alphabetical order.
func (d *Document) ServiceNames() []string {
	names := make([]string, 0, len(d.Services))
	for name := range d.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *Service) validate(faults *Faults, key string, zones []string) {
	validateNames(faults, key+".zones", s.Zones)
	for _, zone := range s.Zones {
		if IsValidName(zone) && !slices.Contains(zones, zone) {
			faults.add(key+".zones", zone, "one of the document's zones: %s", strings.Join(zones, ", "))
		}
	}
	validatePrefixes(faults, key+".streams", s.Streams)
	validatePrefixes(faults, key+".idempotent", s.Idempotent)
	if s.CrossZone != CrossZoneNever && s.CrossZone != CrossZoneWhenFull {
		faults.add(key+".cross-zone", s.CrossZone, "%q or %q", CrossZoneNever, CrossZoneWhenFull)
	}
	s.Limits.validate(faults, key+".limits")
	s.Drain.validate(faults, key+".drain")
}

func (l *Limits) validate(faults *Faults, key string) {
	validateRange(faults, key+".connections", l.Connections, 1, MaxConnections)
	validateRange(faults, key+".slots", l.Slots, 1, MaxSlots)
	validateRange(faults, key+".queue", l.Queue, 0, MaxQueue)
	validateRange(faults, key+".caller-rate", l.CallerRate, 0, MaxCallerRate)
	validateRange(faults, key+".caller-burst", l.CallerBurst, 1, MaxCallerBurst)
	validateRange(faults, key+".retry-budget", l.RetryBudget, 0, 1)
	validateRange(faults, key+".max-ejected", l.MaxEjected, 0, 1)
	validateRange(faults, key+".slow-start", l.SlowStart, 0, Duration(MaxSlowStart))
	validateRange(faults, key+".deadline", l.Deadline, Duration(time.Millisecond), Duration(MaxDeadlineAllowed))
	validateRange(faults, key+".max-deadline", l.MaxDeadline, Duration(time.Millisecond), Duration(MaxDeadlineAllowed))
	if l.Deadline > l.MaxDeadline {
		faults.add(key+".deadline", l.Deadline, "at most max-deadline, %s", l.MaxDeadline)
	}
}

func (d *Drain) validate(faults *Faults, key string) {
	validateRange(faults, key+".grace", d.Grace, 0, Duration(MaxDrainGrace))
	validateRange(faults, key+".max-wait", d.MaxWait, 0, Duration(MaxDrainWait))
	if d.MaxWait > 0 && d.MaxWait < d.Grace {
		faults.add(key+".max-wait", d.MaxWait, "0s (no bound) or at least grace, %s", d.Grace)
	}
}

// validateRange adds a fault unless low <= value <= high. The comparison is
// written so that NaN is out of every range.
func validateRange[T int | float64 | Duration](faults *Faults, key string, value, low, high T) {
	if value >= low && value <= high {
		return
	}
	faults.add(key, value, "%s to %s", FaultValue(low), FaultValue(high))
}

func validateNames(faults *Faults, key string, names []string) {
	for i, name := range names {
		if !IsValidName(name) {
			faults.add(key, name, "a zone name of %s", wantName)
		}
		if slices.Contains(names[:i], name) {
			faults.add(key, name, "each name once")
		}
	}
}

func validatePrefixes(faults *Faults, key string, prefixes []string) {
	for i, prefix := range prefixes {
		if !isPathPrefix(prefix) {
			faults.add(key, prefix, wantPrefix)
		}
		if slices.Contains(prefixes[:i], prefix) {
			faults.add(key, prefix, "each path once")
		}
	}
}

func isPathPrefix(prefix string) bool {
	if !strings.HasPrefix(prefix, "/") {
		return false
	}
	return !strings.ContainsFunc(prefix, func(r rune) bool {
		return r <= ' ' || r == '?' || r == '#' || r == 0x7f
	})
}

// IsValidName reports whether name is a valid name of an environment, a service or
// an availability zone.
func IsValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes || name[0] < 'a' || name[0] > 'z' {
		return false
	}
	for _, r := range name {
		if r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9') {
			return false
		}
	}
	return !strings.Contains(name, "--") && !strings.HasSuffix(name, "-")
}
