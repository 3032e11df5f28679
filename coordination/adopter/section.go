package adopter

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"gooseberrymast"
)

// section is the part of a document that applies to one service. Its hash covers
// the field names, here and in Service: renaming one would change the hash that
// processes compare.
type section struct {
	Zones   []string
	Service *gooseberrymast.Service
}

// Section returns SectionOf for the document in force, or zero before the first.
func (a *Adopter) Section(tag gooseberrymast.ServiceTag) uint64 {
	if a.Current.Number == 0 {
		return 0
	}
	sum, cached := a.sections[tag]
	if !cached {
		sum = SectionOf(a.Document, tag)
		if a.sections == nil {
			a.sections = map[gooseberrymast.ServiceTag]uint64{}
		}
		a.sections[tag] = sum
	}
	return sum
}

// SectionOf returns the hash of the part of a document that applies to a service.
// It is never zero.
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
