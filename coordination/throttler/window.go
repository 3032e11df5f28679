package throttler

import "time"

const (
	// slotTime is the resolution of a window. A window counts its oldest slot whole, so
	// that it counts too much rather than too little.
	slotTime = 10 * time.Millisecond
	slots    = int((period+margin)/slotTime) + 1
)

// window counts the opening packets and the requests on open flows of the last period,
// with a margin. The zero value is empty.
type window struct {
	slots [slots]slot
}

// slot holds the counts of the slotTime with a number; counts of another number are out
// of date.
type slot struct {
	number             int64
	openings, requests int
}

func (w *window) at(now time.Time) *slot {
	number := now.UnixNano() / int64(slotTime)
	current := &w.slots[uint64(number)%uint64(slots)]
	if current.number != number {
		*current = slot{number: number}
	}
	return current
}

func (w *window) addOpening(now time.Time) {
	w.at(now).openings++
}

func (w *window) addRequest(now time.Time) {
	w.at(now).requests++
}

func (w *window) count(now time.Time) (openings, requests int) {
	latest := now.UnixNano() / int64(slotTime)
	for _, current := range w.slots {
		if latest-current.number < int64(slots) {
			openings += current.openings
			requests += current.requests
		}
	}
	return openings, requests
}
