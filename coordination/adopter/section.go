package adopter

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"gooseberrymast"
)

// section is the part of a document that concerns one service.
type section struct {
	Zones   []string
	Service *gooseberrymast.Service
}

// Section gives the hash of what the document in force says of a service, or
// zero before any is in force.
func (a *Adopter) Section(tag gooseberrymast.ServiceTag) uint64 {
	if a.Current.Number == 0 {
		return 0
	}
	sum, known := a.sections[tag]
	if !known {
		sum = SectionOf(a.Document, tag)
		if a.sections == nil {
			a.sections = map[gooseberrymast.ServiceTag]uint64{}
		}
		a.sections[tag] = sum
	}
	return sum
}

// SectionOf gives the hash of what a document says of a service. It is never
// zero.
func SectionOf(document gooseberrymast.Document, tag gooseberrymast.ServiceTag) uint64 {
	part := section{Zones: document.Zones}
	for name, service := range document.Services {
		if gooseberrymast.TagOf(name) == tag {
			part.Service = &service
			break
		}
	}
	text, err := json.Marshal(part)
	if err != nil {
		panic(fmt.Sprintf("adopter.SectionOf: %v", err)) // Documents have no value that JSON lacks.
	}
	return max(xxhash.Sum64(text), 1)
}
