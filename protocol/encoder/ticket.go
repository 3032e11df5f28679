package encoder

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
)

// The layout of a ticket, in bytes: epoch, address, port, incarnation, service
// tag, sequence, MAC. Numbers are big-endian.
const (
	ticketBodyBytes = 1 + 4 + 2 + 4 + 2 + 8
	ticketMACBytes  = 16
)

// ErrInvalidTicket means that a text is not a ticket sealed by this fleet.
var ErrInvalidTicket = errors.New("not a ticket of this fleet")

// TicketText returns the text of a ticket, authenticated with the current key.
func TicketText(keys *keyer.Keys, ticket gooseberrymast.Ticket) (string, error) {
	address := ticket.Issuer.Address
	if !address.Addr().Is4() {
		return "", fmt.Errorf("encoder.TicketText %s: the address is not IPv4", ticket.Issuer)
	}
	ip := address.Addr().As4()
	body := make([]byte, 0, ticketBodyBytes+ticketMACBytes)
	body = append(body, byte(keys.Current))
	body = append(body, ip[:]...)
	body = binary.BigEndian.AppendUint16(body, address.Port())
	body = binary.BigEndian.AppendUint32(body, uint32(ticket.Issuer.Incarnation))
	body = binary.BigEndian.AppendUint16(body, uint16(ticket.Service))
	body = binary.BigEndian.AppendUint64(body, ticket.Sequence)
	mac, err := ticketMAC(keys, body)
	if err != nil {
		return "", fmt.Errorf("encoder.TicketText: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(append(body, mac...)), nil
}

// ParseTicketText verifies and decodes the text of a ticket. It fails with
// ErrInvalidTicket for any text that TicketText didn't write.
func ParseTicketText(keys *keyer.Keys, text string) (gooseberrymast.Ticket, error) {
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(sealed) != ticketBodyBytes+ticketMACBytes {
		return gooseberrymast.Ticket{}, fmt.Errorf("encoder.ParseTicketText: %w", ErrInvalidTicket)
	}
	body := sealed[:ticketBodyBytes]
	mac, err := ticketMAC(keys, body)
	if err != nil || !hmac.Equal(mac, sealed[ticketBodyBytes:]) {
		return gooseberrymast.Ticket{}, fmt.Errorf("encoder.ParseTicketText: %w", ErrInvalidTicket)
	}
	ticket := gooseberrymast.Ticket{
		Issuer: gooseberrymast.Identity{
			Address: netip.AddrPortFrom(
				netip.AddrFrom4([4]byte(body[1:5])),
				binary.BigEndian.Uint16(body[5:7]),
			),
			Incarnation: gooseberrymast.Incarnation(binary.BigEndian.Uint32(body[7:11])),
		},
		Service:  gooseberrymast.ServiceTag(binary.BigEndian.Uint16(body[11:13])),
		Sequence: binary.BigEndian.Uint64(body[13:21]),
	}
	if ticket.IsZero() {
		return gooseberrymast.Ticket{}, fmt.Errorf("encoder.ParseTicketText: %w", ErrInvalidTicket)
	}
	return ticket, nil
}

func ticketMAC(keys *keyer.Keys, body []byte) ([]byte, error) {
	key, err := keys.Derive(keyer.Epoch(body[0]), keyer.PurposeTicket)
	if err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return mac.Sum(nil)[:ticketMACBytes], nil
}
