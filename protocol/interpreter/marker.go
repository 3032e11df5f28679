package interpreter

import (
	"time"

	"gooseberrymast/protocol/messages/peer"
)

// Marker returns the message that a process which began at a time sends to itself.
func Marker(began, now time.Time) *peer.Message {
	return &peer.Message{Body: &peer.Message_Marker{Marker: &peer.Marker{
		Process: uint64(began.UnixNano()), ElapsedUs: uint64(now.Sub(began).Microseconds()),
	}}}
}

// ReadMarker returns when a marker was sent, and whether the process that began at a
// time sent it.
func ReadMarker(message *peer.Marker, began time.Time) (sentAt time.Time, own bool) {
	return began.Add(time.Duration(message.GetElapsedUs()) * time.Microsecond), message.GetProcess() == uint64(began.UnixNano())
}
