package gooseberrymast

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ServiceTag identifies a service in packets and records. The zero tag stands
// for no service.
type ServiceTag uint16

// TagOf derives the tag of a service from its name. Document.Validate rejects
// two services with the same tag.
func TagOf(service string) ServiceTag {
	sum := xxhash.Sum64String(service)
	tag := ServiceTag(sum ^ sum>>16 ^ sum>>32 ^ sum>>48)
	if tag == 0 {
		return 1
	}
	return tag
}

// Incarnation distinguishes successive processes at one address: a restarted
// process takes a higher incarnation than its predecessor. Zero is unset.
type Incarnation uint32

// Identity identifies one incarnation of the process at one address.
type Identity struct {
	// Address is the IPv4 address and UDP port that receives forwarded packets.
	Address netip.AddrPort
	// Incarnation is above zero in every identity that is announced.
	Incarnation Incarnation
}

// String returns the identity as address#incarnation.
func (i Identity) String() string {
	return fmt.Sprintf("%s#%d", i.Address, i.Incarnation)
}

// IsZero reports whether the identity is unset.
func (i Identity) IsZero() bool {
	return !i.Address.IsValid() && i.Incarnation == 0
}

// MarshalText writes the form of String; the zero identity becomes empty text.
func (i Identity) MarshalText() ([]byte, error) {
	if i.IsZero() {
		return nil, nil
	}
	return []byte(i.String()), nil
}

// UnmarshalText reads the form that MarshalText writes.
func (i *Identity) UnmarshalText(text []byte) error {
	*i = Identity{}
	if len(text) == 0 {
		return nil
	}
	address, incarnation, _ := strings.Cut(string(text), "#")
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("Identity.UnmarshalText: %w", err)
	}
	number, err := strconv.ParseUint(incarnation, 10, 32)
	if err != nil {
		return fmt.Errorf("Identity.UnmarshalText: incarnation: %w", err)
	}
	*i = Identity{Address: parsed, Incarnation: Incarnation(number)}
	return nil
}
