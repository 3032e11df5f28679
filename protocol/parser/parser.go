// Package parser decodes and validates documents and settings in TOML. It
// reports all faults of a text together, each with its line and key.
package parser

import (
	"errors"
	"sort"

	"github.com/BurntSushi/toml"

	"gooseberrymast"
)

// MaxDocumentBytes is the size of the largest document that is accepted. The
// revision's other fields take the rest of an object in the store.
const MaxDocumentBytes = gooseberrymast.MaxObjectBytes - 1<<16

// Document decodes and validates the text of a document. Missing keys get their
// defaults. The error is a gooseberrymast.Faults.
func Document(text []byte) (gooseberrymast.Document, error) {
	return DocumentFile("", text)
}

// DocumentFile is like Document but sets the file's name in each fault.
func DocumentFile(file string, text []byte) (gooseberrymast.Document, error) {
	var document gooseberrymast.Document
	if len(text) > MaxDocumentBytes {
		return document, tooLongFaults(file, text).Err()
	}
	err := parse(file, text, &document)
	return document, err
}

// Balancer decodes and validates a balancer's settings. With an error, a
// gooseberrymast.Faults, the settings hold what could be read.
func Balancer(file string, text []byte) (gooseberrymast.BalancerSettings, error) {
	var settings gooseberrymast.BalancerSettings
	settings.SetDefaults()
	err := parse(file, text, &settings)
	return settings, err
}

// Agent decodes and validates an agent's settings. With an error, a
// gooseberrymast.Faults, the settings hold what could be read.
func Agent(file string, text []byte) (gooseberrymast.AgentSettings, error) {
	var settings gooseberrymast.AgentSettings
	settings.SetDefaults()
	err := parse(file, text, &settings)
	return settings, err
}

// Forwarding decodes and validates the settings of a process that forwards
// packets. With an error, a gooseberrymast.Faults, the settings hold what could
// be read.
func Forwarding(file string, text []byte) (gooseberrymast.ForwardingSettings, error) {
	var settings gooseberrymast.ForwardingSettings
	settings.SetDefaults()
	err := parse(file, text, &settings)
	return settings, err
}

// Locate returns the faults with the file's name and, where the text has the
// key or a table that contains it, with the line.
func Locate(file string, text []byte, faults gooseberrymast.Faults) gooseberrymast.Faults {
	decoder := decoder{file: file}
	decoder.parse(text)
	return decoder.locate(faults)
}

type validator interface {
	Validate() gooseberrymast.Faults
}

func parse(file string, text []byte, value validator) error {
	decoder := decoder{file: file}
	if !decoder.decode(text, value) {
		return decoder.faults.Err()
	}
	faults := decoder.faults
	for _, fault := range value.Validate() {
		if !decoder.isReported(fault.Key) {
			faults = append(faults, fault)
		}
	}
	faults = decoder.locate(faults)
	sort.SliceStable(faults, func(i, j int) bool {
		return faults[i].Line < faults[j].Line
	})
	return faults.Err()
}

func tooLongFaults(file string, text []byte) gooseberrymast.Faults {
	return gooseberrymast.Faults{{
		File:  file,
		Value: gooseberrymast.FaultValue(len(text)) + " bytes",
		Want:  "at most " + gooseberrymast.FaultValue(MaxDocumentBytes) + " bytes",
	}}
}

// syntaxFault describes a text that is not TOML.
func syntaxFault(file string, err error) gooseberrymast.Fault {
	fault := gooseberrymast.Fault{File: file, Want: "TOML: " + oneLine(err.Error())}
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		fault.Line = parseError.Position.Line
		fault.Key = oneLine(parseError.LastKey)
		fault.Want = "TOML: " + oneLine(parseError.Message)
	}
	return fault
}
