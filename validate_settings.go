package gooseberrymast

import (
	"net/netip"
	"net/url"
	"slices"
	"sort"
	"strings"
)

const (
	wantAddress = `an IP address and a port such as "10.0.0.1:7000"`
	wantURL     = `"http://" or "https://" with an IP address and a port, such as "http://10.0.0.1:7700"`
)

// Validate returns every fault of settings whose defaults are set. It reads no
// files and opens no sockets.
func (b *BalancerSettings) Validate() Faults {
	var faults Faults
	validateName(&faults, "environment", b.Environment)
	validateName(&faults, "zone", b.Zone)
	b.validateServiceAddresses(&faults)
	validateIPv4(&faults, "forward-address", b.ForwardAddress)
	validateAddress(&faults, "control-address", b.ControlAddress)
	validateAddress(&faults, "operators-address", b.OperatorsAddress)
	validateSeeds(&faults, b.Seeds, b.ControlAddress)
	validateURL(&faults, "store-address", b.StoreAddress)
	validateFile(&faults, "key-file", b.KeyFile)
	validateRange(&faults, "shards", b.Shards, 0, MaxShards)
	validateRange(&faults, "cells-per-zone", b.CellsPerZone, 1, MaxCellsPerZone)
	validateLogLevel(&faults, b.LogLevel)
	validateDistinct(&faults, b.udpAddresses())
	validateDistinct(&faults, []namedAddress{
		{"control-address", b.ControlAddress},
		{"operators-address", b.OperatorsAddress},
	})
	return faults
}

func (b *BalancerSettings) validateServiceAddresses(faults *Faults) {
	if len(b.ServiceAddresses) == 0 {
		faults.missing("service-addresses", "at least one service with its addresses")
	}
	for _, name := range b.ServiceNames() {
		key := KeyPath("service-addresses", name)
		if !IsValidName(name) {
			faults.add(key, name, "a service name of %s", wantName)
		}
		if len(b.ServiceAddresses[name]) == 0 {
			faults.missing(key, "at least one address")
		}
		for _, address := range b.ServiceAddresses[name] {
			validateAddress(faults, key, address)
		}
	}
}

