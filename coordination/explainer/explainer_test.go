package explainer

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

const logs = `{"time":"2026-01-02T03:04:05.100Z","level":"info","instance":"front-1","event":"flow-placed","flow":"1.1.1.1:9->2.2.2.2:443","version":19,"to":"10.0.0.2:7300","message":""}
  12.5 side-1 {"time":"2026-01-02T03:04:05.060Z","level":"info","instance":"side-1","event":"flow-taken","flow":"1.1.1.1:9->2.2.2.2:443"}
{"time":"2026-01-02T03:04:06Z","level":"warn","instance":"side-1","event":"request-cut","flow":"1.1.1.1:9->2.2.2.2:443","request":"ab12","took-ms":40}
{"time":"2026-01-02T03:04:05.990Z","level":"info","instance":"side-1","event":"server-restarted","server":"i-1"}
{"time":"2026-01-02T03:09:00Z","level":"info","instance":"side-1","event":"server-changed","server":"i-1"}
{"time":"2026-01-02T03:04:05.500Z","level":"info","instance":"side-2","event":"server-restarted","server":"i-2"}
{"time":"2026-01-02T03:04:05.500Z","level":"info","instance":"side-2","event":"flow-taken","flow":"1.1.1.1:8->2.2.2.2:443","request":"other"}
no line of ours
{"time":"never","event":"flow-taken"}
`

func TestTimelineOfRequestAndFlow(t *testing.T) {
	is := is.New(t)
	lines, skipped, err := Read(strings.NewReader(logs))
	is.NoErr(err)
	is.Equal(skipped, 2)
	for _, id := range []string{"ab12", "1.1.1.1:9->2.2.2.2:443"} {
		timeline := BuildTimeline(lines, id)
		var events []gooseberrymast.LogEvent
		for _, line := range timeline.Lines {
			events = append(events, line.Event)
		}
		is.Equal(events, []gooseberrymast.LogEvent{"flow-taken", "flow-placed", "server-restarted", "request-cut"})
		is.Equal(timeline.ClockDifferences, []ClockDifference{{Behind: "side-1", Ahead: "front-1", By: 40 * time.Millisecond}})
	}
	cut := BuildTimeline(lines, "ab12").Lines[3]
	is.Equal(cut.Request, "ab12")
	is.Equal(cut.Details, []Detail{{"took-ms", "40"}})
	is.Equal(len(BuildTimeline(lines, "unknown").Lines), 0)
}
