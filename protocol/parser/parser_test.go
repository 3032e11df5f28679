package parser_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/protocol/parser"
)

const validDocument = `zones = ["cairo-a", "cairo-b"]

[services.ledger]
streams = ["/screens/"]
[services.ledger.limits]
slots = 4
queue = 0
deadline = "2s"
`

func TestDocumentKeepsStatedZeroAndSetsDefaults(t *testing.T) {
	is := is.New(t)
	document, err := parser.Document([]byte(validDocument))
	is.NoErr(err)
	ledger := document.Services["ledger"]
	is.Equal(ledger.Limits.Slots, 4)
	is.Equal(ledger.Limits.Queue, 0) // a stated zero is kept
	is.Equal(ledger.Limits.Deadline.Std(), 2*time.Second)
	is.Equal(ledger.Limits.Connections, gooseberrymast.DefaultConnections)
	is.Equal(ledger.CrossZone, gooseberrymast.CrossZoneWhenFull)
}

func TestDocumentReportsEveryFault(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"not TOML", "zones = [\n\"a\"\nb", []string{"d.toml:3: zones: want TOML: "}},
		{"empty", "", []string{"d.toml: zones: want at least one", "d.toml: services: want at least one"}},
		{"unknown keys", validDocument + "slotz = 3\n[service]\n", []string{
			"d.toml:9: services.ledger.limits.slotz: got an unknown key, want one of caller-burst, caller-rate, ",
			"d.toml:10: service: got an unknown key, want one of services, zones",
		}},
		{"wrong case", strings.Replace(validDocument, "slots", "Slots", 1), []string{"d.toml:6: services.ledger.limits.Slots: got an unknown key"}},
		{"wrong types, all of them", "zones = 1\n[services.a.limits]\nslots = \"four\"\ndeadline = 10\nqueue = 1.5\nretry-budget = true\n", []string{
			"d.toml:1: zones: got 1, want a list of texts",
			`d.toml:3: services.a.limits.slots: got "four", want a whole number`,
			`d.toml:4: services.a.limits.deadline: got 10, want a duration such as "250ms"`,
			"d.toml:5: services.a.limits.queue: got 1.5, want a whole number",
			"d.toml:6: services.a.limits.retry-budget: got true, want a number",
		}},
		{"table expected", "zones = [\"a\"]\n[services]\na = 3\n", []string{"d.toml:3: services.a: got 3, want a table"}},
		{"ranges with lines", strings.Replace(validDocument, "queue = 0", "queue = -1\nretry-budget = 2", 1), []string{
			"d.toml:7: services.ledger.limits.queue: got -1, want 0 to 1000000",
			"d.toml:8: services.ledger.limits.retry-budget: got 2, want 0 to 1",
		}},
		{"inline table", "zones = [\"a\"]\nservices.b = {limits = {slots = 0}}\n", []string{"d.toml:2: services.b.limits.slots: got 0"}},
		{"key twice", "zones = [\"a\"]\nzones = [\"b\"]\n", []string{"d.toml:2: zones: want TOML: "}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := parser.DocumentFile("d.toml", []byte(test.text))
			expectFaults(t, err, test.want)
		})
	}
}

func TestTooLongDocumentIsRejected(t *testing.T) {
	_, err := parser.DocumentFile("d.toml", []byte(validDocument+strings.Repeat("# x\n", 1<<18)))
	expectFaults(t, err, []string{"d.toml: got 1048"})
}

