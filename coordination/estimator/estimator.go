// Package estimator estimates the service time of a request from measured service
// times of its path, and detects paths of stragglers.
package estimator

import (
	"strings"
	"time"
)

// Limits and weights of the estimates.
const (
	// MaxPaths is the number of paths that can have their own estimate.
	MaxPaths = 256
	// LongFactor is the multiple of the typical service time above which a
	// request counts as long.
	LongFactor = 8
	// MinLong is the shortest service time that can count as long.
	MinLong = 5 * time.Millisecond
	// InitialTime is assumed until a service time has been measured.
	InitialTime = 10 * time.Millisecond

	meanWeight    = 1.0 / 16
	longPathShare = 0.5
	minSamples    = 3
)

// Estimate is the expected service time of a request.
type Estimate struct {
	// Known is set once enough requests of the path have been measured.
	Known bool
	// Mean is the expected service time.
	Mean time.Duration
	// Safe is a service time that few requests of the path exceed.
	Safe time.Duration
	// Long is set when most requests of the path are stragglers.
	Long bool
	// At is the time of the path's latest measurement.
	At time.Time
}

// Estimator keeps statistics of the service times of one service. The zero value
// is ready to use.
type Estimator struct {
	all   pathStats
	paths map[string]*pathStats
	// observations counts the measurements. The path that was measured least
	// recently is evicted first.
	observations uint64
}

// pathStats holds the service time statistics of one path, or of all paths.
type pathStats struct {
	Average
	// long is the moving average of the share of long requests.
	long float64
	// firstRanLong is set when a request ran long before the path had enough
	// measurements.
	firstRanLong bool
	lastUsed     uint64
	at           time.Time
}

// Observe adds the measured service time of one request.
func (e *Estimator) Observe(now time.Time, path string, serviceTime time.Duration) {
	limit := e.LongAfter()
	long := e.all.Samples >= minSamples && serviceTime > limit
	e.all.add(float64(min(serviceTime, limit)), long)
	e.observations++
	s := e.stats(Key(path))
	s.lastUsed = e.observations
	s.at = now
	s.add(float64(serviceTime), long)
}

// ObserveLong reports a request that has exceeded LongAfter and is still running.
// Without it a new path of stragglers would count as short until the first of them
// ends.
func (e *Estimator) ObserveLong(path string) {
	s := e.stats(Key(path))
	if s.Samples < minSamples {
		s.firstRanLong = true
	}
}

// Expect estimates the service time of a request for the path.
func (e *Estimator) Expect(path string) Estimate {
	s := e.paths[Key(path)]
	if s == nil || s.Samples < minSamples {
		return Estimate{Mean: e.Typical(), Safe: e.safe(&e.all), Long: s != nil && s.firstRanLong}
	}
	return Estimate{
		Known: true,
		Mean:  time.Duration(s.Mean),
		Safe:  e.safe(s),
		Long:  s.long > longPathShare,
		At:    s.at,
	}
}

// Typical returns the mean service time, in which a long request counts as
// LongAfter at most.
func (e *Estimator) Typical() time.Duration {
	if e.all.Samples == 0 {
		return InitialTime
	}
	return time.Duration(e.all.Mean)
}

// LongAfter returns the service time above which a request counts as long.
func (e *Estimator) LongAfter() time.Duration {
	if e.all.Samples == 0 {
		return LongFactor * InitialTime
	}
	return max(MinLong, LongFactor*e.Typical())
}

// safe returns the mean plus the mean deviation, or InitialTime without measurements.
func (e *Estimator) safe(s *pathStats) time.Duration {
	if s.Samples == 0 {
		return InitialTime
	}
	return time.Duration(s.Mean + s.Deviation)
}

// stats returns the statistics of a path and creates them if necessary.
func (e *Estimator) stats(key string) *pathStats {
	if s, ok := e.paths[key]; ok {
		return s
	}
	if e.paths == nil {
		e.paths = map[string]*pathStats{}
	}
	if len(e.paths) >= MaxPaths {
		e.evict()
	}
	s := &pathStats{}
	e.paths[key] = s
	return s
}

// evict removes the path that was measured least recently.
func (e *Estimator) evict() {
	oldest, used := "", e.observations+1
	for key, s := range e.paths {
		if s.lastUsed < used {
			oldest, used = key, s.lastUsed
		}
	}
	delete(e.paths, oldest)
}

// add updates the moving averages. The first samples have equal weights.
func (s *pathStats) add(sample float64, long bool) {
	share := 0.0
	if long {
		share = 1
	}
	s.Add(sample, meanWeight)
	if s.Samples == 1 {
		s.long = share
		return
	}
	s.long += max(meanWeight, 1/float64(s.Samples)) * (share - s.long)
}

// Key returns the path with segments that identify single objects replaced by "*",
// so that the number of distinct paths stays small.
func Key(path string) string {
	if !strings.ContainsAny(path, "0123456789") && len(path) <= maxSegment {
		return path
	}
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		if isIdentifier(segment) {
			segments[i] = "*"
		}
	}
	return strings.Join(segments[:min(len(segments), maxSegments)], "/")
}

const (
	maxSegment  = 64
	maxSegments = 8
)

// isIdentifier reports whether a segment looks like an object's identifier: it is
// long, has more than one digit, or is a single digit.
func isIdentifier(segment string) bool {
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
