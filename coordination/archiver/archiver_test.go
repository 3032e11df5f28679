package archiver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

func agentAt(number int) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{10, 0, byte(number >> 8), byte(number)}, Port: 7720}
}

// updateOf returns an update of an agent with all of its flows.
func updateOf(agent int, epoch, sequence uint64, flows int) gooseberrymast.FlowUpdate {
	update := gooseberrymast.FlowUpdate{AgentFlows: gooseberrymast.AgentFlows{Agent: agentAt(agent), Epoch: epoch, Sequence: sequence}}
	for number := range flows {
		key := gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: [4]byte{10, 9, byte(agent >> 8), byte(agent)}, Port: uint16(1 + number)}, Service: service}
		update.Flows = append(update.Flows, gooseberrymast.FlowRecord{Key: key, Acknowledgement: uint32(sequence)})
	}
	return update
}

func countFlows(records []gooseberrymast.AgentFlows) int {
	count := 0
	for _, agent := range records {
		count += len(agent.Flows)
	}
	return count
}

// Guards against updates that are applied twice, in the wrong order or to records that
// they don't build on, which would claim closed flows.
func TestUpdatesBuildOnEachOther(t *testing.T) {
	is := is.New(t)
	a := Archiver{MaxAge: maxAge}
	answer := func(update gooseberrymast.FlowUpdate) gooseberrymast.FlowUpdateAnswer {
		answer, ok := a.HandleUpdate(update, start)
		is.True(ok)
		return answer
	}
	flows := func() int {
		records, _ := a.Contents()
		return countFlows(records)
	}
	change := updateOf(1, 7, 3, 4)
	change.Base = 2
	is.True(answer(change).Resend) // the relay has restarted
	is.Equal(flows(), 0)
	first := updateOf(1, 7, 2, 2)
	is.Equal(answer(first), gooseberrymast.FlowUpdateAnswer{Epoch: 7, Sequence: 2})
	change.Closed = []gooseberrymast.FlowKey{first.Flows[0].Key}
	change.Flows = change.Flows[2:]
	answer(change)
	is.Equal(flows(), 3)
	is.Equal(answer(first), gooseberrymast.FlowUpdateAnswer{Epoch: 7, Sequence: 2}) // a late copy
	is.Equal(flows(), 3)
	is.Equal(answer(change), gooseberrymast.FlowUpdateAnswer{Epoch: 7, Sequence: 3})
	is.Equal(flows(), 3)
	is.Equal(answer(updateOf(1, 6, 9, 5)).Epoch, uint64(7)) // an earlier run of the agent
	is.Equal(flows(), 3)
}

// Guards against a write between two updates that replace an agent's records, which
// would lack most of its flows at the moment of a loss.
func TestRecordsAreReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	a := Archiver{MaxAge: maxAge}
	flows := func() int {
		records, _ := a.Contents()
		return countFlows(records)
	}
	a.HandleUpdate(updateOf(1, 7, 1, 5), start)
	part := updateOf(1, 7, 2, 2)
	part.More = true
	a.HandleUpdate(part, start)
	is.Equal(flows(), 5)
	last := updateOf(1, 7, 3, 4)
	last.Base, last.Flows = 2, last.Flows[2:]
	a.HandleUpdate(last, start)
	is.Equal(flows(), 4)
}

// Guards against objects that the store refuses, and against memory that grows with what
// agents send.
func TestObjectIsBounded(t *testing.T) {
	is := is.New(t)
	a := Archiver{MaxAge: maxAge}
	for number := range MaxAgents + 1 {
		_, ok := a.HandleUpdate(updateOf(number, 7, 1, 100), start)
		is.Equal(ok, number < MaxAgents)
	}
	records, _ := a.Contents()
	is.Equal(len(records), MaxAgents)
	is.Equal(countFlows(records), MaxFlows)
	is.Equal(a.LeftOut(), MaxAgents*100-MaxFlows)
	a.HandleUpdate(updateOf(0, 7, 2, 2*maxFlowsPerAgent), start)
	is.Equal(len(a.agents[agentAt(0)].flows), maxFlowsPerAgent)
}

// Guards against writes that change nothing, and against changes that are never written,
// after the object was read.
func TestObjectIsWrittenOnlyIfItDiffers(t *testing.T) {
	own := updateOf(1, 7, 2, 1).AgentFlows
	older, later := own, own
	older.Sequence, later.Sequence = 1, 3
	other := updateOf(2, 7, 1, 1).AgentFlows
	tests := []struct {
		name   string
		stored []gooseberrymast.AgentFlows
		want   Action
	}{
		{"absent", nil, Write},
		{"older", []gooseberrymast.AgentFlows{older}, Write},
		{"the same", []gooseberrymast.AgentFlows{own}, None},
		{"another relay has written later records", []gooseberrymast.AgentFlows{later, other}, None},
		{"without the agent", []gooseberrymast.AgentFlows{other}, Write},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := Archiver{MaxAge: maxAge}
			is.Equal(a.Due(1, start), None) // a balancer that is no relay makes no call
			a.HandleUpdate(updateOf(1, 7, 2, 1), start)
			is.Equal(a.Due(1, start), Read)
			a.HandleRead(test.stored, 5, 1, start)
			is.Equal(a.Due(1, start), test.want)
		})
	}
}

// written returns a relay that has written the records of an agent.
func written() *Archiver {
	a := &Archiver{MaxAge: maxAge}
	a.HandleUpdate(updateOf(1, 7, 1, 1), start)
	a.HandleRead(nil, 0, 1, start)
	a.Due(1, start)
	a.Contents()
	a.HandleWritten(5)
	return a
}

// Guards against records that are missing after a loss, since the store was restored
// from a copy before the last write and nothing has changed since.
func TestRecordsAreWrittenAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	a := written()
	later := start.Add(WriteInterval)
	is.Equal(a.Due(1, later), None)
	is.Equal(a.Due(2, later), Read)
	a.HandleRead(nil, 0, 2, later)
	is.Equal(a.Due(2, later), Write)
}

// Guards against flows of agents that are gone for good, which would be claimed for
// ever, and against a former relay that goes on to write.
func TestAgentsThatAreGoneAreDropped(t *testing.T) {
	is := is.New(t)
	a := written()
	a.HandleUpdate(updateOf(2, 7, 1, 1), start.Add(maxAge/2))
	a.HandleUpdate(updateOf(2, 7, 2, 1), start.Add(maxAge))
	is.Equal(a.Due(1, start.Add(maxAge+time.Second)), Write)
	records, _ := a.Contents()
	is.Equal(len(records), 1)
	is.Equal(records[0].Agent, agentAt(2))
	is.Equal(a.Due(1, start.Add(3*maxAge)), None)
	is.Equal(len(a.agents), 0)
}