func TestSettingsReportEveryFault(t *testing.T) {
	is := is.New(t)
	_, err := parser.Balancer("b.toml", []byte(`environment = "trial"
zone = "cairo-a"
forward-address = "balancer-1:7000"
control-address = "10.0.0.1:7001"
seeds = ["10.0.0.2:7001", "x"]
store-address = "http://10.0.0.9:7700"
key-file = "keys.toml"
operator-address = "10.0.0.1:7002"
[service-addresses]
ledger = ["10.0.0.1:443"]
`))
	expectFaults(t, err, []string{
		`b.toml: operators-address: want an IP address and a port such as "10.0.0.1:7000"; it is missing`,
		`b.toml:3: forward-address: got "balancer-1:7000", want an IP address and a port`,
		`b.toml:5: seeds: got [10.0.0.2:7001 x], want a list of IP addresses`,
		`b.toml:8: operator-address: got an unknown key, want one of cells-per-zone, control-address, `,
	})
	settings, err := parser.Agent("a.toml", []byte("weight = 7\nbackend = {protocol = \"h2c\"}\n"))
	is.Equal(settings.Weight, 7)
	is.Equal(settings.Backend.Protocol, gooseberrymast.ProtocolH2C)
	is.Equal(settings.Backend.HealthPath, gooseberrymast.DefaultHealthPath)
	is.True(err != nil)
}

func TestLocateSetsLines(t *testing.T) {
	is := is.New(t)
	faults := parser.Locate("d.toml", []byte(validDocument), gooseberrymast.Faults{
		{Key: "services.ledger.limits.slots"}, {Key: "services.ledger.drain.grace"}, {Key: "elsewhere"},
	})
	is.Equal(faults[0].Line, 6)
	is.Equal(faults[1].Line, 3) // the table around a missing key
	is.Equal(faults[2].Line, 0)
}

// addExamples adds the example files to the seed corpus.
func addExamples(f *testing.F) {
	f.Helper()
	files, err := filepath.Glob("../../examples/*.toml")
	if err != nil || len(files) == 0 {
		f.Fatalf("no examples: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
}

func FuzzDocument(f *testing.F) {
	addExamples(f)
	f.Add(validDocument)
	f.Add("zones = 1\nservices.\"a.b\" = {limits = 3}\n")
	f.Add("[[services]]\na=1\n[[zones]]\n")
	f.Add("services.a.limits.deadline = 2026-01-01\nservices.a.limits.caller-rate = nan")
	f.Fuzz(func(t *testing.T, text string) {
		document, err := parser.DocumentFile("d.toml", []byte(text))
		expectSingleLineFaults(t, err)
		if err == nil && len(document.Validate()) != 0 {
			t.Fatal("an accepted document is not valid")
		}
	})
}

func FuzzSettings(f *testing.F) {
	addExamples(f)
	f.Add("environment = \"trial\"\nseeds = [\"10.0.0.1:1\"]\n[service-addresses]\nledger = []\n")
	f.Add("backend.address = \"[::1]:80\"\nweight = -1\nshards = 99999999999999999999")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := parser.Balancer("b.toml", []byte(text))
		expectSingleLineFaults(t, err)
		_, err = parser.Agent("a.toml", []byte(text))
		expectSingleLineFaults(t, err)
	})
}

// expectSingleLineFaults checks that the error is a list of faults and that each
// of them is one line.
func expectSingleLineFaults(t *testing.T, err error) {
	t.Helper()
	var faults gooseberrymast.Faults
	if err != nil && !errors.As(err, &faults) {
		t.Fatalf("got an error of type %T, want gooseberrymast.Faults", err)
	}
	for _, fault := range faults {
		if fault.Want == "" || strings.ContainsAny(fault.Error(), "\n\r") {
			t.Fatalf("fault %q is incomplete or not a single line", fault.Error())
		}
	}
}

func expectFaults(t *testing.T, err error, want []string) {
	t.Helper()
	is := is.New(t)
	var faults gooseberrymast.Faults
	is.True(errors.As(err, &faults))
	lines := strings.Split(faults.Error(), "\n")
	is.Equal(len(lines), len(want)) // the number of faults
	for i := range want {
		if !strings.HasPrefix(lines[i], want[i]) {
			t.Errorf("got %q, want %q", lines[i], want[i])
		}
	}
}
