package interpreter

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/protocol/messages/peer"
)

func agentFlows(number byte, flows int) gooseberrymast.AgentFlows {
	records := gooseberrymast.AgentFlows{
		Agent: gooseberrymast.Endpoint{IP: [4]byte{10, 0, 3, number}, Port: 7720}, Epoch: 1_700_000_000_000, Sequence: 400,
		Server: gooseberrymast.ServerIncarnation{
			Address: gooseberrymast.Endpoint{IP: [4]byte{10, 0, 3, number}, Port: 8165}, ID: "ledger-17", StartUnixMs: 1_700_000_000_000,
		},
		ConfirmedUnixMs: 1_700_000_100_000,
	}
	for i := range flows {
		records.Flows = append(records.Flows, gooseberrymast.FlowRecord{Key: gooseberrymast.FlowKey{
			Caller:  gooseberrymast.Endpoint{IP: [4]byte{10, 9, 0, number}, Port: uint16(1024 + i)},
			Service: gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, byte(i % 2)}, Port: 443},
		}, Acknowledgement: 1<<31 + uint32(i)})
	}
	return records
}

func TestFlowUpdateRoundTrip(t *testing.T) {
	is := is.New(t)
	update := gooseberrymast.FlowUpdate{AgentFlows: agentFlows(1, 3), Base: 399, More: true}
	for _, flow := range agentFlows(2, 2).Flows {
		update.Closed = append(update.Closed, flow.Key)
	}
	datagram, err := Encode(FlowUpdate(update))
	is.NoErr(err)
	message, err := Decode(datagram)
	is.NoErr(err)
	decoded, err := ReadFlowUpdate(message.GetFlowRecords())
	is.NoErr(err)
	is.Equal(decoded, update)

	answer := gooseberrymast.FlowUpdateAnswer{Relay: update.Agent, Epoch: 5, Sequence: 400, Resend: true}
	datagram, err = Encode(FlowUpdateAnswer(answer))
	is.NoErr(err)
	message, err = Decode(datagram)
	is.NoErr(err)
	is.Equal(ReadFlowUpdateAnswer(message.GetFlowRecordsAnswer()), answer)
}

// Guards against objects that outgrow the store's limit: the bound on flows assumes 28
// bytes for one whose address no other has.
func TestStoredFlowRecordsRoundTripAndSize(t *testing.T) {
	is := is.New(t)
	records := []gooseberrymast.AgentFlows{agentFlows(1, 35), agentFlows(2, 0), agentFlows(3, 35)}
	value, err := EncodeFlowRecords(records)
	is.NoErr(err)
	decoded, err := DecodeFlowRecords(value)
	is.NoErr(err)
	is.Equal(decoded, records)

	large := agentFlows(1, 10_000)
	for i := range large.Flows {
		large.Flows[i].Key.Service.Port = uint16(i)
	}
	value, err = EncodeFlowRecords([]gooseberrymast.AgentFlows{large})
	is.NoErr(err)
	const maxBytesPerFlow = 28.1
	is.True(float64(len(value)) < 10_000*maxBytesPerFlow)
}

// Guards against panics and resets of wrong flows by messages that contradict themselves.
func TestMalformedFlowRecordsAreRefused(t *testing.T) {
	is := is.New(t)
	tests := map[string]func(*peer.FlowRecords){
		"service out of range":        func(m *peer.FlowRecords) { m.CallerServices[0] = 9 },
		"missing service":             func(m *peer.FlowRecords) { m.CallerServices = m.CallerServices[1:] },
		"missing acknowledgement":     func(m *peer.FlowRecords) { m.Acknowledgements = m.Acknowledgements[1:] },
		"closed service out of range": func(m *peer.FlowRecords) { m.ClosedServices = []uint32{9}; m.ClosedCallers = []uint64{1} },
	}
	for name, change := range tests {
		message := FlowUpdate(gooseberrymast.FlowUpdate{AgentFlows: agentFlows(1, 3)}).GetFlowRecords()
		change(message)
		_, err := ReadFlowUpdate(message)
		if !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, value := range []string{"", "{}x", `{"records":"AAAA"}`, `{"records":7}`, `{"records":"!"}`} {
		_, err := DecodeFlowRecords([]byte(value))
		is.True(err != nil)
	}
}

// Guards against panics by objects that other programs have written.
func FuzzDecodeFlowRecords(f *testing.F) {
	value, err := EncodeFlowRecords([]gooseberrymast.AgentFlows{agentFlows(1, 2)})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{string(value), `{"records":""}`, `{"records":"CgIIAQ=="}`, `[]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, value []byte) {
		records, err := DecodeFlowRecords(value)
		if err == nil {
			_, _ = EncodeFlowRecords(records)
		}
	})
}
