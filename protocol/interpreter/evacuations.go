package interpreter

import (
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/peer"
)

// encodeEvacuations returns nil if the process knows no list, as processes of earlier
// builds send it.
func encodeEvacuations(status gooseberrymast.EvacuationStatus) *peer.Evacuations {
	if !status.Known {
		return nil
	}
	message := &peer.Evacuations{
		Era: status.Version.Era, Revision: status.Version.Revision, Zones: status.Zones,
		AgeMs: uint32(status.Age.Milliseconds()), Read: status.Read,
	}
	for _, held := range status.Held {
		message.Held = append(message.Held, &peer.HeldZone{Zone: held.Zone, LeftMs: uint32(held.Left.Milliseconds())})
	}
	return message
}

func decodeEvacuations(message *peer.Evacuations) gooseberrymast.EvacuationStatus {
	if message == nil {
		return gooseberrymast.EvacuationStatus{}
	}
	status := gooseberrymast.EvacuationStatus{
		Evacuations: gooseberrymast.Evacuations{
			Version: gooseberrymast.EvacuationsVersion{Era: message.GetEra(), Revision: message.GetRevision()},
			Zones:   message.GetZones(),
		},
		Known: true,
		Age:   time.Duration(message.GetAgeMs()) * time.Millisecond,
		Read:  message.GetRead(),
	}
	for _, held := range message.GetHeld() {
		status.Held = append(status.Held, gooseberrymast.HeldZone{
			Zone: held.GetZone(), Left: time.Duration(held.GetLeftMs()) * time.Millisecond,
		})
	}
	return status
}

// encodedBytes returns the size of a status in a message.
func encodedBytes(message *peer.Evacuations) int {
	if message == nil {
		return 0
	}
	return proto.Size(message)
}
