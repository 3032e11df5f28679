package interpreter

import (
	"encoding/json"
	"fmt"

	"gooseberrymast"
)

// record is the value of a peer's object in the store. Only what doesn't change
// while an instance lives is kept there; peers tell each other the rest.
type record struct {
	Endpoint string `json:"endpoint"`
	Role     string `json:"role"`
	Service  string `json:"service,omitempty"`
	Zone     string `json:"zone"`
}

// EncodeRecord writes a peer's value in the store.
func EncodeRecord(peer gooseberrymast.Peer) ([]byte, error) {
	value, err := json.Marshal(record{
		Endpoint: peer.Endpoint.String(),
		Role:     peer.Role.String(),
		Service:  peer.Service,
		Zone:     peer.Zone,
	})
	if err != nil {
		return nil, fmt.Errorf("interpreter.EncodeRecord: %w", err)
	}
	return value, nil
}

// DecodeRecord reads a peer's value in the store. Its incarnation and sequence
// are zero, so that anything a peer has told goes before it.
func DecodeRecord(value []byte) (gooseberrymast.Peer, error) {
	var read record
	if err := json.Unmarshal(value, &read); err != nil {
		return gooseberrymast.Peer{}, fmt.Errorf("interpreter.DecodeRecord: %w", err)
	}
	endpoint, err := gooseberrymast.ParseEndpoint(read.Endpoint)
	if err != nil {
		return gooseberrymast.Peer{}, fmt.Errorf("interpreter.DecodeRecord: %w", err)
	}
	peer := gooseberrymast.Peer{
		Endpoint: endpoint,
		State:    gooseberrymast.StateStarting,
		Service:  read.Service,
		Zone:     read.Zone,
	}
	switch read.Role {
	case gooseberrymast.RoleAgent.String():
		peer.Role = gooseberrymast.RoleAgent
	case gooseberrymast.RoleBalancer.String():
		peer.Role = gooseberrymast.RoleBalancer
	default:
		return gooseberrymast.Peer{}, fmt.Errorf("interpreter.DecodeRecord: role %q: %w", read.Role, ErrMalformed)
	}
	return peer, nil
}
