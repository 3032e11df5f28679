package interpreter

import (
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/proto"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/peer"
)

// FlowUpdate returns the message that tells a relay of changes of an agent's flows.
func FlowUpdate(update gooseberrymast.FlowUpdate) *peer.Message {
	encoded, indexes := encodeAgentFlows(update.AgentFlows)
	encoded.Base, encoded.More = update.Base, update.More
	for _, key := range update.Closed {
		encoded.ClosedCallers = append(encoded.ClosedCallers, encodeEndpoint(key.Caller))
		encoded.ClosedServices = append(encoded.ClosedServices, indexes.add(key.Service))
	}
	encoded.Services = indexes.services
	return &peer.Message{Body: &peer.Message_FlowRecords{FlowRecords: encoded}}
}

// ReadFlowUpdate decodes the changes of an agent's flows.
func ReadFlowUpdate(message *peer.FlowRecords) (gooseberrymast.FlowUpdate, error) {
	records, err := decodeAgentFlows(message)
	if err != nil {
		return gooseberrymast.FlowUpdate{}, err
	}
	update := gooseberrymast.FlowUpdate{AgentFlows: records, Base: message.GetBase(), More: message.GetMore()}
	update.Closed, err = decodeFlowKeys(message, message.GetClosedCallers(), message.GetClosedServices())
	return update, err
}

// FlowUpdateAnswer returns the message that answers an update.
func FlowUpdateAnswer(answer gooseberrymast.FlowUpdateAnswer) *peer.Message {
	return &peer.Message{Body: &peer.Message_FlowRecordsAnswer{FlowRecordsAnswer: &peer.FlowRecordsAnswer{
		Relay: encodeEndpoint(answer.Relay), Epoch: answer.Epoch, Sequence: answer.Sequence, Resend: answer.Resend,
	}}}
}

// ReadFlowUpdateAnswer decodes the answer to an update.
func ReadFlowUpdateAnswer(message *peer.FlowRecordsAnswer) gooseberrymast.FlowUpdateAnswer {
	return gooseberrymast.FlowUpdateAnswer{
		Relay: decodeEndpoint(message.GetRelay()), Epoch: message.GetEpoch(), Sequence: message.GetSequence(), Resend: message.GetResend(),
	}
}

// storedFlows is the value of an object with the flow records of an availability zone.
type storedFlows struct {
	// Records is an encoded peer.StoredFlowRecords: as text it would be five times as long.
	Records []byte `json:"records"`
}

// EncodeFlowRecords encodes the records of an availability zone for the store.
func EncodeFlowRecords(records []gooseberrymast.AgentFlows) ([]byte, error) {
	stored := &peer.StoredFlowRecords{}
	for _, agent := range records {
		encoded, indexes := encodeAgentFlows(agent)
		encoded.Services = indexes.services
		stored.Agents = append(stored.Agents, encoded)
	}
	encoded, err := proto.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("interpreter.EncodeFlowRecords: %w", err)
	}
	value, err := json.Marshal(storedFlows{Records: encoded})
	if err != nil {
		return nil, fmt.Errorf("interpreter.EncodeFlowRecords: %w", err)
	}
	return value, nil
}

// DecodeFlowRecords decodes the records of an availability zone in the store. Agents
// whose records are malformed are left out and reported in the error.
func DecodeFlowRecords(value []byte) ([]gooseberrymast.AgentFlows, error) {
	var stored storedFlows
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("interpreter.DecodeFlowRecords: %w", err)
	}
	message := &peer.StoredFlowRecords{}
	if err := proto.Unmarshal(stored.Records, message); err != nil {
		return nil, fmt.Errorf("interpreter.DecodeFlowRecords: %w", err)
	}
	var records []gooseberrymast.AgentFlows
	var malformed error
	for _, encoded := range message.GetAgents() {
		agent, err := decodeAgentFlows(encoded)
		if err != nil {
			malformed = err
			continue
		}
		records = append(records, agent)
	}
	return records, malformed
}

// serviceIndexes numbers the distinct addresses of a message.
type serviceIndexes struct {
	services []uint64
	byNumber map[uint64]uint32
}

func (s *serviceIndexes) add(service gooseberrymast.Endpoint) uint32 {
	number := encodeEndpoint(service)
	index, known := s.byNumber[number]
	if !known {
		index = uint32(len(s.services))
		s.byNumber[number] = index
		s.services = append(s.services, number)
	}
	return index
}

func encodeAgentFlows(records gooseberrymast.AgentFlows) (*peer.FlowRecords, *serviceIndexes) {
	encoded := &peer.FlowRecords{
		Agent: encodeEndpoint(records.Agent), Epoch: records.Epoch, Sequence: records.Sequence,
		Server: encodeEndpoint(records.Server.Address), ServerId: records.Server.ID, ServerStartMs: records.Server.StartUnixMs,
		ConfirmedMs: records.ConfirmedUnixMs,
	}
	indexes := &serviceIndexes{byNumber: map[uint64]uint32{}}
	for _, flow := range records.Flows {
		encoded.Callers = append(encoded.Callers, encodeEndpoint(flow.Key.Caller))
		encoded.CallerServices = append(encoded.CallerServices, indexes.add(flow.Key.Service))
		encoded.Acknowledgements = append(encoded.Acknowledgements, flow.Acknowledgement)
	}
	return encoded, indexes
}

func decodeAgentFlows(message *peer.FlowRecords) (gooseberrymast.AgentFlows, error) {
	records := gooseberrymast.AgentFlows{
		Agent: decodeEndpoint(message.GetAgent()), Epoch: message.GetEpoch(), Sequence: message.GetSequence(),
		Server: gooseberrymast.ServerIncarnation{
			Address: decodeEndpoint(message.GetServer()), ID: message.GetServerId(), StartUnixMs: message.GetServerStartMs(),
		},
		ConfirmedUnixMs: message.GetConfirmedMs(),
	}
	keys, err := decodeFlowKeys(message, message.GetCallers(), message.GetCallerServices())
	if err != nil {
		return records, err
	}
	acknowledgements := message.GetAcknowledgements()
	if len(acknowledgements) != len(keys) {
		return records, fmt.Errorf("flow records of %s: %d acknowledgements for %d flows: %w", records.Agent, len(acknowledgements), len(keys), ErrMalformed)
	}
	for i, key := range keys {
		records.Flows = append(records.Flows, gooseberrymast.FlowRecord{Key: key, Acknowledgement: acknowledgements[i]})
	}
	return records, nil
}

func decodeFlowKeys(message *peer.FlowRecords, callers []uint64, indexes []uint32) ([]gooseberrymast.FlowKey, error) {
	services := message.GetServices()
	if len(callers) != len(indexes) {
		return nil, fmt.Errorf("flow records: %d services for %d callers: %w", len(indexes), len(callers), ErrMalformed)
	}
	var keys []gooseberrymast.FlowKey
	for i, caller := range callers {
		if int(indexes[i]) >= len(services) {
			return nil, fmt.Errorf("flow records: service %d of %d: %w", indexes[i], len(services), ErrMalformed)
		}
		keys = append(keys, gooseberrymast.FlowKey{Caller: decodeEndpoint(caller), Service: decodeEndpoint(services[indexes[i]])})
	}
	return keys, nil
}
