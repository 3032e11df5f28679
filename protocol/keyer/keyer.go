// Package keyer reads the fleet's secrets from a key file and derives a key for
// each epoch and purpose.
package keyer

import (
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// SecretBytes is the length of a secret, in bytes.
const SecretBytes = 32

// Epoch is the number of a secret. Each rotation adds a secret with a new epoch.
type Epoch uint8

// Purpose is what a derived key is used for. Keys of different purposes are
// independent.
type Purpose string

// The purposes of derived keys.
const (
	PurposeConnectionID   Purpose = "connection-id"
	PurposeHeader         Purpose = "header"
	PurposeTicket         Purpose = "ticket"
	PurposePeer           Purpose = "peer"
	PurposeRetryToken     Purpose = "retry-token"
	PurposeStatelessReset Purpose = "stateless-reset"
)

// The errors of a key file.
var (
	ErrNoKeys       = errors.New("no keys")
	ErrUnknownEpoch = errors.New("unknown key epoch")
)

// Key is one secret of the fleet.
type Key struct {
	// Epoch must be unique in a key file.
	Epoch Epoch `toml:"epoch"`
	// Secret is SecretBytes long, written in hexadecimal.
	Secret string `toml:"secret"`
}

// Keys is the content of a key file. What was made with any listed key is
// accepted; new connection ids, headers and tickets use the current key.
type Keys struct {
	// Current is the epoch whose key is used for new ids, headers and tickets.
	Current Epoch `toml:"current"`
	// Keys may be in any order.
	Keys []Key `toml:"keys"`
}

// Load reads a key file in TOML.
func Load(file string) (*Keys, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("keyer.Load: %w", err)
	}
	keys, err := Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("keyer.Load %s: %w", file, err)
	}
	return keys, nil
}

// Parse decodes and validates the text of a key file.
func Parse(text string) (*Keys, error) {
	var keys Keys
	meta, err := toml.Decode(text, &keys)
	if err != nil {
		return nil, fmt.Errorf("keyer.Parse: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("keyer.Parse: unknown key %q", unknown[0].String())
	}
	if err := keys.validate(); err != nil {
		return nil, fmt.Errorf("keyer.Parse: %w", err)
	}
	return &keys, nil
}

// Random returns a random secret with epoch 1.
func Random() *Keys {
	secret := make([]byte, SecretBytes)
	rand.Read(secret)
	return &Keys{Current: 1, Keys: []Key{{Epoch: 1, Secret: hex.EncodeToString(secret)}}}
}

// Epochs returns the epochs of all listed keys.
func (k *Keys) Epochs() []Epoch {
	epochs := make([]Epoch, 0, len(k.Keys))
	for _, key := range k.Keys {
		epochs = append(epochs, key.Epoch)
	}
	return epochs
}

// Derive returns the key of an epoch for a purpose. It is SecretBytes long.
func (k *Keys) Derive(epoch Epoch, purpose Purpose) ([]byte, error) {
	for _, key := range k.Keys {
		if key.Epoch != epoch {
			continue
		}
		secret, err := hex.DecodeString(key.Secret)
		if err != nil {
			return nil, fmt.Errorf("Keys.Derive epoch %d: %w", epoch, err)
		}
		return hkdf.Key(sha256.New, secret, nil, "gooseberrymast "+string(purpose), SecretBytes)
	}
	return nil, fmt.Errorf("Keys.Derive epoch %d: %w", epoch, ErrUnknownEpoch)
}

func (k *Keys) validate() error {
	if len(k.Keys) == 0 {
		return ErrNoKeys
	}
	seen := map[Epoch]bool{}
	var faults []error
	for _, key := range k.Keys {
		if seen[key.Epoch] {
			faults = append(faults, fmt.Errorf("epoch %d is listed twice", key.Epoch))
		}
		seen[key.Epoch] = true
		secret, err := hex.DecodeString(key.Secret)
		if err != nil || len(secret) != SecretBytes {
			faults = append(faults, fmt.Errorf("secret of epoch %d: want %d bytes in hexadecimal", key.Epoch, SecretBytes))
		}
	}
	if !seen[k.Current] {
		faults = append(faults, fmt.Errorf("current epoch %d: %w", k.Current, ErrUnknownEpoch))
	}
	return errors.Join(faults...)
}
