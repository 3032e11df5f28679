package regulator

import (
	"math"
	"time"
)

// decayed is a sum whose terms lose their weight over time, by a factor of e in each
// period. The zero value is an empty sum.
type decayed struct {
	sum float64
	at  time.Time
}

// value returns the sum as of now.
func (d *decayed) value(now time.Time, period time.Duration) float64 {
	if d.at.IsZero() || d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-max(0, now.Sub(d.at).Seconds())/period.Seconds())
}

func (d *decayed) add(term float64, now time.Time, period time.Duration) {
	d.sum, d.at = d.value(now, period)+term, now
}
