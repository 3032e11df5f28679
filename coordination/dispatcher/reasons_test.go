package dispatcher

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// last gives the refusal among the actions, or the latest that was recorded.
func last(d *Dispatcher, actions []gooseberrymast.Action) gooseberrymast.Refusal {
	for _, action := range actions {
		if action.Kind == gooseberrymast.ActionRefuse {
			return action.Refusal
		}
	}
	for _, refusal := range d.recorder.Recent(1) {
		return refusal
	}
	return gooseberrymast.Refusal{}
}

// ending gives the refusal of a request whose first attempt ends in a result.
func ending(work gooseberrymast.Work, result gooseberrymast.Result) gooseberrymast.Refusal {
	d := ready(limits(), 0)
	d.Arrive(epoch, work)
	return last(d, d.Finish(at(time.Millisecond), work.ID, result, gooseberrymast.Refusal{}))
}

// arriving gives the refusal of the last of so many requests that arrive at once.
func arriving(d *Dispatcher, count int, change func(*gooseberrymast.Work)) gooseberrymast.Refusal {
	var refusal gooseberrymast.Refusal
	for id := 1; id <= count; id++ {
		work := request1(gooseberrymast.WorkID(id))
		change(&work)
		if actions := d.Arrive(epoch, work); id == count {
			refusal = last(d, actions)
		}
	}
	return refusal
}

// handedOver gives a request that a peer hands over.
func handedOver(id gooseberrymast.WorkID) gooseberrymast.Work {
	work := request1(id)
	work.Origin = agentAt(2)
	return work
}

// brokenHandOver gives the refusal after a hand-over that broke and was asked after.
func brokenHandOver(work gooseberrymast.Work, known, ran bool) gooseberrymast.Refusal {
	d := ready(limits(), 1)
	d.Leave(epoch)
	d.Arrive(epoch, work)
	d.Finish(epoch, work.ID, gooseberrymast.ResultBroken, gooseberrymast.Refusal{})
	return last(d, d.Answered(epoch, work.ID, known, ran))
}

func withTicket(ticket gooseberrymast.Ticket) gooseberrymast.Work {
	work := request1(1)
	work.Ticket = ticket
	return work
}

func once(id gooseberrymast.WorkID) gooseberrymast.Work {
	work := request1(id)
	work.Replayable = false
	return work
}

// reasons makes every reason happen, with each value of Ran that it may have.
var reasons = []struct {
	reason gooseberrymast.Reason
	ran    gooseberrymast.Ran
	limit  string
	value  string
	happen func() gooseberrymast.Refusal
}{
	{gooseberrymast.ReasonQueueFull, "no", "queue", "2", func() gooseberrymast.Refusal {
		return arriving(ready(limits(), 0), 5, func(*gooseberrymast.Work) {})
	}},
	{gooseberrymast.ReasonDeadlineTooClose, "no", "", "", func() gooseberrymast.Refusal {
		return arriving(ready(limits(), 0), 3, func(work *gooseberrymast.Work) { work.Deadline = at(11 * time.Millisecond) })
	}},
	{gooseberrymast.ReasonDeadlinePassed, "no", "", "", func() gooseberrymast.Refusal {
		return arriving(ready(limits(), 0), 1, func(work *gooseberrymast.Work) { work.Deadline = epoch })
	}},
	{gooseberrymast.ReasonDeadlinePassed, "unknown", "", "", func() gooseberrymast.Refusal {
		return ending(request1(1), gooseberrymast.ResultTimedOut)
	}},
	{gooseberrymast.ReasonCallerRate, "no", "caller-rate", "2.5/s", func() gooseberrymast.Refusal {
		service := limits()
		service.Limits.CallerRate, service.Limits.CallerBurst = 2.5, 1
		return arriving(ready(service, 0), 2, func(work *gooseberrymast.Work) { work.Caller = callerAddress })
	}},
	{gooseberrymast.ReasonConnectionLimit, "no", "connections", "10", func() gooseberrymast.Refusal {
		return arriving(ready(limits(), 0), 11, func(work *gooseberrymast.Work) { work.Stream = true })
	}},
	{gooseberrymast.ReasonInProgressLimit, "no", "slots", "2", func() gooseberrymast.Refusal {
		d := ready(limits(), 1)
		d.placer.Heard(epoch, agentAt(2), gooseberrymast.Load{})
		for id := gooseberrymast.WorkID(1); id <= 3; id++ {
			d.Arrive(epoch, request1(id))
		}
		late := handedOver(9)
		late.Deadline = at(time.Minute) // it is behind the one that waits
		return last(d, d.Arrive(epoch, late))
	}},
	{gooseberrymast.ReasonServerLeaving, "no", "", "", func() gooseberrymast.Refusal {
		d := ready(limits(), 0)
		d.Leave(epoch)
		return arriving(d, 1, func(*gooseberrymast.Work) {})
	}},
	{gooseberrymast.ReasonServerUnhealthy, "no", "", "", func() gooseberrymast.Refusal {
		return ending(once(1), gooseberrymast.ResultNotSent)
	}},
	{gooseberrymast.ReasonServerUnhealthy, "unknown", "", "", func() gooseberrymast.Refusal {
		d, work := ready(limits(), 0), request1(1)
		work.Idempotent = true
		d.Arrive(epoch, work)
		d.Finish(epoch, 1, gooseberrymast.ResultBroken, gooseberrymast.Refusal{})
		return last(d, d.Finish(at(995*time.Millisecond), 1, gooseberrymast.ResultNotSent, gooseberrymast.Refusal{}))
	}},
	{gooseberrymast.ReasonServerShed, "no", "", "", func() gooseberrymast.Refusal {
		return ending(once(1), gooseberrymast.ResultShed)
	}},
	{gooseberrymast.ReasonServerBroke, "unknown", "", "", func() gooseberrymast.Refusal {
		return ending(request1(1), gooseberrymast.ResultBroken)
	}},
	{gooseberrymast.ReasonPeerBroke, "no", "", "", func() gooseberrymast.Refusal { return brokenHandOver(once(1), true, false) }},
	{gooseberrymast.ReasonPeerBroke, "unknown", "", "", func() gooseberrymast.Refusal { return brokenHandOver(request1(1), false, false) }},
	{gooseberrymast.ReasonPeerBroke, "unknown", "", "", func() gooseberrymast.Refusal { return brokenHandOver(request1(1), true, true) }},
	{gooseberrymast.ReasonRetryBudget, "no", "retry-budget", "0.1", func() gooseberrymast.Refusal { return outOfBudget(false) }},
	{gooseberrymast.ReasonRetryBudget, "unknown", "retry-budget", "0.1", func() gooseberrymast.Refusal { return outOfBudget(true) }},
	{gooseberrymast.ReasonTicketUsed, "unknown", "", "", func() gooseberrymast.Refusal {
		d := ready(limits(), 0)
		ticket := d.Issue(epoch)
		d.Spend(epoch, ticket)
		return last(d, d.Arrive(epoch, withTicket(ticket)))
	}},
	{gooseberrymast.ReasonTicketUnknown, "no", "", "", func() gooseberrymast.Refusal {
		d := ready(limits(), 0)
		ticket := d.Issue(epoch)
		ticket.Service++
		return last(d, d.Arrive(epoch, withTicket(ticket)))
	}},
	{gooseberrymast.ReasonIssuerGone, "unknown", "", "", func() gooseberrymast.Refusal {
		d := ready(limits(), 1)
		d.Arrive(epoch, withTicket(gooseberrymast.Ticket{Issuer: agentAt(2), Service: d.config.Tag, Sequence: 1}))
		return last(d, d.Spent(epoch, 1, false, false))
	}},
	{gooseberrymast.ReasonWrongService, "no", "", "", func() gooseberrymast.Refusal {
		return ready(limits(), 0).Refuse(epoch, gooseberrymast.ReasonWrongService)
	}},
	{gooseberrymast.ReasonNoRevision, "no", "", "", func() gooseberrymast.Refusal {
		return arriving(New(Config{Self: here, Service: "ledger"}), 1, func(*gooseberrymast.Work) {})
	}},
	{gooseberrymast.ReasonCancelled, "no", "", "", func() gooseberrymast.Refusal {
		d := ready(limits(), 0)
		for id := gooseberrymast.WorkID(1); id <= 3; id++ {
			d.Arrive(epoch, request1(id))
		}
		return last(d, d.Cancel(epoch, 3))
	}},
	{gooseberrymast.ReasonCancelled, "unknown", "", "", func() gooseberrymast.Refusal {
		return ending(request1(1), gooseberrymast.ResultCancelled)
	}},
}

