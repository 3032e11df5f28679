package soaker

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// Guards against a server running a request twice when a slow link delivers a
// copy of it after the next request on the flow.
func TestDelayedDuplicateRequestDoesNotRun(t *testing.T) {
	is := is.New(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	c := checkerWithOpenFlow()
	s := &server{
		name: "agent-1/1", agent: "agent-1", service: "ledger", checker: c, conn: conn,
		drawWorkTime: func() time.Duration { return time.Hour }, flows: map[gooseberrymast.FlowKey]*serverFlow{key: {opened: true}},
	}
	send := func(sequence uint32, name string) {
		header := gooseberrymast.PacketHeader{Source: key.Caller, Destination: key.Service, Acknowledges: true, Sequence: sequence}
		packet := platform.Codec{}.AppendPacket(nil, header, platform.FormatRequest("GET", "/"+name, name))
		decoded, err := platform.Codec{}.Decode(packet)
		is.NoErr(err)
		s.handlePacket(decoded, packet, epoch)
	}
	send(1, requestName("a", true))
	send(200, requestName("b", true))
	send(1, requestName("a", true))
	is.Equal(len(c.Violations()), 0)
}

// Guards against the answer of an earlier flow: a caller that drew its port again after 49 s
// got it, since the server kept the flow and took the new one for it.
func TestReusedPortOpensAnotherFlow(t *testing.T) {
	is := is.New(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	c := &Checker{}
	c.RecordDocument(map[gooseberrymast.Endpoint][]string{key.Service: {"ledger"}}, epoch)
	s := &server{
		name: "agent-1/1", agent: "agent-1", service: "ledger", checker: c, conn: conn,
		drawWorkTime: func() time.Duration { return 0 }, flows: map[gooseberrymast.FlowKey]*serverFlow{},
	}
	open := func(sequence uint32) *serverFlow {
		c.RecordSent(key, "balancer-1", true, epoch)
		s.handlePacket(gooseberrymast.PacketHeader{Source: key.Caller, Destination: key.Service, Opens: true, Sequence: sequence}, nil, epoch)
		return s.flows[key]
	}
	first := open(1000)
	is.Equal(open(1000), first) // a copy
	c.RecordOpened(key, s.name, s.agent, epoch)
	c.RecordFlowEnd(key)
	is.True(open(2000) != first)
	is.True(!c.flow(key).ended) // the checks hold for it, too
}
