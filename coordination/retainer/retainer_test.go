package retainer

import (
	"testing"

	"github.com/matryer/is"
)

func TestPacketsAreDueAfterTheirTicks(t *testing.T) {
	is := is.New(t)
	r := Retainer[string]{Max: 3}
	is.True(r.Keep("late", []byte{1}, 2))
	is.True(r.Keep("early", []byte{2}, 0))
	due := r.Tick()
	is.Equal(len(due), 1)
	is.Equal(due[0].Value, "early")
	is.Equal(due[0].Bytes, []byte{2})
	is.Equal(len(r.Tick()), 0)
	is.Equal(r.Len(), 1)
	is.Equal(r.Tick()[0].Value, "late")
	is.Equal(r.Len(), 0)
}

// A receive buffer is used again for the next packet.
func TestKeptPacketIsACopy(t *testing.T) {
	is := is.New(t)
	r := Retainer[int]{Max: 1}
	packet := []byte{1}
	r.Keep(0, packet, 0)
	packet[0] = 2
	is.Equal(r.Tick()[0].Bytes, []byte{1})
}

func TestPacketsBeyondTheBoundAreNotKept(t *testing.T) {
	is := is.New(t)
	r := Retainer[int]{Max: 1}
	is.True(r.Keep(1, nil, 0))
	is.True(!r.Keep(2, nil, 0))
	found, ok := r.Find(func(value int) bool { return value > 0 })
	is.True(ok)
	is.Equal(found, 1)
	is.Equal(len(r.Tick()), 1)
	is.True(r.Keep(2, nil, 0))
	is.True(!(&Retainer[int]{}).Keep(1, nil, 0)) // the zero value keeps none
}
