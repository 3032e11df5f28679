package soaker

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// TestLateCopyOfARequestDoesNotRun replays a copy that a slow link delivers after
// the next request.
func TestLateCopyOfARequestDoesNotRun(t *testing.T) {
	is := is.New(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	c := opened()
	s := &server{
		name: "agent-1/1", agent: "agent-1", service: "ledger", checker: c, conn: conn,
		work: func() time.Duration { return time.Hour }, flows: map[gooseberrymast.FlowKey]*serverFlow{key: {opened: true}},
	}
	ask := func(sequence uint32, name string) {
		header := gooseberrymast.PacketHeader{Source: key.Caller, Destination: key.Service, Acknowledges: true, Sequence: sequence}
		packet := platform.Codec{}.AppendPacket(nil, header, platform.FormatRequest("GET", "/"+name, name))
		decoded, err := platform.Codec{}.Decode(packet)
		is.NoErr(err)
		s.take(decoded, packet, epoch)
	}
	ask(1, requestName("a", true))
	ask(200, requestName("b", true))
	ask(1, requestName("a", true))
	is.Equal(len(c.Violations()), 0)
}
