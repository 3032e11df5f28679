package gooseberrymast

import "time"

// FlowRecordsMode says whether open flows are recorded for the case that all processes
// are lost at once. The zero value is off.
type FlowRecordsMode string

// The modes of flow records.
const (
	// FlowRecordsOn records flows of non-idempotent routes from the start.
	FlowRecordsOn FlowRecordsMode = "on"
	// FlowRecordsOff records nothing and reads no records.
	FlowRecordsOff FlowRecordsMode = "off"
	// FlowRecordsAuto records once an agent has seen a long flow of such a route with
	// more than one request.
	FlowRecordsAuto FlowRecordsMode = "auto"
)

// ServerIncarnation identifies one run of the backend server at an address.
type ServerIncarnation struct {
	Address Endpoint
	// ID and StartUnixMs are those of the server's announcements. The start time is
	// compared only with others of the same address; zero means that it is unknown.
	ID          string
	StartUnixMs int64
}

// Replaces reports whether the incarnation is a later one than another at its address,
// which proves that the other has ended.
func (s ServerIncarnation) Replaces(earlier ServerIncarnation) bool {
	return s.Address == earlier.Address && earlier.StartUnixMs > 0 && s.StartUnixMs > earlier.StartUnixMs
}

// HeldFlow is an open flow of an agent's server that the server's present incarnation
// has accepted.
type HeldFlow struct {
	Key FlowKey
	// Acknowledgement is the caller's last acknowledgement number.
	Acknowledgement uint32
	// Age is the time since the agent first saw the flow.
	Age time.Duration
	// Requests counts the requests that the agent has seen begin.
	Requests int
}

// FlowRecord is what has to outlive all processes for the caller of a lost flow to be
// sent a reset.
type FlowRecord struct {
	Key FlowKey
	// Acknowledgement is an acknowledgement number that the caller has sent lately.
	Acknowledgement uint32
}

// AgentFlows are the recorded flows of one agent's server.
type AgentFlows struct {
	Agent Endpoint
	// Epoch rises with each run of the agent, and Sequence with each update that it
	// sends.
	Epoch, Sequence uint64
	Server          ServerIncarnation
	// ConfirmedUnixMs is when the agent sent the update, by the clock of its instance.
	ConfirmedUnixMs int64
	Flows           []FlowRecord
}

// Newer reports whether the records are of a later update of the same agent than others.
func (a AgentFlows) Newer(other AgentFlows) bool {
	if a.Epoch != other.Epoch {
		return a.Epoch > other.Epoch
	}
	return a.Sequence > other.Sequence
}

// FlowUpdate tells a relay of changes of an agent's flows. Flows holds those that are
// new or whose acknowledgement has moved.
type FlowUpdate struct {
	AgentFlows
	// Base is the sequence of the update that the changes build on. Zero means that
	// they replace all that the relay holds of the agent.
	Base uint64
	// More is set if the update is incomplete without the next one.
	More bool
	// Closed are the flows that are no longer open.
	Closed []FlowKey
}

// FlowUpdateAnswer is a relay's answer to an update.
type FlowUpdateAnswer struct {
	Relay Endpoint
	// Epoch is the agent's highest epoch that the relay knows, and Sequence that of the
	// update.
	Epoch, Sequence uint64
	// Resend is set if the relay lacks what the update builds on.
	Resend bool
}
