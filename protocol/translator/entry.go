package translator

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/protocol/messages/control"
	"gooseberrymast/state/directory"
)

// The errors of an invalid entry.
var (
	ErrNoIncarnation = errors.New("the record has no incarnation")
	ErrNoAddress     = errors.New("the record has no address")
	ErrOutOfRange    = errors.New("a number is out of range")
	ErrUnknownZone   = errors.New("the availability zone is not listed")
)

// portBits is the number of bits of the port in a directory.Key, below those of
// the IPv4 address.
const portBits = 16

// zoneList collects the names of the availability zones in a message. Entries
// refer to them by index.
type zoneList struct {
	names []string
}

func (z *zoneList) indexOf(name string) uint32 {
	for i, listed := range z.names {
		if listed == name {
			return uint32(i)
		}
	}
	z.names = append(z.names, name)
	return uint32(len(z.names) - 1)
}

func encodeEntry(entry directory.Entry, zones *zoneList) *control.Entry {
	record := entry.Record
	address := directory.KeyOf(record.Identity.Address)
	encoded := &control.Entry{
		Address:         uint64(address),
		ControlPort:     uint32(record.Control.Port()),
		Incarnation:     uint32(record.Identity.Incarnation),
		Sequence:        record.Sequence,
		Role:            uint32(record.Role),
		State:           uint32(record.State),
		Service:         uint32(record.Service),
		Weight:          uint32(record.Weight),
		Loss:            uint32(entry.Loss),
		FirstRegistrar:  uint64(directory.KeyOf(entry.Registrars[0])),
		SecondRegistrar: uint64(directory.KeyOf(entry.Registrars[1])),
		Zone:            zones.indexOf(record.Zone),
	}
	if host := directory.KeyOf(record.Control) >> portBits; host != address>>portBits {
		encoded.ControlHost = uint32(host)
	}
	return encoded
}

func decodeEntry(entry *control.Entry, zones []string) (directory.Entry, error) {
	switch {
	case entry.GetIncarnation() == 0:
		return directory.Entry{}, ErrNoIncarnation
	case entry.GetAddress()>>portBits == 0 || entry.GetAddress()>>48 != 0:
		return directory.Entry{}, ErrNoAddress
	case int(entry.GetZone()) >= len(zones):
		return directory.Entry{}, ErrUnknownZone
	case !entryInRange(entry):
		return directory.Entry{}, ErrOutOfRange
	}
	address := directory.Key(entry.GetAddress())
	host := directory.Key(entry.GetControlHost())
	if host == 0 {
		host = address >> portBits
	}
	return directory.Entry{
		Record: gooseberrymast.Record{
			Identity: decodeIdentity(entry.GetAddress(), entry.GetIncarnation()),
			Sequence: entry.GetSequence(),
			Control:  (host<<portBits | directory.Key(entry.GetControlPort())).Address(),
			Role:     gooseberrymast.Role(entry.GetRole()),
			State:    gooseberrymast.State(entry.GetState()),
			Service:  gooseberrymast.ServiceTag(entry.GetService()),
			Zone:     zones[entry.GetZone()],
			Weight:   uint16(entry.GetWeight()),
		},
		Registrars: [directory.RegistrarCount]netip.AddrPort{
			directory.Key(entry.GetFirstRegistrar()).Address(),
			directory.Key(entry.GetSecondRegistrar()).Address(),
		},
		Loss: directory.Loss(entry.GetLoss()),
	}, nil
}

func entryInRange(entry *control.Entry) bool {
	role := gooseberrymast.Role(entry.GetRole())
	state := gooseberrymast.State(entry.GetState())
	losses := directory.LossFirst | directory.LossSecond | directory.LossUnreachable
	return (role == gooseberrymast.RoleAgent || role == gooseberrymast.RoleBalancer) &&
		entry.GetRole() <= math.MaxUint8 && entry.GetState() <= math.MaxUint8 &&
		state >= gooseberrymast.StateStarting && state <= gooseberrymast.StateGone &&
		(role == gooseberrymast.RoleBalancer) == (entry.GetService() == 0) &&
		entry.GetService() <= math.MaxUint16 && entry.GetWeight() <= math.MaxUint16 &&
		entry.GetControlPort() <= math.MaxUint16 && entry.GetLoss() <= uint32(losses)
}

func decodeIdentity(address uint64, incarnation uint32) gooseberrymast.Identity {
	return gooseberrymast.Identity{
		Address:     directory.Key(address).Address(),
		Incarnation: gooseberrymast.Incarnation(incarnation),
	}
}

// EncodeCell returns the value of a cell's object or lease.
func EncodeCell(cell messenger.Cell) []byte {
	var zones zoneList
	encoded := &control.Cell{
		Holder:            uint64(directory.KeyOf(cell.Holder.Address)),
		HolderIncarnation: uint32(cell.Holder.Incarnation),
		Renewal:           cell.Renewal,
	}
	for _, entry := range cell.Entries {
		encoded.Entries = append(encoded.Entries, encodeEntry(entry, &zones))
	}
	encoded.Zones = zones.names
	return mustMarshal(encoded)
}

// DecodeCell decodes the value of a cell's object or lease.
func DecodeCell(value []byte) (messenger.Cell, error) {
	var decoded control.Cell
	if err := unmarshal(value, &decoded); err != nil {
		return messenger.Cell{}, fmt.Errorf("translator.DecodeCell: %w", err)
	}
	cell := messenger.Cell{Renewal: decoded.GetRenewal()}
	if decoded.GetHolder() != 0 {
		cell.Holder = decodeIdentity(decoded.GetHolder(), decoded.GetHolderIncarnation())
	}
	for _, encoded := range decoded.GetEntries() {
		entry, err := decodeEntry(encoded, decoded.GetZones())
		if err != nil {
			return messenger.Cell{}, fmt.Errorf("translator.DecodeCell: %w", err)
		}
		cell.Entries = append(cell.Entries, entry)
	}
	return cell, nil
}
