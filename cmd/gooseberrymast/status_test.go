package main

import (
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/state/recorder"
	"gooseberrymast/transport/operator"
)

func identity(text string) gooseberrymast.Identity {
	return gooseberrymast.Identity{Address: netip.MustParseAddrPort(text), Incarnation: 1}
}

// startOperatorsServer serves an operators' address and returns it.
func startOperatorsServer(t *testing.T, server *operator.Server) string {
	t.Helper()
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return strings.TrimPrefix(listener.URL, "http://")
}

func trialStatus() gooseberrymast.Status {
	return gooseberrymast.Status{
		Instance: identity("10.0.0.1:7000"), Environment: "trial", Revision: 1, Newest: 1, StoreReachable: true,
		Revisions: []gooseberrymast.RevisionStatus{
			{Number: 1, Instances: 9},
			{Number: 0, Instances: 2, Identities: []gooseberrymast.Identity{identity("10.0.1.7:7000")}},
		},
		Services: []gooseberrymast.ServiceStatus{{Name: "ledger", Members: []gooseberrymast.MemberStatus{
			{Identity: identity("10.0.1.7:7000"), Zone: "cairo-a", State: "leaving", Suspect: true, Why: "it is leaving"},
		}}},
		Cells: []gooseberrymast.CellStatus{{Name: "cairo-a-0", Holder: identity("10.0.0.1:7000"), Members: 4, Version: 12}},
	}
}

func TestStatus(t *testing.T) {
	is := is.New(t)
	address := startOperatorsServer(t, &operator.Server{Status: trialStatus})
	code, stdout, _ := execute("status", "--balancer", address)
	is.Equal(code, exitOK)
	for _, want := range []string{
		"revision 1 is not in force everywhere yet\n",
		"none      2          10.0.1.7:7000#1 and 1 more\n",
		"leaving, suspect",
		"it is leaving\n",
		"cairo-a-0  10.0.0.1:7000#1  4        12\n",
	} {
		if !strings.Contains(stdout, want) {
			t.Errorf("%q is missing from\n%s", want, stdout)
		}
	}
	_, stdout, _ = execute("status", "--json", "--balancer", address)
	is.True(strings.Contains(stdout, `"store-reachable":true`))
	is.Equal(strings.Count(stdout, "\n"), 1) // one object on one line
	code, _, _ = execute("status", "--balancer", "balancer-1:7002")
	is.Equal(code, exitInvalid)
	code, _, _ = execute("status", "--balancer", "127.0.0.1:1")
	is.Equal(code, exitFailed)
}

func TestStatusFilters(t *testing.T) {
	status := trialStatus()
	members := status.Services[0].Members
	status.Services[0].Members = append(members, members[0], gooseberrymast.MemberStatus{Identity: identity("10.0.1.8:7000"), Zone: "cairo-b", State: "ready"})
	status.Services = append(status.Services, gooseberrymast.ServiceStatus{Name: "receipts"})
	status.Balancers = []gooseberrymast.MemberStatus{{Identity: identity("10.0.0.1:7000"), Zone: "cairo-a", State: "ready"}}
	address := startOperatorsServer(t, &operator.Server{Status: func() gooseberrymast.Status { return status }})
	tests := []struct {
		name     string
		flags    []string
		code     int
		has, not []string
	}{
		{"all", nil, exitOK, []string{"10.0.1.8:7000#1", "SERVICE receipts", "BALANCERS", "CELL"}, []string{"COUNT"}},
		{"one service", []string{"--service", "ledger"}, exitOK, []string{"10.0.1.8:7000#1", "REVISION"}, []string{"receipts", "BALANCERS", "CELL"}},
		{"summary", []string{"--summary"}, exitOK, []string{"cairo-a  leaving, suspect  2\n", "cairo-b  ready", "SERVICE receipts", "BALANCERS", "CELL"}, []string{"10.0.1.8", "WHY"}},
		{"both", []string{"--service", "ledger", "--summary"}, exitOK, []string{"leaving, suspect  2\n"}, []string{"10.0.1.8", "receipts", "BALANCERS", "CELL"}},
		{"both as JSON", []string{"--service", "ledger", "--summary", "--json"}, exitOK, []string{`"suspect":true,"count":2}`}, []string{"10.0.1.8", "receipts", "cairo-a-0"}},
		{"unknown service", []string{"--service", "loans"}, exitFailed, nil, []string{"ledger"}},
		{"no name", []string{"--service", "a/b"}, exitInvalid, nil, nil},
		{"at an agent", []string{"--summary", "--agent", address}, exitInvalid, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			flags := append([]string{"status"}, test.flags...)
			if !slices.Contains(flags, "--agent") {
				flags = append(flags, "--balancer", address)
			}
			code, stdout, _ := execute(flags...)
			is.New(t).Equal(code, test.code)
			for _, want := range test.has {
				if !strings.Contains(stdout, want) {
					t.Errorf("%q is missing from\n%s", want, stdout)
				}
			}
			for _, unwanted := range test.not {
				if strings.Contains(stdout, unwanted) {
					t.Errorf("%q is in\n%s", unwanted, stdout)
				}
			}
		})
	}
}

