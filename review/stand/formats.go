package main

import (
	"bytes"
	"embed"
	"net/netip"
	"strings"
	"text/template"
)

// formatFiles holds the platform's formats, with its names.
//
//go:embed formats
var formatFiles embed.FS

var formats = template.Must(template.ParseFS(formatFiles, "formats/*"))

// format fills in one of the platform's formats.
func format(name string, values any) []byte {
	var text bytes.Buffer
	if err := formats.ExecuteTemplate(&text, name, values); err != nil {
		panic(err)
	}
	return text.Bytes()
}

// settingsVariable is the environment variable with the path of the settings file.
func settingsVariable() string {
	return strings.TrimSpace(string(format("variable", nil)))
}

// settingsValues are the values of a settings file.
type settingsValues struct {
	Name, Role, Class, Zone, Service                   string
	IP                                                 netip.Addr
	Datagram, Readiness, Control, Outbound, App, Store netip.AddrPort
	FirstPort, LastPort                                uint16
	PingMs                                             int64
}

// routeValues are those of one route of a manifest. Several services have the same weight.
type routeValues struct {
	Address  netip.AddrPort
	Type     string
	Services []string
}

// manifestValues are those of a manifest.
type manifestValues struct {
	Version int
	Routes  []routeValues
	IdleMs  int64
}

// pingValues are those of a host's ping.
type pingValues struct {
	Service, Zone, State string
	Address              netip.AddrPort
	Sequence             uint64
	Born                 int64
}
