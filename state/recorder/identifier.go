package recorder

import (
	"encoding/base32"
	"encoding/binary"

	"gooseberrymast"
)

// idEncoding is base32 in lower case without the letters i, l, o and u, which
// are easily misread.
var idEncoding = base32.NewEncoding("0123456789abcdefghjkmnpqrstvwxyz").WithPadding(base32.NoPadding)

// Identifier returns the identifier of the n-th refusal of one incarnation of
// one agent. It is unique in the fleet.
func Identifier(agent gooseberrymast.Identity, n uint64) string {
	address := agent.Address.Addr().As4()
	raw := make([]byte, 0, 20)
	raw = append(raw, address[:]...)
	raw = binary.BigEndian.AppendUint16(raw, agent.Address.Port())
	raw = binary.AppendUvarint(raw, uint64(agent.Incarnation))
	raw = binary.AppendUvarint(raw, n)
	return idEncoding.EncodeToString(raw)
}
