package journaler

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// stallableOutput collects lines. Writes block while stall is locked.
type stallableOutput struct {
	stall sync.Mutex
	mu    sync.Mutex
	text  bytes.Buffer
}

func (o *stallableOutput) Write(text []byte) (int, error) {
	o.stall.Lock()
	defer o.stall.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(text)
}

func (o *stallableOutput) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSuffix(o.text.String(), "\n"), "\n")
}

func TestLineCarriesInstanceAndEvent(t *testing.T) {
	is := is.New(t)
	var out stallableOutput
	journaler := New(&out, "front-1", 1, 100)
	journaler.Warn(gooseberrymast.EventFlowReset).Str("flow", "a->b").Msg("")
	journaler.Close()
	var line struct{ Level, Instance, Event, Flow string }
	is.NoErr(json.Unmarshal([]byte(out.lines()[0]), &line))
	is.Equal(line, struct{ Level, Instance, Event, Flow string }{"warn", "front-1", "flow-reset", "a->b"})
}

func TestEachEventHasItsOwnLimit(t *testing.T) {
	is := is.New(t)
	var out stallableOutput
	journaler := New(&out, "front-1", 1, 5)
	now := time.Unix(1000, 0)
	allowed := 0
	for range 100 {
		if _, ok := journaler.allow(gooseberrymast.EventFlowWalked, now); ok {
			allowed++
		}
	}
	is.Equal(allowed, 5)
	_, ok := journaler.allow(gooseberrymast.EventFlowReset, now)
	is.True(ok) // another event has its own limit
	suppressed, ok := journaler.allow(gooseberrymast.EventFlowWalked, now.Add(time.Second))
	is.True(ok)
	is.Equal(suppressed, 95) // the next line reports the suppressed ones
	journaler.Close()
}

func TestStalledOutputDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	var out stallableOutput
	journaler := New(&out, "front-1", 1e9, 1e9)
	out.stall.Lock()
	text := strings.Repeat("x", 1000)
	// Ten times the size of the queue. If a call blocks, the test never ends.
	for range 10 * maxQueuedBytes / len(text) {
		journaler.Info(gooseberrymast.EventFlowPlaced).Str("flow", text).Msg("")
	}
	is.True(journaler.Dropped() > 0)
	out.stall.Unlock()
	journaler.Close()
	is.True(strings.Contains(strings.Join(out.lines(), "\n"), string(gooseberrymast.EventLinesDropped)))
}

func TestZeroValueDiscards(_ *testing.T) {
	var journaler Journaler
	journaler.Info(gooseberrymast.EventStarted).Str("x", "y").Msg("")
	journaler.Close()
	var none *Journaler
	none.Error(gooseberrymast.EventStarted).Msg("")
}

func BenchmarkSuppressed(b *testing.B) {
	journaler := New(&stallableOutput{}, "front-1", 0.001, 1)
	defer journaler.Close()
	b.ReportAllocs()
	for b.Loop() {
		journaler.Info(gooseberrymast.EventFlowWalked).Str("flow", "x").Msg("")
	}
}
