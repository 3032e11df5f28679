package recorder

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"gooseberrymast"
)

// ErrIdentifier means that a text is not an identifier made by Identifier.
var ErrIdentifier = errors.New("not a refusal's identifier")

// Origin parses the agent from a refusal's identifier.
func Origin(id string) (gooseberrymast.Identity, error) {
	raw, err := idEncoding.DecodeString(id)
	if err != nil || len(raw) < 8 {
		return gooseberrymast.Identity{}, ErrIdentifier
	}
	address := netip.AddrFrom4([4]byte(raw[:4]))
	port := binary.BigEndian.Uint16(raw[4:6])
	incarnation, length := binary.Uvarint(raw[6:])
	if length <= 0 || incarnation == 0 || incarnation > 1<<32-1 {
		return gooseberrymast.Identity{}, ErrIdentifier
	}
	return gooseberrymast.Identity{
		Address:     netip.AddrPortFrom(address, port),
		Incarnation: gooseberrymast.Incarnation(incarnation),
	}, nil
}