// ServiceNames lists the names in ServiceAddresses in alphabetical order.
func (b *BalancerSettings) ServiceNames() []string {
	names := make([]string, 0, len(b.ServiceAddresses))
	for name := range b.ServiceAddresses {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (b *BalancerSettings) udpAddresses() []namedAddress {
	addresses := []namedAddress{{"forward-address", b.ForwardAddress}}
	for _, name := range b.ServiceNames() {
		for _, address := range b.ServiceAddresses[name] {
			addresses = append(addresses, namedAddress{KeyPath("service-addresses", name), address})
		}
	}
	return addresses
}

// Validate returns every fault of settings whose defaults are set. It reads no
// files and opens no sockets.
func (a *AgentSettings) Validate() Faults {
	var faults Faults
	validateName(&faults, "environment", a.Environment)
	validateName(&faults, "service", a.Service)
	validateName(&faults, "zone", a.Zone)
	validateIPv4(&faults, "address", a.Address)
	validateAddress(&faults, "control-address", a.ControlAddress)
	validateAddress(&faults, "operators-address", a.OperatorsAddress)
	if len(a.Seeds) == 0 {
		faults.missing("seeds", "the control address of at least one balancer")
	}
	validateSeeds(&faults, a.Seeds, a.ControlAddress)
	a.Backend.validate(&faults)
	validateFile(&faults, "certificate-file", a.CertificateFile)
	validateFile(&faults, "certificate-key-file", a.CertificateKeyFile)
	validateFile(&faults, "key-file", a.KeyFile)
	validateRange(&faults, "weight", a.Weight, 1, MaxWeight)
	validateRange(&faults, "cells-per-zone", a.CellsPerZone, 1, MaxCellsPerZone)
	validateLogLevel(&faults, a.LogLevel)
	validateDistinct(&faults, []namedAddress{
		{"control-address", a.ControlAddress},
		{"operators-address", a.OperatorsAddress},
		{"backend.address", a.Backend.Address},
	})
	return faults
}

func (b *BackendSettings) validate(faults *Faults) {
	validateAddress(faults, "backend.address", b.Address)
	if b.Protocol != ProtocolHTTP1 && b.Protocol != ProtocolH2C {
		faults.add("backend.protocol", b.Protocol, "%q or %q", ProtocolHTTP1, ProtocolH2C)
	}
	if b.HealthPath != "" && !isPathPrefix(b.HealthPath) {
		faults.add("backend.health-path", b.HealthPath, wantPrefix)
	}
	if b.LoadPath != "" && !isPathPrefix(b.LoadPath) {
		faults.add("backend.load-path", b.LoadPath, wantPrefix)
	}
}

// namedAddress is an address with its settings key.
type namedAddress struct {
	key     string
	address netip.AddrPort
}

// validateDistinct adds a fault for each address that occurs more than once,
// under the same key or another.
func validateDistinct(faults *Faults, addresses []namedAddress) {
	seen := map[netip.AddrPort]string{}
	for _, named := range addresses {
		if !named.address.IsValid() {
			continue
		}
		if first, taken := seen[named.address]; taken {
			faults.add(named.key, named.address, "an address of its own; %s has this one", first)
			continue
		}
		seen[named.address] = named.key
	}
}

func validateName(faults *Faults, key, name string) {
	if name == "" {
		faults.missing(key, "a name of "+wantName)
		return
	}
	if !IsValidName(name) {
		faults.add(key, name, "a name of %s", wantName)
	}
}

func validateAddress(faults *Faults, key string, address netip.AddrPort) {
	if !address.IsValid() {
		faults.missing(key, wantAddress)
		return
	}
	if address.Port() == 0 {
		faults.add(key, address, "a port from 1 to 65535")
	}
}

// validateIPv4 validates an address that forwarded datagrams and connection ids
// carry: they have room for four bytes, and peers must be able to reach it.
func validateIPv4(faults *Faults, key string, address netip.AddrPort) {
	validateAddress(faults, key, address)
	if !address.IsValid() {
		return
	}
	if !address.Addr().Is4() || address.Addr().IsUnspecified() {
		faults.add(key, address, "an IPv4 address that peers can reach, with a port")
	}
}

func validateSeeds(faults *Faults, seeds []netip.AddrPort, own netip.AddrPort) {
	for i, seed := range seeds {
		validateAddress(faults, "seeds", seed)
		if seed.IsValid() && seed == own {
			faults.add("seeds", seed, "the addresses of others; this is control-address")
		}
		if slices.Contains(seeds[:i], seed) {
			faults.add("seeds", seed, "each address once")
		}
	}
}

func validateURL(faults *Faults, key, text string) {
	if text == "" {
		faults.missing(key, wantURL)
		return
	}
	if !IsStoreAddress(text) {
		faults.add(key, text, wantURL)
	}
}

// IsStoreAddress reports whether text is a valid base URL of the platform's
// store: HTTP or HTTPS with an IP address and a port.
func IsStoreAddress(text string) bool {
	base, err := url.Parse(text)
	if err != nil || (base.Scheme != "http" && base.Scheme != "https") {
		return false
	}
	if base.RawQuery != "" || base.Fragment != "" || base.User != nil {
		return false
	}
	address, err := netip.ParseAddrPort(base.Host)
	return err == nil && address.Port() != 0
}

func validateFile(faults *Faults, key, name string) {
	if name == "" {
		faults.missing(key, "the name of a file that can be read")
		return
	}
	if strings.ContainsRune(name, 0) {
		faults.add(key, name, "the name of a file that can be read")
	}
}

func validateLogLevel(faults *Faults, level string) {
	if !slices.Contains(LogLevels, level) {
		faults.add("log-level", level, "one of %s", strings.Join(LogLevels, ", "))
	}
}
