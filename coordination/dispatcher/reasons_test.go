package dispatcher

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// lastRefusal returns the refusal among the actions, or else the latest one that
// was recorded.
func lastRefusal(d *Dispatcher, actions []gooseberrymast.Action) gooseberrymast.Refusal {
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

// refusalAfterResult returns the refusal of a request whose first attempt ends
// with the result.
func refusalAfterResult(work gooseberrymast.Work, result gooseberrymast.Result) gooseberrymast.Refusal {
	d := newConfigured(testService(), 0)
	d.HandleRequest(epoch, work)
	return lastRefusal(d, d.Finish(at(time.Millisecond), work.ID, result, gooseberrymast.Refusal{}))
}

// refusalOfLastArrival returns the refusal of the last of count requests that
// arrive at the same time.
func refusalOfLastArrival(d *Dispatcher, count int, modify func(*gooseberrymast.Work)) gooseberrymast.Refusal {
	var refusal gooseberrymast.Refusal
	for id := 1; id <= count; id++ {
		work := newWork(gooseberrymast.WorkID(id))
		modify(&work)
		if actions := d.HandleRequest(epoch, work); id == count {
			refusal = lastRefusal(d, actions)
		}
	}
	return refusal
}

// handedOverWork returns a request that a peer hands over.
func handedOverWork(id gooseberrymast.WorkID) gooseberrymast.Work {
	work := newWork(id)
	work.Origin = agentAt(2)
	return work
}

// refusalAfterBrokenHandOver returns the refusal of a request whose hand-over
// broke, after the peer's reply.
func refusalAfterBrokenHandOver(work gooseberrymast.Work, known, ran bool) gooseberrymast.Refusal {
	d := newConfigured(testService(), 1)
	d.Leave(epoch)
	d.HandleRequest(epoch, work)
	d.Finish(epoch, work.ID, gooseberrymast.ResultBroken, gooseberrymast.Refusal{})
	return lastRefusal(d, d.HandleOutcomeReply(epoch, work.ID, known, ran))
}

func withTicket(ticket gooseberrymast.Ticket) gooseberrymast.Work {
	work := newWork(1)
	work.Ticket = ticket
	return work
}

func notReplayable(id gooseberrymast.WorkID) gooseberrymast.Work {
	work := newWork(id)
	work.Replayable = false
	return work
}

// reasons provokes every refusal reason with each value of Ran that it can have.
var reasons = []struct {
	reason  gooseberrymast.Reason
	ran     gooseberrymast.Ran
	limit   string
	value   string
	provoke func() gooseberrymast.Refusal
}{
	{gooseberrymast.ReasonQueueFull, "no", "queue", "2", func() gooseberrymast.Refusal {
		return refusalOfLastArrival(newConfigured(testService(), 0), 5, func(*gooseberrymast.Work) {})
	}},
	{gooseberrymast.ReasonDeadlineTooClose, "no", "", "", func() gooseberrymast.Refusal {
		return refusalOfLastArrival(newConfigured(testService(), 0), 3, func(work *gooseberrymast.Work) { work.Deadline = at(11 * time.Millisecond) })
	}},
	{gooseberrymast.ReasonDeadlinePassed, "no", "", "", func() gooseberrymast.Refusal {
		return refusalOfLastArrival(newConfigured(testService(), 0), 1, func(work *gooseberrymast.Work) { work.Deadline = epoch })
	}},
	{gooseberrymast.ReasonDeadlinePassed, "unknown", "", "", func() gooseberrymast.Refusal {
		return refusalAfterResult(newWork(1), gooseberrymast.ResultTimedOut)
	}},
	{gooseberrymast.ReasonCallerRate, "no", "caller-rate", "2.5/s", func() gooseberrymast.Refusal {
		service := testService()
		service.Limits.CallerRate, service.Limits.CallerBurst = 2.5, 1
		return refusalOfLastArrival(newConfigured(service, 0), 2, func(work *gooseberrymast.Work) { work.Caller = callerAddress })
	}},
	{gooseberrymast.ReasonConnectionLimit, "no", "connections", "10", func() gooseberrymast.Refusal {
		return refusalOfLastArrival(newConfigured(testService(), 0), 11, func(work *gooseberrymast.Work) { work.Stream = true })
	}},
	{gooseberrymast.ReasonInProgressLimit, "no", "slots", "2", func() gooseberrymast.Refusal {
		d := newConfigured(testService(), 1)
		d.placer.HandleLoad(epoch, agentAt(2), gooseberrymast.Load{})
		for id := gooseberrymast.WorkID(1); id <= 3; id++ {
			d.HandleRequest(epoch, newWork(id))
		}
		late := handedOverWork(9)
		late.Deadline = at(time.Minute) // it would start after the queued request
		return lastRefusal(d, d.HandleRequest(epoch, late))
	}},
	{gooseberrymast.ReasonServerLeaving, "no", "", "", func() gooseberrymast.Refusal {
		d := newConfigured(testService(), 0)
		d.Leave(epoch)
		return refusalOfLastArrival(d, 1, func(*gooseberrymast.Work) {})
	}},
	{gooseberrymast.ReasonServerUnhealthy, "no", "", "", func() gooseberrymast.Refusal {
		return refusalAfterResult(notReplayable(1), gooseberrymast.ResultNotSent)
	}},
	{gooseberrymast.ReasonServerUnhealthy, "unknown", "", "", func() gooseberrymast.Refusal {
		d, work := newConfigured(testService(), 0), newWork(1)
		work.Idempotent = true
		d.HandleRequest(epoch, work)
		d.Finish(epoch, 1, gooseberrymast.ResultBroken, gooseberrymast.Refusal{})
		return lastRefusal(d, d.Finish(at(995*time.Millisecond), 1, gooseberrymast.ResultNotSent, gooseberrymast.Refusal{}))
	}},
	{gooseberrymast.ReasonServerShed, "no", "", "", func() gooseberrymast.Refusal {
		return refusalAfterResult(notReplayable(1), gooseberrymast.ResultShed)
	}},
	{gooseberrymast.ReasonServerBroke, "unknown", "", "", func() gooseberrymast.Refusal {
		return refusalAfterResult(newWork(1), gooseberrymast.ResultBroken)
	}},
	{gooseberrymast.ReasonPeerBroke, "no", "", "", func() gooseberrymast.Refusal { return refusalAfterBrokenHandOver(notReplayable(1), true, false) }},
	{gooseberrymast.ReasonPeerBroke, "unknown", "", "", func() gooseberrymast.Refusal { return refusalAfterBrokenHandOver(newWork(1), false, false) }},
	{gooseberrymast.ReasonPeerBroke, "unknown", "", "", func() gooseberrymast.Refusal { return refusalAfterBrokenHandOver(newWork(1), true, true) }},
	{gooseberrymast.ReasonRetryBudget, "no", "retry-budget", "0.1", func() gooseberrymast.Refusal { return refusalOverRetryBudget(false) }},
	{gooseberrymast.ReasonRetryBudget, "unknown", "retry-budget", "0.1", func() gooseberrymast.Refusal { return refusalOverRetryBudget(true) }},
	{gooseberrymast.ReasonTicketUsed, "unknown", "", "", func() gooseberrymast.Refusal {
		d := newConfigured(testService(), 0)
		ticket := d.Issue(epoch)
		d.Spend(epoch, ticket)
		return lastRefusal(d, d.HandleRequest(epoch, withTicket(ticket)))
	}},
	{gooseberrymast.ReasonTicketUnknown, "no", "", "", func() gooseberrymast.Refusal {
		d := newConfigured(testService(), 0)
		ticket := d.Issue(epoch)
		ticket.Service++
		return lastRefusal(d, d.HandleRequest(epoch, withTicket(ticket)))
	}},
	{gooseberrymast.ReasonIssuerGone, "unknown", "", "", func() gooseberrymast.Refusal {
		d := newConfigured(testService(), 1)
		d.HandleRequest(epoch, withTicket(gooseberrymast.Ticket{Issuer: agentAt(2), Service: d.config.Tag, Sequence: 1}))
		return lastRefusal(d, d.HandleSpendReply(epoch, 1, false, false))
	}},
	{gooseberrymast.ReasonWrongService, "no", "", "", func() gooseberrymast.Refusal {
		return newConfigured(testService(), 0).Refuse(epoch, gooseberrymast.ReasonWrongService)
	}},
	{gooseberrymast.ReasonNoRevision, "no", "", "", func() gooseberrymast.Refusal {
		return refusalOfLastArrival(New(Config{Self: self, Service: "ledger"}), 1, func(*gooseberrymast.Work) {})
	}},
	{gooseberrymast.ReasonCancelled, "no", "", "", func() gooseberrymast.Refusal {
		d := newConfigured(testService(), 0)
		for id := gooseberrymast.WorkID(1); id <= 3; id++ {
			d.HandleRequest(epoch, newWork(id))
		}
		return lastRefusal(d, d.Cancel(epoch, 3))
	}},
	{gooseberrymast.ReasonCancelled, "unknown", "", "", func() gooseberrymast.Refusal {
		return refusalAfterResult(newWork(1), gooseberrymast.ResultCancelled)
	}},
}

func refusalOverRetryBudget(mayHaveRun bool) gooseberrymast.Refusal {
	d, work := newConfigured(testService(), 0), newWork(1)
	work.Idempotent = true
	result := gooseberrymast.ResultNotSent
	if mayHaveRun {
		result = gooseberrymast.ResultBroken
	}
	actions := d.HandleRequest(epoch, work)
	for actions[0].Kind == gooseberrymast.ActionRun {
		actions = d.Finish(epoch, 1, result, gooseberrymast.Refusal{})
	}
	return lastRefusal(d, actions)
}

func TestEveryReasonOccursAndIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/REFUSALS.md")
	is.New(t).NoErr(err)
	ranValues := map[gooseberrymast.Reason]map[gooseberrymast.Ran]bool{}
	limitOf := map[gooseberrymast.Reason]string{}
	for _, test := range reasons {
		t.Run(string(test.reason)+"-"+string(test.ran), func(t *testing.T) {
			is := is.New(t)
			refusal := test.provoke()
			is.Equal(refusal.Reason, test.reason)
			is.Equal(refusal.Ran, test.ran)
			is.Equal(refusal.Limit, test.limit)
			is.Equal(refusal.Value, test.value)
			is.True(refusal.ID != "")
		})
		if ranValues[test.reason] == nil {
			ranValues[test.reason] = map[gooseberrymast.Ran]bool{}
		}
		ranValues[test.reason][test.ran] = true
		limitOf[test.reason] = test.limit
	}
	rows := strings.Count(string(page), "\n| `")
	is.New(t).Equal(rows, len(gooseberrymast.Reasons)) // one row for each reason
	for _, info := range gooseberrymast.Reasons {
		if row := tableRow(info, limitOf[info.Reason], ranValues[info.Reason]); !strings.Contains(string(page), "\n"+row) {
			t.Errorf("docs/REFUSALS.md has no row that starts with\n%s", row)
		}
	}
}

// tableRow returns the start of the reason's row in docs/REFUSALS.md.
func tableRow(info gooseberrymast.ReasonInfo, limit string, ranValues map[gooseberrymast.Ran]bool) string {
	if limit != "" {
		limit = "`" + limit + "` "
	}
	ran := "never happens"
	switch {
	case ranValues[gooseberrymast.RanNo] && ranValues[gooseberrymast.RanUnknown]:
		ran = "no or unknown"
	case ranValues[gooseberrymast.RanNo]:
		ran = "no"
	case ranValues[gooseberrymast.RanUnknown]:
		ran = "unknown"
	}
	return "| `" + string(info.Reason) + "` | " + info.Text + " | " + limit + "| " + ran + " | "
}
