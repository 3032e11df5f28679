// Package sealer encrypts the identity of an agent into QUIC connection ids,
// with the fleet's key, and decrypts these ids. A balancer that has the key
// routes the packets of an established flow by their ids, without any state.
//
// A connection id is one byte of key epoch and one encrypted AES-128 block:
// IPv4 address (4 bytes), port (2), incarnation (4), service tag (2) and
// nonce (4).
//
// The block has no room for a checksum. An id that a caller chose at random
// passes Open when it is Bytes long, begins with the epoch of a listed key and
// decrypts to a usable identity. It must then still match the service's tag,
// which happens once in 2^24 ids of that length for each listed epoch. Only
// packets that may open a flow carry such ids: for these a wrong tag means that
// the caller chose the id, for all others it means another service's flow.
//
// IPv6 needs 16 + 2 + 4 + 2 bytes without the nonce, more than one block and
// more than the 20 bytes that a connection id may have. It would require a
// short agent number instead of the address, and a directory to resolve it.
package sealer

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
)

// Bytes is the length of a connection id.
const Bytes = 1 + aes.BlockSize

// keyBytes selects AES-128.
const keyBytes = 16

// Offsets in the block.
const (
	addressAt     = 0
	portAt        = 4
	incarnationAt = 6
	serviceAt     = 10
	nonceAt       = 12
)

// Fault is the reason for which a connection id can't be opened.
type Fault string

// The faults of a connection id.
const (
	// FaultLength is an id that is not Bytes long.
	FaultLength Fault = "length"
	// FaultUnknownEpoch is an id whose epoch has no key in the key file.
	FaultUnknownEpoch Fault = "unknown-epoch"
	// FaultImplausible is an id that decrypts to no usable identity.
	FaultImplausible Fault = "implausible"
)

// Error implements the error interface.
func (f Fault) Error() string {
	return "connection id: " + string(f)
}

// Sealer seals and opens connection ids. It is safe for concurrent use. The
// zero value has no keys: Open refuses every id and Seal panics.
type Sealer struct {
	keys atomic.Pointer[epochCiphers]
}

// epochCiphers holds the ciphers of one key file by epoch.
type epochCiphers struct {
	current keyer.Epoch
	byEpoch [256]cipher.Block
}

// blockPool holds blocks to encrypt or decrypt in place. As local variables they
// would escape to the heap in each call.
var blockPool = sync.Pool{New: func() any { return new([aes.BlockSize]byte) }}

// New returns a sealer that uses the fleet's keys.
func New(keys *keyer.Keys) (*Sealer, error) {
	sealer := &Sealer{}
	if err := sealer.SetKeys(keys); err != nil {
		return nil, err
	}
	return sealer, nil
}

// SetKeys replaces the keys. Ids of every listed epoch can be opened; new ids
// are sealed with the key of the current epoch.
func (s *Sealer) SetKeys(keys *keyer.Keys) error {
	next := &epochCiphers{current: keys.Current}
	for _, epoch := range keys.Epochs() {
		key, err := keys.Derive(epoch, keyer.PurposeConnectionID)
		if err != nil {
			return fmt.Errorf("Sealer.SetKeys epoch %d: %w", epoch, err)
		}
		block, err := aes.NewCipher(key[:keyBytes])
		if err != nil {
			return fmt.Errorf("Sealer.SetKeys epoch %d: %w", epoch, err)
		}
		next.byEpoch[epoch] = block
	}
	if next.byEpoch[next.current] == nil {
		return fmt.Errorf("Sealer.SetKeys epoch %d: %w", next.current, keyer.ErrUnknownEpoch)
	}
	s.keys.Store(next)
	return nil
}

// Seal returns a connection id of an agent. Each id of an identity needs its own
// nonce, so that the ids differ and can't be linked.
func (s *Sealer) Seal(id gooseberrymast.Identity, tag gooseberrymast.ServiceTag, nonce uint32) [Bytes]byte {
	keys := s.keys.Load()
	plain := blockPool.Get().(*[aes.BlockSize]byte)
	defer blockPool.Put(plain)
	address := id.Address.Addr().Unmap().As4()
	copy(plain[addressAt:], address[:])
	binary.BigEndian.PutUint16(plain[portAt:], id.Address.Port())
	binary.BigEndian.PutUint32(plain[incarnationAt:], uint32(id.Incarnation))
	binary.BigEndian.PutUint16(plain[serviceAt:], uint16(tag))
	binary.BigEndian.PutUint32(plain[nonceAt:], nonce)
	keys.byEpoch[keys.current].Encrypt(plain[:], plain[:])
	var cid [Bytes]byte
	cid[0] = byte(keys.current)
	copy(cid[1:], plain[:])
	return cid
}

// Open returns the identity and the service tag that a connection id carries.
// The error is a Fault. Open allocates nothing.
func (s *Sealer) Open(cid []byte) (gooseberrymast.Identity, gooseberrymast.ServiceTag, error) {
	if len(cid) != Bytes {
		return gooseberrymast.Identity{}, 0, FaultLength
	}
	keys := s.keys.Load()
	if keys == nil || keys.byEpoch[cid[0]] == nil {
		return gooseberrymast.Identity{}, 0, FaultUnknownEpoch
	}
	plain := blockPool.Get().(*[aes.BlockSize]byte)
	defer blockPool.Put(plain)
	copy(plain[:], cid[1:])
	keys.byEpoch[cid[0]].Decrypt(plain[:], plain[:])
	return decode(plain)
}

func decode(plain *[aes.BlockSize]byte) (gooseberrymast.Identity, gooseberrymast.ServiceTag, error) {
	address := netip.AddrFrom4([4]byte(plain[addressAt:portAt]))
	port := binary.BigEndian.Uint16(plain[portAt:])
	id := gooseberrymast.Identity{
		Address:     netip.AddrPortFrom(address, port),
		Incarnation: gooseberrymast.Incarnation(binary.BigEndian.Uint32(plain[incarnationAt:])),
	}
	tag := gooseberrymast.ServiceTag(binary.BigEndian.Uint16(plain[serviceAt:]))
	usable := port != 0 && id.Incarnation != 0 && tag != 0 && !address.IsUnspecified() && !address.IsMulticast()
	if !usable {
		return gooseberrymast.Identity{}, 0, FaultImplausible
	}
	return id, tag, nil
}
