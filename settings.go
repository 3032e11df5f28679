package gooseberrymast

import "net/netip"

// BalancerSettings are the start-up settings of one balancer process.
type BalancerSettings struct {
	// Environment is the environment whose document the balancer follows.
	Environment string `toml:"environment"`
	// Zone is the availability zone of the balancer's instance.
	Zone string `toml:"zone"`
	// ServiceAddresses are the UDP addresses at which callers reach each
	// service, by the service's name. Each address belongs to one service.
	ServiceAddresses map[string][]netip.AddrPort `toml:"service-addresses"`
	// ForwardAddress is the UDP address for datagrams to and from agents.
	ForwardAddress netip.AddrPort `toml:"forward-address"`
	// ControlAddress is the TCP address for sessions between processes.
	ControlAddress netip.AddrPort `toml:"control-address"`
	// Seeds are control addresses of other balancers; the first balancer of
	// an environment has none.
	Seeds []netip.AddrPort `toml:"seeds"`
	// OperatorsAddress is the TCP address of metrics, health and status.
	OperatorsAddress netip.AddrPort `toml:"operators-address"`
	// StoreAddress is the base URL of the platform's object API.
	StoreAddress string `toml:"store-address"`
	// KeyFile holds the fleet's keys.
	KeyFile string `toml:"key-file"`
	// Shards is the number of sockets and threads for each address; zero is
	// the number of processors.
	Shards int `toml:"shards"`
	// CellsPerZone divides the membership of each availability zone. It must
	// be the same in every process of an environment.
	CellsPerZone int `toml:"cells-per-zone"`
	// LogLevel is one of LogLevels.
	LogLevel string `toml:"log-level"`
}

// AgentSettings are the start-up settings of one agent process.
type AgentSettings struct {
	// Environment is the environment whose document the agent follows.
	Environment string `toml:"environment"`
	// Service is the name of the backend server's service.
	Service string `toml:"service"`
	// Zone is the availability zone of the backend server's instance.
	Zone string `toml:"zone"`
	// Address is the IPv4 UDP address that receives forwarded packets. Address
	// and incarnation together are the agent's identity.
	Address netip.AddrPort `toml:"address"`
	// ControlAddress is the TCP address for sessions between processes.
	ControlAddress netip.AddrPort `toml:"control-address"`
	// Seeds are control addresses of balancers, at least one.
	Seeds []netip.AddrPort `toml:"seeds"`
	// Backend describes the backend server on the agent's instance.
	Backend BackendSettings `toml:"backend"`
	// CertificateFile holds the certificate chain for callers, in PEM.
	CertificateFile string `toml:"certificate-file"`
	// CertificateKeyFile holds the certificate's private key, in PEM.
	CertificateKeyFile string `toml:"certificate-key-file"`
	// KeyFile holds the fleet's keys.
	KeyFile string `toml:"key-file"`
	// OperatorsAddress is the TCP address of metrics, health, status and refusals.
	OperatorsAddress netip.AddrPort `toml:"operators-address"`
	// Weight is the agent's weight for new flows relative to the service's other
	// agents.
	Weight int `toml:"weight"`
	// CellsPerZone divides the membership of each availability zone. It must
	// be the same in every process of an environment.
	CellsPerZone int `toml:"cells-per-zone"`
	// LogLevel is one of LogLevels.
	LogLevel string `toml:"log-level"`
}

// BackendSettings describes one backend server to its agent.
type BackendSettings struct {
	// Address is the TCP address at which the backend server listens.
	Address netip.AddrPort `toml:"address"`
	// Protocol is ProtocolHTTP1 or ProtocolH2C.
	Protocol string `toml:"protocol"`
	// HealthPath is polled by GET; 200 is healthy. Empty: not polled.
	HealthPath string `toml:"health-path"`
	// LoadPath is polled by GET; the body is the number of requests in
	// progress in decimal. Empty: not polled.
	LoadPath string `toml:"load-path"`
}

// The protocols of a backend server.
const (
	ProtocolHTTP1 = "http1"
	ProtocolH2C   = "h2c"
)

// The defaults and ranges of settings.
const (
	DefaultWeight       = 1
	DefaultCellsPerZone = 1
	DefaultHealthPath   = "/healthz"
	DefaultLogLevel     = "info"
	MaxWeight           = 1000
	MaxShards           = 256
	MaxCellsPerZone     = 64
)

// LogLevels lists the log levels, the most verbose first.
var LogLevels = []string{"debug", "info", "warn", "error"}

// SetDefaults sets every zero field that has a default.
func (b *BalancerSettings) SetDefaults() {
	setDefault(&b.CellsPerZone, DefaultCellsPerZone)
	setDefault(&b.LogLevel, DefaultLogLevel)
}

// SetDefaults sets every zero field that has a default.
func (a *AgentSettings) SetDefaults() {
	setDefault(&a.Backend.Protocol, ProtocolHTTP1)
	setDefault(&a.Backend.HealthPath, DefaultHealthPath)
	setDefault(&a.Weight, DefaultWeight)
	setDefault(&a.CellsPerZone, DefaultCellsPerZone)
	setDefault(&a.LogLevel, DefaultLogLevel)
}
