package framer

import (
	"crypto/aes"
	"crypto/cipher"
	"fmt"
	"sync/atomic"

	"gooseberrymast/protocol/keyer"
)

// keyBytes selects AES-128.
const keyBytes = 16

// Framer adds headers to payloads and verifies them. It is safe for concurrent
// use. The zero value has no keys: Open refuses every frame and Seal panics.
type Framer struct {
	keys atomic.Pointer[epochCiphers]
}

// epochCiphers holds the ciphers of one key file by epoch.
type epochCiphers struct {
	current keyer.Epoch
	byEpoch [256]cipher.AEAD
}

// New returns a framer that uses the fleet's keys.
func New(keys *keyer.Keys) (*Framer, error) {
	framer := &Framer{}
	if err := framer.SetKeys(keys); err != nil {
		return nil, err
	}
	return framer, nil
}

// SetKeys replaces the keys. Headers of every listed epoch are accepted; new
// headers are sealed with the key of the current epoch.
func (f *Framer) SetKeys(keys *keyer.Keys) error {
	next := &epochCiphers{current: keys.Current}
	for _, epoch := range keys.Epochs() {
		aead, err := newHeaderCipher(keys, epoch)
		if err != nil {
			return fmt.Errorf("Framer.SetKeys epoch %d: %w", epoch, err)
		}
		next.byEpoch[epoch] = aead
	}
	if next.byEpoch[next.current] == nil {
		return fmt.Errorf("Framer.SetKeys epoch %d: %w", next.current, keyer.ErrUnknownEpoch)
	}
	f.keys.Store(next)
	return nil
}

// Seal writes the header into the buffer directly before the payload, which
// begins at payloadAt, and returns the whole frame. MaxBytes before the payload
// suffice for every header. Seal sets the header's epoch and allocates nothing.
func (f *Framer) Seal(header *Header, buffer []byte, payloadAt int) ([]byte, error) {
	if payloadAt < header.Bytes() {
		return nil, FaultOversized
	}
	keys := f.keys.Load()
	header.Epoch = keys.current
	frame := buffer[payloadAt-header.Bytes():]
	header.encode(frame)
	keys.byEpoch[keys.current].Seal(frame[:0], frame[nonceAt:nonceEnd], nil, frame[macBytes:])
	return frame, nil
}

// Open verifies a frame, decodes its header into header and returns the
// payload, which shares the frame's memory. The error is a Fault. Open
// allocates nothing. It doesn't detect replays; ReplayWindows does.
func (f *Framer) Open(frame []byte, header *Header) ([]byte, error) {
	if err := validateLayout(frame); err != nil {
		return nil, err
	}
	keys := f.keys.Load()
	epoch := keyer.Epoch(frame[epochAt])
	if keys == nil || keys.byEpoch[epoch] == nil {
		return nil, FaultUnknownEpoch
	}
	_, err := keys.byEpoch[epoch].Open(nil, frame[nonceAt:nonceEnd], frame[:macBytes], frame[macBytes:])
	if err != nil {
		return nil, FaultForged
	}
	header.decode(frame)
	return frame[header.Bytes():], nil
}

func newHeaderCipher(keys *keyer.Keys, epoch keyer.Epoch) (cipher.AEAD, error) {
	key, err := keys.Derive(epoch, keyer.PurposeHeader)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(key[:keyBytes])
	if err != nil {
		return nil, err
	}
	return cipher.NewGCMWithNonceSize(block, nonceEnd-nonceAt)
}
