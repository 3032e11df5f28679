package interpreter

import (
	"encoding/json"
	"fmt"

	"gooseberrymast"
)

// record is the value of a peer's object in the store. Besides the addresses
// that the server has served, it has only what doesn't change while an instance
// runs; peers send each other the rest.
type record struct {
	Endpoint string `json:"endpoint"`
	Role     string `json:"role"`
	Service  string `json:"service,omitempty"`
	Zone     string `json:"zone"`
	// Served lists the addresses whose flows the agent's server has accepted,
	// and Server identifies the server's incarnation.
	Served []string `json:"served,omitempty"`
	Server string   `json:"server,omitempty"`
}

// Served holds the addresses that an agent's server has served, as recorded in
// the store.
type Served struct {
	// Addresses lists the addresses whose flows the server has accepted.
	Addresses []gooseberrymast.Endpoint
	// Server identifies the incarnation of the server; empty while it is
	// unknown.
	Server string
}

// EncodeRecord encodes a peer's value in the store.
func EncodeRecord(peer gooseberrymast.Peer, served Served) ([]byte, error) {
	stored := record{
		Endpoint: peer.Endpoint.String(),
		Role:     peer.Role.String(),
		Service:  peer.Service,
		Zone:     peer.Zone,
		Server:   served.Server,
	}
	for _, address := range served.Addresses {
		stored.Served = append(stored.Served, address.String())
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("interpreter.EncodeRecord: %w", err)
	}
	return value, nil
}

// DecodeRecord decodes a peer's value in the store. The peer's incarnation and
// sequence are zero, so that anything that the peer itself has sent takes
// precedence.
func DecodeRecord(value []byte) (gooseberrymast.Peer, Served, error) {
	var decoded record
	if err := json.Unmarshal(value, &decoded); err != nil {
		return gooseberrymast.Peer{}, Served{}, fmt.Errorf("interpreter.DecodeRecord: %w", err)
	}
	served := Served{Server: decoded.Server}
	for _, text := range decoded.Served {
		address, err := gooseberrymast.ParseEndpoint(text)
		if err != nil {
			return gooseberrymast.Peer{}, Served{}, fmt.Errorf("interpreter.DecodeRecord: %w", err)
		}
		served.Addresses = append(served.Addresses, address)
	}
	peer, err := decoded.peer()
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
