// Package parser reads documents and settings in TOML. It reports every fault
// of a text at once, each with its line and key.
package parser

import (
	"errors"
	"sort"

	"github.com/BurntSushi/toml"

	"gooseberrymast"
)

// MaxDocumentBytes is the longest document that is accepted, in bytes. It
// leaves room for the revision's own fields in one object of the store.
const MaxDocumentBytes = gooseberrymast.MaxObjectBytes - 1<<16

// Document decodes and validates the text of a document. The defaults of the
// keys left out are set. The error is a gooseberrymast.Faults.
func Document(text []byte) (gooseberrymast.Document, error) {
	return DocumentFile("", text)
}

// DocumentFile is Document with the name of the file in each fault.
func DocumentFile(file string, text []byte) (gooseberrymast.Document, error) {
	var document gooseberrymast.Document
	if len(text) > MaxDocumentBytes {
		return document, tooLong(file, text).Err()
	}
	err := parse(file, text, &document)
	return document, err
}

// Balancer decodes and validates a balancer's settings. With an error, a
// gooseberrymast.Faults, the settings hold what could be read.
func Balancer(file string, text []byte) (gooseberrymast.BalancerSettings, error) {
	var settings gooseberrymast.BalancerSettings
	settings.Defaults()
	err := parse(file, text, &settings)
	return settings, err
}

// Agent decodes and validates an agent's settings. With an error, a
// gooseberrymast.Faults, the settings hold what could be read.
func Agent(file string, text []byte) (gooseberrymast.AgentSettings, error) {
	var settings gooseberrymast.AgentSettings
	settings.Defaults()
	err := parse(file, text, &settings)
	return settings, err
}

// Forwarding decodes and validates the settings of a process that forwards
// packets. With an error, a gooseberrymast.Faults, the settings hold what could
// be read.
func Forwarding(file string, text []byte) (gooseberrymast.ForwardingSettings, error) {
	var settings gooseberrymast.ForwardingSettings
	settings.Defaults()
	err := parse(file, text, &settings)
	return settings, err
}

// Locate gives each fault the file and, where the text has the key or a table
// around it, the line.
func Locate(file string, text []byte, faults gooseberrymast.Faults) gooseberrymast.Faults {
	decoder := decoder{file: file}
	decoder.open(text)
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
		if !decoder.reported(fault.Key) {
			faults = append(faults, fault)
		}
	}
	faults = decoder.locate(faults)
	sort.SliceStable(faults, func(i, j int) bool {
		return faults[i].Line < faults[j].Line
	})
	return faults.Err()
}

func tooLong(file string, text []byte) gooseberrymast.Faults {
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