func outOfBudget(mayHaveRun bool) gooseberrymast.Refusal {
	d, work := ready(limits(), 0), request1(1)
	work.Idempotent = true
	result := gooseberrymast.ResultNotSent
	if mayHaveRun {
		result = gooseberrymast.ResultBroken
	}
	actions := d.Arrive(epoch, work)
	for actions[0].Kind == gooseberrymast.ActionRun {
		actions = d.Finish(epoch, 1, result, gooseberrymast.Refusal{})
	}
	return last(d, actions)
}

func TestReasons(t *testing.T) {
	page, err := os.ReadFile("../../docs/REFUSALS.md")
	is.New(t).NoErr(err)
	said := map[gooseberrymast.Reason]map[gooseberrymast.Ran]bool{}
	limitOf := map[gooseberrymast.Reason]string{}
	for _, test := range reasons {
		t.Run(string(test.reason)+"-"+string(test.ran), func(t *testing.T) {
			is := is.New(t)
			refusal := test.happen()
			is.Equal(refusal.Reason, test.reason)
			is.Equal(refusal.Ran, test.ran)
			is.Equal(refusal.Limit, test.limit)
			is.Equal(refusal.Value, test.value)
			is.True(refusal.ID != "")
		})
		if said[test.reason] == nil {
			said[test.reason] = map[gooseberrymast.Ran]bool{}
		}
		said[test.reason][test.ran] = true
		limitOf[test.reason] = test.limit
	}
	rows := strings.Count(string(page), "\n| `")
	is.New(t).Equal(rows, len(gooseberrymast.Reasons)) // one row for each reason
	for _, info := range gooseberrymast.Reasons {
		if row := rowOf(info, limitOf[info.Reason], said[info.Reason]); !strings.Contains(string(page), "\n"+row) {
			t.Errorf("docs/REFUSALS.md has no row that starts with\n%s", row)
		}
	}
}

// rowOf gives the start of a reason's row in the table.
func rowOf(info gooseberrymast.ReasonInfo, limit string, said map[gooseberrymast.Ran]bool) string {
	if limit != "" {
		limit = "`" + limit + "` "
	}
	ran := "never happens"
	switch {
	case said[gooseberrymast.RanNo] && said[gooseberrymast.RanUnknown]:
		ran = "no or unknown"
	case said[gooseberrymast.RanNo]:
		ran = "no"
	case said[gooseberrymast.RanUnknown]:
		ran = "unknown"
	}
	return "| `" + string(info.Reason) + "` | " + info.Text + " | " + limit + "| " + ran + " | "
}
