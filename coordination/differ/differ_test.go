package differ_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/differ"
)

func document() gooseberrymast.Document {
	document := gooseberrymast.Document{
		Zones:    []string{"cairo-a"},
		Services: map[string]gooseberrymast.Service{"ledger": {}},
	}
	document.SetDefaults()
	return document
}

func TestCompare(t *testing.T) {
	tests := []struct {
		name   string
		change func(*gooseberrymast.Document)
		want   []string
	}{
		{"nothing", func(*gooseberrymast.Document) {}, nil},
		{"values", func(d *gooseberrymast.Document) {
			ledger := d.Services["ledger"]
			ledger.Limits.Slots = 5
			ledger.Drain.MaxWait = gooseberrymast.Duration(time.Hour)
			ledger.Streams = []string{"/screens/", "/feeds/"}
			d.Services["ledger"] = ledger
			d.Zones = append(d.Zones, "cairo-b")
		}, []string{
			"services.ledger.drain.max-wait: 0s → 1h0m0s",
			"services.ledger.limits.slots: 4 → 5",
			"services.ledger.streams: [] → [/screens/, /feeds/]",
			"zones: [cairo-a] → [cairo-a, cairo-b]",
		}},
		{"service removed", func(d *gooseberrymast.Document) { delete(d.Services, "ledger") }, []string{
			"services.ledger: removed, was a service",
		}},
		{"service added", func(d *gooseberrymast.Document) {
			d.Services["a"] = gooseberrymast.Service{CrossZone: "never"}
			d.SetDefaults()
		}, []string{
			"services.a: added, a service",
			"services.a.cross-zone: added, never",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			changed := document()
			test.change(&changed)
			changes := differ.Compare(document(), changed)
			is.Equal(len(changes), len(test.want))
			for i, want := range test.want {
				is.Equal(changes[i].String(), want)
			}
		})
	}
}
