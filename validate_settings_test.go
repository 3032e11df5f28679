package gooseberrymast_test

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
)

func address(text string) netip.AddrPort {
	return netip.MustParseAddrPort(text)
}

func validBalancer() gooseberrymast.BalancerSettings {
	settings := gooseberrymast.BalancerSettings{
		Environment:      "trial",
		Zone:             "cairo-a",
		ServiceAddresses: map[string][]netip.AddrPort{"ledger": {address("10.0.0.1:443")}},
		ForwardAddress:   address("10.0.0.1:7000"),
		ControlAddress:   address("10.0.0.1:7001"),
		OperatorsAddress: address("10.0.0.1:7002"),
		Seeds:            []netip.AddrPort{address("10.0.0.2:7001")},
		StoreAddress:     "http://10.0.0.9:7700",
		KeyFile:          "keys.toml",
	}
	settings.SetDefaults()
	return settings
}

func validAgent() gooseberrymast.AgentSettings {
	settings := gooseberrymast.AgentSettings{
		Environment:        "trial",
		Service:            "ledger",
		Zone:               "cairo-a",
		Address:            address("10.0.1.1:7000"),
		ControlAddress:     address("10.0.1.1:7001"),
		OperatorsAddress:   address("10.0.1.1:7002"),
		Seeds:              []netip.AddrPort{address("10.0.0.1:7001")},
		Backend:            gooseberrymast.BackendSettings{Address: address("127.0.0.1:8080")},
		CertificateFile:    "certificate.pem",
		CertificateKeyFile: "certificate-key.pem",
		KeyFile:            "keys.toml",
	}
	settings.SetDefaults()
	return settings
}

func TestBalancerSettingsValidate(t *testing.T) {
	tests := []struct {
		name   string
		change func(*gooseberrymast.BalancerSettings)
		want   []string
	}{
		{"good", func(*gooseberrymast.BalancerSettings) {}, nil},
		{"no environment", func(b *gooseberrymast.BalancerSettings) { b.Environment = "" }, []string{"environment: want a name"}},
		{"no services", func(b *gooseberrymast.BalancerSettings) { b.ServiceAddresses = nil }, []string{"service-addresses: want at least one service"}},
		{"service without address", func(b *gooseberrymast.BalancerSettings) { b.ServiceAddresses["ledger"] = nil }, []string{"service-addresses.ledger: want at least one address"}},
		{"one address for two services", func(b *gooseberrymast.BalancerSettings) {
			b.ServiceAddresses["receipts"] = b.ServiceAddresses["ledger"]
		}, []string{"service-addresses.receipts: got 10.0.0.1:443, want an address of its own; service-addresses.ledger has"}},
		{"forward address without an address", func(b *gooseberrymast.BalancerSettings) { b.ForwardAddress = address("0.0.0.0:7000") }, []string{"forward-address: got 0.0.0.0:7000, want an IPv4 address that peers can reach"}},
		{"control and operators on one", func(b *gooseberrymast.BalancerSettings) { b.OperatorsAddress = b.ControlAddress }, []string{"operators-address: got 10.0.0.1:7001"}},
		{"port zero", func(b *gooseberrymast.BalancerSettings) { b.ControlAddress = address("10.0.0.1:0") }, []string{"control-address: got 10.0.0.1:0, want a port"}},
		{"its own seed", func(b *gooseberrymast.BalancerSettings) { b.Seeds = append(b.Seeds, b.ControlAddress) }, []string{"seeds: got 10.0.0.1:7001, want the addresses of others"}},
		{"store by name", func(b *gooseberrymast.BalancerSettings) { b.StoreAddress = "http://store.example:80" }, []string{"store-address: got"}},
		{"store without port", func(b *gooseberrymast.BalancerSettings) { b.StoreAddress = "http://10.0.0.1" }, []string{"store-address: got"}},
		{"log level", func(b *gooseberrymast.BalancerSettings) { b.LogLevel = "loud" }, []string{"log-level: got \"loud\", want one of debug, info, warn, error"}},
		{"cells at the most", func(b *gooseberrymast.BalancerSettings) { b.CellsPerZone = 64 }, nil},
		{"too many cells", func(b *gooseberrymast.BalancerSettings) { b.CellsPerZone = 65 }, []string{"cells-per-zone: got 65, want 1 to 64"}},
		{"shards", func(b *gooseberrymast.BalancerSettings) { b.Shards = -1 }, []string{"shards: got -1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings := validBalancer()
			test.change(&settings)
			expectFaults(t, settings.Validate(), test.want)
		})
	}
}

func TestAgentSettingsValidate(t *testing.T) {
	tests := []struct {
		name   string
		change func(*gooseberrymast.AgentSettings)
		want   []string
	}{
		{"good", func(*gooseberrymast.AgentSettings) {}, nil},
		{"no seeds", func(a *gooseberrymast.AgentSettings) { a.Seeds = nil }, []string{"seeds: want the control address of at least one balancer"}},
		{"identity on IPv6", func(a *gooseberrymast.AgentSettings) { a.Address = address("[::1]:7000") }, []string{"address: got [::1]:7000, want an IPv4 address"}},
		{"backend on IPv6", func(a *gooseberrymast.AgentSettings) { a.Backend.Address = address("[::1]:8080") }, nil},
		{"no backend", func(a *gooseberrymast.AgentSettings) { a.Backend.Address = netip.AddrPort{} }, []string{"backend.address: want an IP address and a port"}},
		{"protocol", func(a *gooseberrymast.AgentSettings) { a.Backend.Protocol = "http3" }, []string{`backend.protocol: got "http3", want "http1" or "h2c"`}},
		{"load path", func(a *gooseberrymast.AgentSettings) { a.Backend.LoadPath = "load" }, []string{"backend.load-path: got \"load\""}},
		{"weight", func(a *gooseberrymast.AgentSettings) { a.Weight = -1 }, []string{"weight: got -1, want 1 to 1000"}},
		{"cells", func(a *gooseberrymast.AgentSettings) { a.CellsPerZone = -1 }, []string{"cells-per-zone: got -1, want 1 to 64"}},
		{"no files", func(a *gooseberrymast.AgentSettings) { a.CertificateFile, a.CertificateKeyFile, a.KeyFile = "", "", "" },
			[]string{"certificate-file: want", "certificate-key-file: want", "key-file: want"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings := validAgent()
			test.change(&settings)
			expectFaults(t, settings.Validate(), test.want)
		})
	}
}

func expectFaults(t *testing.T, faults gooseberrymast.Faults, want []string) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(faults), len(want)) // as many faults as expected
	for i := range want {
		is.True(strings.HasPrefix(faults[i].Error(), want[i])) // names key, value and what is right
	}
}
