// Package estimator learns from measured service times how long a request will
// take, by its path, and which requests are stragglers.
package estimator

import (
	"strings"
	"time"
)

// The constants of the estimates.
const (
	// MaxPaths bounds the number of paths with an estimate of their own.
	MaxPaths = 256
	// LongFactor is the multiple of the typical service time from which on
	// a request counts as long.
	LongFactor = 8
	// MinLong is the shortest service time that counts as long.
	MinLong = 5 * time.Millisecond
	// InitialTime is assumed before anything was measured.
	InitialTime = 10 * time.Millisecond

	gain          = 1.0 / 16
	deviationGain = 1.0 / 8
	longShare     = 0.5
	minSamples    = 3
)

// Estimate is what is expected of a request.
type Estimate struct {
	// Known is set once enough requests of the path were measured.
	Known bool
	// Mean is the expected service time.
	Mean time.Duration
	// Safe is a service time that few requests of the path exceed.
	Safe time.Duration
	// Long is set when the path's requests are mostly stragglers.
	Long bool
	// At is the time of the path's latest measurement.
	At time.Time
}

// Estimator holds the service times of one service. The zero value works.
type Estimator struct {
	all   track
	paths map[string]*track
	// age counts observations; the path with the oldest use makes room.
	age uint64
}

// track follows the service times of one path, or of all.
type track struct {
	samples   uint64
	mean      float64
	deviation float64
	// long is the moving share of requests that were long.
	long float64
	// overdue is set while one of the first requests ran long.
	overdue bool
	used    uint64
	at      time.Time
}

// Observe takes the measured service time of one request.
func (e *Estimator) Observe(now time.Time, path string, took time.Duration) {
	limit := e.LongAfter()
	long := e.all.samples >= minSamples && took > limit
	e.all.add(float64(min(took, limit)), long)
	e.age++
	one := e.track(Key(path))
	one.used = e.age
	one.at = now
	one.add(float64(took), long)
}

// Overdue takes a request that has turned out long and still runs. Without it a
// path of stragglers would count as short until the first of them ends.
func (e *Estimator) Overdue(path string) {
	one := e.track(Key(path))
	if one.samples < minSamples {
		one.overdue = true
	}
}

// Expect estimates the service time of a request for the path.
func (e *Estimator) Expect(path string) Estimate {
	one := e.paths[Key(path)]
	if one == nil || one.samples < minSamples {
		return Estimate{Mean: e.Typical(), Safe: e.safe(&e.all), Long: one != nil && one.overdue}
	}
	return Estimate{
		Known: true,
		Mean:  time.Duration(one.mean),
		Safe:  e.safe(one),
		Long:  one.long > longShare,
		At:    one.at,
	}
}

// Typical gives the mean service time of the requests that are not long.
func (e *Estimator) Typical() time.Duration {
	if e.all.samples == 0 {
		return InitialTime
	}
	return time.Duration(e.all.mean)
}

// LongAfter gives the service time from which on a request counts as long.
func (e *Estimator) LongAfter() time.Duration {
	if e.all.samples == 0 {
		return LongFactor * InitialTime
	}
	return max(MinLong, LongFactor*e.Typical())
}

func (e *Estimator) safe(one *track) time.Duration {
	if one.samples == 0 {
		return InitialTime
	}
	return time.Duration(one.mean + one.deviation)
}

func (e *Estimator) track(key string) *track {
	if one, ok := e.paths[key]; ok {
		return one
	}
	if e.paths == nil {
		e.paths = map[string]*track{}
	}
	if len(e.paths) >= MaxPaths {
		e.evict()
	}
	one := &track{}
	e.paths[key] = one
	return one
}

// evict drops the path whose last observation is the oldest.
func (e *Estimator) evict() {
	oldest, used := "", e.age+1
	for key, one := range e.paths {
		if one.used < used {
			oldest, used = key, one.used
		}
	}
	delete(e.paths, oldest)
}

func (t *track) add(sample float64, long bool) {
	share := 0.0
	if long {
		share = 1
	}
	t.samples++
	if t.samples == 1 {
		t.mean, t.deviation, t.long = sample, sample/2, share
		return
	}
	weight := max(gain, 1/float64(t.samples))
	distance := sample - t.mean
	t.mean += weight * distance
	t.deviation += max(deviationGain, 1/float64(t.samples)) * (max(distance, -distance) - t.deviation)
	t.long += weight * (share - t.long)
}

// Key gives the path under which service times are collected: segments that
// name single objects are replaced, so that the number of keys stays small.
func Key(path string) string {
	if !strings.ContainsAny(path, "0123456789") && len(path) <= maxSegment {
		return path
	}
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		if namesObject(segment) {
			segments[i] = "*"
		}
	}
	return strings.Join(segments[:min(len(segments), maxSegments)], "/")
}

const (
	maxSegment  = 64
	maxSegments = 8
)

// namesObject reports whether a segment looks like an identifier: it is long
// or has more than one digit.
func namesObject(segment string) bool {
	if len(segment) > maxSegment {
		return true
	}
	digits := 0
	for _, char := range segment {
		if char >= '0' && char <= '9' {
			digits++
		}
	}
	return digits > 1 || (digits == 1 && len(segment) == 1)
}
