package recorder

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"gooseberrymast"
)

func TestRecorderKeepsLatestRefusals(t *testing.T) {
	is := is.New(t)
	var r Recorder
	for n := range Capacity + 10 {
		r.Record(gooseberrymast.Refusal{ID: fmt.Sprint(n), Reason: gooseberrymast.ReasonQueueFull, Ran: gooseberrymast.RanNo}, AudienceCaller)
	}
	_, ok := r.Find("9")
	is.True(!ok)
	found, ok := r.Find("10")
	is.True(ok)
	is.Equal(found.ID, "10")
	is.Equal(r.Recent(2)[0].ID, fmt.Sprint(Capacity+9))
	is.Equal(len(r.Recent(2*Capacity)), Capacity)
	is.Equal(r.Refusals(gooseberrymast.ReasonQueueFull), uint64(Capacity+10))
}

func TestRefusalAndRetryMetrics(t *testing.T) {
	var r Recorder
	r.Record(gooseberrymast.Refusal{ID: "a", Reason: gooseberrymast.ReasonQueueFull, Ran: gooseberrymast.RanNo}, AudienceCaller)
	r.CountRetry(RetryShed)
	want := `# HELP gooseberrymast_refusals_total Refused requests.
# TYPE gooseberrymast_refusals_total counter
gooseberrymast_refusals_total{audience="caller",ran="no",reason="queue-full"} 1
# HELP gooseberrymast_retries_total Requests that were sent again, and those that the budget forbade.
# TYPE gooseberrymast_retries_total counter
gooseberrymast_retries_total{reason="server-shed"} 1
`
	is.New(t).NoErr(testutil.CollectAndCompare(&r, strings.NewReader(want)))
}

func TestIdentifiersAreUnique(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, address := range []string{"10.0.0.1:7000", "10.0.0.1:7001", "10.0.0.2:7000"} {
		for incarnation := gooseberrymast.Incarnation(1); incarnation < 300; incarnation += 100 {
			for n := uint64(1); n < 500; n++ {
				agent := gooseberrymast.Identity{Address: netip.MustParseAddrPort(address), Incarnation: incarnation}
				id := Identifier(agent, n)
				is.True(!seen[id])
				seen[id] = true
			}
		}
	}
}
