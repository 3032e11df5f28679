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
	// Served are the addresses whose flows the agent's server has taken, and
	// Server names the server's incarnation.
	Served []string `json:"served,omitempty"`
	Server string   `json:"server,omitempty"`
}

// Served is what an agent's entry in the store says of its server's flows.
type Served struct {
	// Addresses are those whose flows the server has taken.
	Addresses []gooseberrymast.Endpoint
	// Server names the incarnation of the server; empty while it is unknown.
	Server string
}

// EncodeRecord writes a peer's value in the store.
func EncodeRecord(peer gooseberrymast.Peer, served Served) ([]byte, error) {
	written := record{
		Endpoint: peer.Endpoint.String(),
		Role:     peer.Role.String(),
		Service:  peer.Service,
		Zone:     peer.Zone,
		Server:   served.Server,
	}
	for _, address := range served.Addresses {
		written.Served = append(written.Served, address.String())
	}
	value, err := json.Marshal(written)
	if err != nil {
		return nil, fmt.Errorf("interpreter.EncodeRecord: %w", err)
	}
	return value, nil
}

// DecodeRecord reads a peer's value in the store. Its incarnation and sequence
// are zero, so that anything a peer has told goes before it.
func DecodeRecord(value []byte) (gooseberrymast.Peer, Served, error) {
	var read record
	if err := json.Unmarshal(value, &read); err != nil {
		return gooseberrymast.Peer{}, Served{}, fmt.Errorf("interpreter.DecodeRecord: %w", err)
	}
	served := Served{Server: read.Server}
	for _, text := range read.Served {
		address, err := gooseberrymast.ParseEndpoint(text)
		if err != nil {
			return gooseberrymast.Peer{}, Served{}, fmt.Errorf("interpreter.DecodeRecord: %w", err)
		}
		served.Addresses = append(served.Addresses, address)
	}
	peer, err := read.peer()
	return peer, served, err
}

func (r record) peer() (gooseberrymast.Peer, error) {
	endpoint, err := gooseberrymast.ParseEndpoint(r.Endpoint)
	if err != nil {
		return gooseberrymast.Peer{}, fmt.Errorf("interpreter.DecodeRecord: %w", err)
	}
	peer := gooseberrymast.Peer{
		Endpoint: endpoint,
		State:    gooseberrymast.StateStarting,
		Service:  r.Service,
		Zone:     r.Zone,
	}
	switch r.Role {
	case gooseberrymast.RoleAgent.String():
		peer.Role = gooseberrymast.RoleAgent
	case gooseberrymast.RoleBalancer.String():
		peer.Role = gooseberrymast.RoleBalancer
	default:
		return gooseberrymast.Peer{}, fmt.Errorf("interpreter.DecodeRecord: role %q: %w", r.Role, ErrMalformed)
	}
	return peer, nil
}
