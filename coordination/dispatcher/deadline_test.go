package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// The agent is leaving and has one peer. A hand-over that ends without a run
// names what ended it: the deadline, or the refusal of the peer, and not the
// lack of another peer.
func TestRefusalAfterHandOverNamesWhatEndedIt(t *testing.T) {
	peerRefusal := gooseberrymast.Refusal{
		ID: "peer/1", Reason: gooseberrymast.ReasonDeadlineTooClose, Ran: gooseberrymast.RanNo, Service: "ledger",
	}
	tests := []struct {
		name    string
		result  gooseberrymast.Result
		refusal gooseberrymast.Refusal
		after   time.Duration
		want    gooseberrymast.Reason
	}{
		{"not sent before the deadline", gooseberrymast.ResultNotSent, gooseberrymast.Refusal{}, 50 * time.Millisecond, gooseberrymast.ReasonDeadlinePassed},
		{"not sent, time left", gooseberrymast.ResultNotSent, gooseberrymast.Refusal{}, 10 * time.Millisecond, gooseberrymast.ReasonServerLeaving},
		{"refused, time left", gooseberrymast.ResultRefused, peerRefusal, 10 * time.Millisecond, gooseberrymast.ReasonDeadlineTooClose},
		{"refused at the deadline", gooseberrymast.ResultRefused, peerRefusal, 50 * time.Millisecond, gooseberrymast.ReasonDeadlineTooClose},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newConfigured(testService(), 1)
			d.Leave(epoch)
			work := newWork(1)
			work.Deadline = at(50 * time.Millisecond)
			actions := d.HandleRequest(epoch, work)
			is.Equal(actions[0].Kind, gooseberrymast.ActionHandOver)
			refusal := lastRefusal(d, d.Finish(at(test.after), 1, test.result, test.refusal))
			is.Equal(refusal.Reason, test.want)
			is.Equal(refusal.Ran, gooseberrymast.RanNo)
		})
	}
}
