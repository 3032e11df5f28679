package evacuator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// designBound is the time from an evacuation's write until every agent obeys it, with
// one failure.
const designBound = 4 * time.Second

// instance is a process of a zone in virtual time.
type instance struct {
	Evacuator
	balancer bool
	rank     int
	// cutOff is set while the store doesn't answer the process, and dead once it was
	// killed.
	cutOff, dead bool
	// readEnds is when its read in progress ends; zero without one.
	readBegan, readEnds time.Time
	nextReport          time.Time
	obeysAt             time.Time
}

// zone is one availability zone whose processes read and report as the runner does.
type zone struct {
	instances []*instance
	// lose reports whether a report of an instance is lost.
	lose func(from *instance, now time.Time) bool
	// afterRead is called when a read has ended, before its report.
	afterRead func(reader *instance, now time.Time)
	reads     int
}

// The timing of the runner.
const (
	step           = 10 * time.Millisecond
	pollInterval   = 90 * time.Millisecond
	readTime       = 50 * time.Millisecond
	failedReadTime = 700 * time.Millisecond
	balancerReport = 400 * time.Millisecond
)

func newZone(balancers, agents int) *zone {
	z := &zone{}
	for i := range balancers + agents {
		one := &instance{Evacuator: Evacuator{Within: 5 * time.Second}, balancer: i < balancers, rank: i}
		if !one.balancer {
			one.rank = 100
		}
		one.nextReport = epoch.Add(time.Duration(i) * 130 * time.Millisecond)
		read(&one.Evacuator, list(1, 1), epoch)
		z.instances = append(z.instances, one)
	}
	return z
}

// run evacuates zone "a" at a time and returns the longest time until an agent obeys.
func (z *zone) run(writtenAt time.Time) time.Duration {
	for now := epoch; now.Before(writtenAt.Add(20 * time.Second)); now = now.Add(step) {
		for _, one := range z.instances {
			if !one.dead {
				z.advance(one, writtenAt, now)
			}
		}
	}
	var longest time.Duration
	for _, one := range z.instances {
		switch {
		case one.dead || one.balancer:
		case one.obeysAt.IsZero():
			return time.Hour
		default:
			longest = max(longest, one.obeysAt.Sub(writtenAt))
		}
	}
	return longest
}

func (z *zone) advance(one *instance, writtenAt, now time.Time) {
	if now.Sub(epoch)%pollInterval == 0 && one.readEnds.IsZero() && one.Due(one.rank, now) {
		one.BeginRead()
		z.reads++
		one.readBegan, one.readEnds = now, now.Add(readTime)
		if one.cutOff {
			one.readEnds = now.Add(failedReadTime)
		}
	}
	report := one.balancer && !now.Before(one.nextReport)
	if !one.readEnds.IsZero() && !now.Before(one.readEnds) {
		one.readEnds = time.Time{}
		switch {
		case one.cutOff:
			one.HandleFailedRead(now)
		case one.readBegan.Before(writtenAt):
			one.HandleRead(list(1, 1), one.readBegan, now)
		default:
			one.HandleRead(list(1, 2, "a"), one.readBegan, now)
		}
		if z.afterRead != nil {
			z.afterRead(one, now)
		}
		report = true
	}
	if report && !one.dead {
		one.nextReport = now.Add(balancerReport)
		z.send(one, now)
	}
	z.note(one, now)
}

func (z *zone) send(from *instance, now time.Time) {
	if z.lose != nil && z.lose(from, now) {
		return
	}
	for _, to := range z.instances {
		// Agents report to balancers only.
		if to == from || to.dead || !from.balancer && !to.balancer {
			continue
		}
		if to.HandleStatus(from.Status(now), now) && to.balancer {
			to.nextReport = now
		}
		z.note(to, now)
	}
}

func (z *zone) note(one *instance, now time.Time) {
	if one.obeysAt.IsZero() && len(one.Zones(now)) > 0 {
		one.obeysAt = now
	}
}

// Each of these failures alone must not delay an evacuation beyond the bound, whenever
// it is written.
func TestEvacuationIsObeyedInTime(t *testing.T) {
	failures := []struct {
		name      string
		balancers int
		arrange   func(z *zone, writtenAt time.Time)
	}{
		{"none", 3, func(*zone, time.Time) {}},
		{"one report is lost", 3, func(z *zone, writtenAt time.Time) {
			lost := false
			z.lose = func(from *instance, _ time.Time) bool {
				lose := !lost && len(from.Zones(epoch)) > 0
				lost = lost || lose
				return lose
			}
		}},
		{"the reader is killed between read and report", 3, func(z *zone, writtenAt time.Time) {
			killed := false
			z.afterRead = func(reader *instance, _ time.Time) {
				if !killed && len(reader.Zones(epoch)) > 0 {
					reader.dead, killed = true, true
				}
			}
		}},
		{"the reader is cut off from the store", 3, func(z *zone, _ time.Time) { z.instances[0].cutOff = true }},
		{"the only balancer is cut off from the store", 1, func(z *zone, _ time.Time) { z.instances[0].cutOff = true }},
		{"the only balancer is dead", 1, func(z *zone, _ time.Time) { z.instances[0].dead = true }},
		{"all but one are cut off from the store", 3, func(z *zone, _ time.Time) {
			for _, one := range z.instances[:4] {
				one.cutOff = true
			}
		}},
	}
	for _, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			is := is.New(t)
			var longest time.Duration
			for offset := time.Duration(0); offset < 3*time.Second; offset += 70 * time.Millisecond {
				z := newZone(failure.balancers, 3)
				writtenAt := epoch.Add(6*time.Second + offset)
				failure.arrange(z, writtenAt)
				longest = max(longest, z.run(writtenAt))
			}
			t.Logf("longest: %s", longest)
			is.True(longest < designBound)
		})
	}
}

// The list must cost one call for each interval and zone, not one for each instance.
func TestOneInstanceReadsForItsZone(t *testing.T) {
	is := is.New(t)
	z := newZone(3, 6)
	z.run(epoch.Add(10 * time.Second)) // 30 s in all
	interval := Interval(5 * time.Second)
	is.True(z.reads <= int(30*time.Second/interval))
	is.True(z.reads >= int(30*time.Second/(interval+2*pollInterval)))
}

// Interval must leave a bound that is short enough at the longest and bounded reads at
// the shortest.
func TestInterval(t *testing.T) {
	is := is.New(t)
	is.Equal(Interval(5*time.Second), 2500*time.Millisecond)
	is.Equal(Interval(time.Second), minInterval)
}

// A peer of an unknown list must not be taken for one with an empty list.
func TestStatusOfProcessWithoutListIsUnknown(t *testing.T) {
	is := is.New(t)
	var e Evacuator
	is.Equal(e.Status(epoch), gooseberrymast.EvacuationStatus{})
}
