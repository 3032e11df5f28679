package interpreter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A process that has restarted must not count a marker of the one before.
func TestMarkerBelongsToOneProcess(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1000, 7)
	sentAt := began.Add(90 * time.Minute)
	marker := roundTrip(t, Marker(began, sentAt)).GetMarker()
	read, own := ReadMarker(marker, began)
	is.True(own)
	is.Equal(read, sentAt)
	_, own = ReadMarker(marker, began.Add(time.Nanosecond))
	is.True(!own)
}
