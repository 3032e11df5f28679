package main

import (
	"bytes"
	"embed"
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
	return bytes.TrimSpace(text.Bytes())
}

// settingsVariable is the environment variable with the path of the settings file.
func settingsVariable() string {
	return strings.TrimSpace(string(format("variable", nil)))
}

// settingsValues are those of a machine's settings file.
type settingsValues struct {
	Name, Role, Zone, Service     string
	Zones                         []string
	IP, Packets, Readiness, Store string
	App, Outbound, Control        string
	FirstInner, LastInner         uint16
	StableWindowMs                int64
}

// ping holds the values of a ping.
type ping struct {
	Service, Address, Zone, State string
	Slots                         int
	Sequence                      uint64
	Born                          int64
}

// manifestValues are those of a manifest.
type manifestValues struct {
	Version  uint64
	Routes   []routeValues
	Services []string
}

type routeValues struct {
	Host, Service, Kind string
	Port                uint16
}
