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
	// VerifiedEra and SettledEra are as in Served.
	VerifiedEra uint64 `json:"verified-era,omitempty"`
	SettledEra  uint64 `json:"settled-era,omitempty"`
	// FlowRecords and Incarnation are as in Served.
	FlowRecords bool   `json:"flow-records,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// Served holds what a process's entry in the store says about an agent's server, and
// about the store's eras.
type Served struct {
	// Addresses lists the addresses whose flows the server has accepted.
	Addresses []gooseberrymast.Endpoint
	// Server identifies the incarnation of the server; empty while it is
	// unknown.
	Server string
	// VerifiedEra is the era of the store in which the agent wrote the entry, if the
	// entry names every address whose flows the server may hold; otherwise zero. In a
	// later era, later writes of the entry may be lost.
	VerifiedEra uint64
	// SettledEra is the highest era that the writer knew to have settled: every running
	// instance had had the time to verify its entry.
	SettledEra uint64
	// FlowRecords is set if the writer, a balancer, has written its zone's flow records.
	FlowRecords bool
	// Incarnation is that of the agent which wrote the entry; zero from a balancer or an
	// earlier build.
	Incarnation uint64
}

// EncodeRecord encodes a peer's value in the store.
func EncodeRecord(peer gooseberrymast.Peer, served Served) ([]byte, error) {
	stored := record{
		Endpoint: peer.Endpoint.String(),
		Role:     peer.Role.String(),
		Service:  peer.Service,
		Zone:     peer.Zone,
		Server:   served.Server,

		VerifiedEra: served.VerifiedEra,
		SettledEra:  served.SettledEra,
		FlowRecords: served.FlowRecords,
		Incarnation: served.Incarnation,
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
	served := Served{
		Server: decoded.Server, VerifiedEra: decoded.VerifiedEra, SettledEra: decoded.SettledEra, FlowRecords: decoded.FlowRecords,
		Incarnation: decoded.Incarnation,
	}
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
