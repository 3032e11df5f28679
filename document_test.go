package gooseberrymast_test

import (
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
)

func TestDocumentAllows(t *testing.T) {
	document := &gooseberrymast.Document{
		Zones: []string{"cairo-a", "cairo-b"},
		Services: map[string]gooseberrymast.Service{
			"ledger":   {Zones: []string{"cairo-b"}},
			"receipts": {},
		},
	}
	tests := []struct {
		name          string
		document      *gooseberrymast.Document
		service, zone string
		want          bool
	}{
		{"listed", document, "ledger", "cairo-b", true},
		{"not listed", document, "ledger", "cairo-a", false},
		{"the document's", document, "receipts", "cairo-a", true},
		{"not the document's", document, "receipts", "dixie-a", false},
		{"a service that isn't named", document, "loans", "dixie-a", false},
		{"no zones at all", &gooseberrymast.Document{}, "ledger", "dixie-a", true},
		{"no document", nil, "ledger", "dixie-a", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(test.document.Allows(test.service, test.zone), test.want)
		})
	}
}

func TestDocumentRestrict(t *testing.T) {
	is := is.New(t)
	ledger, receipts := gooseberrymast.TagOf("ledger"), gooseberrymast.TagOf("receipts")
	inA := gooseberrymast.Member{Record: gooseberrymast.Record{Zone: "cairo-a"}}
	inB := gooseberrymast.Member{Record: gooseberrymast.Record{Zone: "cairo-b"}}
	both := []gooseberrymast.Member{inA, inB}
	table := &gooseberrymast.Table{Version: 7, Services: map[gooseberrymast.ServiceTag][]gooseberrymast.Member{ledger: both, receipts: both}}
	document := &gooseberrymast.Document{
		Zones:    []string{"cairo-a", "cairo-b"},
		Services: map[string]gooseberrymast.Service{"ledger": {Zones: []string{"cairo-b"}}},
	}
	restricted := document.Restrict(table, "ledger", "receipts")
	is.Equal(restricted.Version, uint64(7))
	is.Equal(restricted.Members(ledger), []gooseberrymast.Member{inB})
	is.Equal(restricted.Members(receipts), both)
	is.Equal(table.Members(ledger), both)                  // the table itself is unchanged
	is.True(document.Restrict(table, "receipts") == table) // no agent to remove
	is.True(document.Restrict(nil, "ledger") == nil)       // before any table
	is.True((*gooseberrymast.Document)(nil).Restrict(table, "ledger") == table)
}
