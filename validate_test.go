package gooseberrymast_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

func validDocument() gooseberrymast.Document {
	document := gooseberrymast.Document{
		Zones: []string{"cairo-a", "cairo-b"},
		Services: map[string]gooseberrymast.Service{
			"ledger": {Streams: []string{"/screens/"}, Idempotent: []string{"/search"}},
		},
	}
	document.SetDefaults()
	return document
}

func TestDocumentValidate(t *testing.T) {
	tests := []struct {
		name   string
		change func(*gooseberrymast.Document, *gooseberrymast.Service)
		// want is one substring for each fault, in order.
		want []string
	}{
		{"good", func(*gooseberrymast.Document, *gooseberrymast.Service) {}, nil},
		{"no zones", func(d *gooseberrymast.Document, _ *gooseberrymast.Service) { d.Zones = nil }, []string{"zones: want at least one"}},
		{"zone twice", func(d *gooseberrymast.Document, _ *gooseberrymast.Service) { d.Zones = []string{"a", "a"} }, []string{`zones: got "a", want each name once`}},
		{"empty zone", func(d *gooseberrymast.Document, _ *gooseberrymast.Service) { d.Zones = []string{""} }, []string{`zones: got "", want a zone name`}},
		{"unknown zone", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) { s.Zones = []string{"giza"} }, []string{`services.ledger.zones: got "giza", want one of the document's zones: cairo-a, cairo-b`}},
		{"no slots", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) { s.Limits.Slots = 0 }, []string{"limits.slots: got 0, want 1 to 100000"}},
		{"no queue is allowed", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) { s.Limits.Queue = 0 }, nil},
		{"negative connections", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) { s.Limits.Connections = -1 }, []string{"limits.connections: got -1"}},
		{"share above one", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) { s.Limits.RetryBudget = 1.5 }, []string{"limits.retry-budget: got 1.5, want 0 to 1"}},
		{"share not a number", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) { s.Limits.MaxEjected = math.NaN() }, []string{"limits.max-ejected: got NaN"}},
		{"infinite rate", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) { s.Limits.CallerRate = math.Inf(1) }, []string{"limits.caller-rate: got +Inf"}},
		{"deadline above its maximum", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) {
			s.Limits.Deadline = gooseberrymast.Duration(time.Hour)
		}, []string{"limits.deadline: got 1h0m0s, want at most max-deadline, 10m0s"}},
		{"long grace", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) {
			s.Drain.Grace = gooseberrymast.Duration(time.Minute)
		}, []string{"drain.grace: got 1m0s, want 0s to 10s"}},
		{"wait below grace", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) {
			s.Drain.MaxWait = gooseberrymast.Duration(time.Second)
		}, []string{"drain.max-wait: got 1s"}},
		{"relative path", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) { s.Streams = []string{"screens"} }, []string{`streams: got "screens", want a path that starts with "/"`}},
		{"path twice", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) { s.Idempotent = []string{"/a", "/a"} }, []string{`idempotent: got "/a", want each path once`}},
		{"cross-zone", func(_ *gooseberrymast.Document, s *gooseberrymast.Service) { s.CrossZone = "always" }, []string{`cross-zone: got "always", want "never" or "when-full"`}},
		{"all at once", func(d *gooseberrymast.Document, s *gooseberrymast.Service) {
			d.Zones = nil
			s.Limits.Slots = -2
			s.CrossZone = "x"
		}, []string{"zones:", "cross-zone:", "limits.slots:"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			document := validDocument()
			service := document.Services["ledger"]
			test.change(&document, &service)
			document.Services["ledger"] = service
			faults := document.Validate()
			is.Equal(len(faults), len(test.want)) // as many faults as expected
			for i, want := range test.want {
				is.True(strings.Contains(faults[i].Error(), want)) // names key, value and what is right
			}
		})
	}
}

func TestDocumentValidateNames(t *testing.T) {
	is := is.New(t)
	names := []string{"", "Ledger", "1st", "a--b", "a-", "a.b", strings.Repeat("a", 64)}
	for _, name := range names {
		document := validDocument()
		document.Services[name] = document.Services["ledger"]
		is.Equal(len(document.Validate()), 1) // one fault for the name
	}
}

func TestDocumentValidateTags(t *testing.T) {
	is := is.New(t)
	first, second := collision()
	document := validDocument()
	document.Services[first] = document.Services["ledger"]
	document.Services[second] = document.Services["ledger"]
	faults := document.Validate()
	is.Equal(len(faults), 1) // the collision
	is.True(strings.Contains(faults[0].Want, first) || strings.Contains(faults[0].Want, second))
}

// collision returns two different service names with the same tag.
func collision() (first, second string) {
	seen := map[gooseberrymast.ServiceTag]string{}
	for i := range 1 << 17 {
		name := "s" + strings.Repeat("x", i%40) + string(rune('a'+i/40%26)) + string(rune('a'+i/1040%26)) + string(rune('a'+i/27040))
		tag := gooseberrymast.TagOf(name)
		if other, taken := seen[tag]; taken && other != name {
			return other, name
		}
		seen[tag] = name
	}
	return "", ""
}

func TestFaultIsOneLine(t *testing.T) {
	is := is.New(t)
	fault := gooseberrymast.Fault{
		File: "a.toml", Line: 3, Key: "zones",
		Value: gooseberrymast.FaultValue("a\nb" + strings.Repeat("c", 100)), Want: "a name",
	}
	is.True(!strings.Contains(fault.Error(), "\n"))
	is.True(strings.HasPrefix(fault.Error(), `a.toml:3: zones: got "a\nbccc`))
	is.True(len(fault.Error()) < 120)
}
