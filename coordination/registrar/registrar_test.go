package registrar

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast/coordination/messenger"
	"gooseberrymast/state/directory"
)

var start = time.Unix(1_700_000_000, 0)

func TestWriterIsLostAfterGrace(t *testing.T) {
	is := is.New(t)
	var r Registrar
	writer := directory.KeyOf(netip.MustParseAddrPort("10.0.0.1:7000"))
	dependents := []directory.Key{writer}
	is.Equal(len(r.LostWriters(start, dependents)), 0)
	is.Equal(len(r.LostWriters(start.Add(DefaultGrace-1), dependents)), 0)
	is.Equal(r.LostWriters(start.Add(DefaultGrace), dependents), dependents)

	s := r.Open(start, 1, netip.AddrPort{})
	s.Peer = writer
	is.Equal(len(r.LostWriters(start.Add(time.Minute), dependents)), 0) // reconnected
	r.Close(1)
	is.Equal(len(r.LostWriters(start.Add(time.Minute), dependents)), 0) // the grace period restarts
}

func TestSessionTimeoutAndHeartbeatInterval(t *testing.T) {
	is := is.New(t)
	var r Registrar
	s := r.Open(start, 1, netip.AddrPort{})
	is.Equal(len(r.DueHeartbeats(start.Add(DefaultHeartbeatInterval))), 0) // no Hello received
	s.Peer = 1
	is.Equal(r.DueHeartbeats(start.Add(DefaultHeartbeatInterval)), []*Session{s})
	s.LastReceived = start.Add(time.Second)
	is.Equal(len(r.Silent(start.Add(DefaultSessionTimeout))), 0)
	is.Equal(r.Silent(start.Add(DefaultSessionTimeout+time.Second)), []messenger.Session{1})
}