func TestAgentStatus(t *testing.T) {
	is := is.New(t)
	address := startOperatorsServer(t, &operator.Server{AgentStatus: func() gooseberrymast.AgentStatus {
		return gooseberrymast.AgentStatus{Instance: identity("10.0.1.7:7000"), Service: "ledger", State: "leaving", Flows: 3, Streams: 2, Running: 1}
	}})
	code, stdout, _ := execute("status", "--agent", address)
	is.Equal(code, exitOK)
	is.True(strings.Contains(stdout, "state leaving"))
	is.True(strings.Contains(stdout, "flows 3, streams 2, requests running 1, queued 0"))
}

func TestApplyWaitsUntilInForceEverywhere(t *testing.T) {
	is := is.New(t)
	requests := 0
	address := startOperatorsServer(t, &operator.Server{Status: func() gooseberrymast.Status {
		status := trialStatus()
		if requests++; requests > 3 {
			status.Revisions = status.Revisions[:1]
		}
		return status
	}})
	code, _, stderr := applyAs(t, &memoryStore{}, "amina", slots4, "--wait", "1s", "--balancer", address)
	is.Equal(code, exitFailed)
	is.Equal(stderr, "trial: revision 1 is applied, but after 1s: the revision is not in force everywhere: 2 of 11 instances don't have revision 1 in force\n")
	code, stdout, _ := applyAs(t, &memoryStore{}, "amina", slots4, "--wait", "1s", "--balancer", address)
	is.Equal(code, exitOK)
	is.Equal(stdout, "trial: applied as revision 1 by amina\ntrial: revision 1 is in force everywhere\n")
	code, _, _ = applyAs(t, &memoryStore{}, "amina", slots4, "--wait", "1s")
	is.Equal(code, exitInvalid) // no balancer to query
}

type oneRefusal gooseberrymast.Refusal

func (o oneRefusal) Find(id string) (gooseberrymast.Refusal, bool) {
	return gooseberrymast.Refusal(o), id == o.ID
}

func TestExplain(t *testing.T) {
	is := is.New(t)
	refusal := gooseberrymast.Refusal{
		ID: recorder.Identifier(identity("127.0.0.1:7000"), 5), Reason: gooseberrymast.ReasonQueueFull, Ran: gooseberrymast.RanNo, Service: "ledger",
		Limit: "queue", Value: "32", Revision: 7, Instance: "10.0.1.7:7000", Time: time.Unix(0, 0),
	}
	address := startOperatorsServer(t, &operator.Server{Refusals: oneRefusal(refusal)})
	_, port, _ := strings.Cut(address, ":")
	code, stdout, _ := execute("explain", refusal.ID, "--port", port)
	is.Equal(code, exitOK)
	is.Equal(stdout, refusal.Sentence()+"\nid "+refusal.ID+", reason queue-full, at 1970-01-01T00:00:00Z\n")
	other := recorder.Identifier(identity("10.9.9.9:7000"), 5)
	code, _, stderr := execute("explain", other, "--agent", address)
	is.Equal(code, exitFailed)
	is.True(strings.Contains(stderr, "refusal "+other+" is not kept at "+address))
	code, _, stderr = execute("explain", refusal.ID, "--port", "1")
	is.Equal(code, exitFailed)
	is.True(strings.HasPrefix(stderr, "the agent can't be asked; if it was stopped, its refusals are gone with it: "))
	code, _, stderr = execute("explain", "../status", "--agent", address)
	is.Equal(code, exitInvalid)
	is.Equal(stderr, "ID: got \"../status\", want the identifier of a refusal\n")
}

func TestPromote(t *testing.T) {
	status := trialStatus()
	address := startOperatorsServer(t, &operator.Server{Status: func() gooseberrymast.Status { return status }})
	is := is.New(t)
	store := &memoryStore{}
	applyAs(t, store, "amina", slots4)
	flags := []string{"promote", "--from", "trial", "--to", "production", "--store", "http://127.0.0.1:1", "--author", "karim", "--balancer", address}

	code, _, stderr := executeOn(store, flags...)
	is.Equal(code, exitFailed)
	is.Equal(stderr, "trial: revision 1 was not promoted: the revision is not in force everywhere: 2 of 11 instances don't have revision 1 in force\n")
	is.Equal(len(store.objects), 2) // trial's document and its copy only

	code, _, _ = executeOn(store, append(flags, "--force", "")...)
	is.Equal(code, exitInvalid) // a reason is needed
	code, stdout, _ := executeOn(store, append(flags, "--force", "two agents are being repaired")...)
	is.Equal(code, exitOK)
	is.True(strings.HasPrefix(stdout, "trial: promoting revision 1 by amina at 20"))
	is.True(strings.HasSuffix(stdout, "Z\nproduction: applied as revision 1 by karim, forced: two agents are being repaired\n"))

	status.Revisions = status.Revisions[:1]
	code, stdout, _ = executeOn(store, flags...)
	is.Equal(code, exitOK)
	is.True(strings.HasSuffix(stdout, "Z\nproduction: applied as revision 2 by karim\n  its text is that of revision 1\n"))
	_, stdout, _ = executeOn(store, "history", "--environment", "production", "--store", "http://127.0.0.1:1", "--show", "2")
	is.Equal(stdout, slots4) // the very same bytes
	code, stdout, _ = executeOn(store, append(flags, "--wait", "2s", "--to-balancer", address)...)
	is.Equal(code, exitFailed) // a balancer of trial reports nothing about production
	is.True(strings.Contains(stdout, "production: applied as revision 3"))
	code, _, _ = executeOn(store, "promote", "--from", "trial", "--to", "trial", "--author", "a")
	is.Equal(code, exitInvalid)
}
