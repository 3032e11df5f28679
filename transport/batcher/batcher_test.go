package batcher

import (
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func listenOn(t *testing.T, shards int) []*Conn {
	t.Helper()
	conns, err := Listen(loopback, shards)
	is.New(t).NoErr(err)
	t.Cleanup(func() { Close(conns) })
	return conns
}

// testExchange sends datagrams from one socket to another and checks what is
// read.
func testExchange(t *testing.T, from, to *Conn) {
	t.Helper()
	is := is.New(t)
	const datagrams = 5
	write := NewWriteBatch(datagrams)
	for i := range datagrams {
		write.Add([]byte(fmt.Sprint("datagram ", i)), to.Address())
	}
	is.Equal(from.Write(write), datagrams)
	const headroom = 10
	read := NewReadBatch(3, headroom, 100)
	for got := 0; got < datagrams; {
		n, err := to.Read(read)
		is.NoErr(err)
		for i := range n {
			datagram, sender := read.Datagram(i)
			is.Equal(string(datagram), fmt.Sprint("datagram ", got))
			is.Equal(sender, from.Address())
			is.Equal(len(read.Buffer(i)), headroom+len(datagram))
			got++
		}
	}
}

func TestBatchedReadsAndWrites(t *testing.T) {
	testExchange(t, listenOn(t, 1)[0], listenOn(t, 1)[0])
}

// If the host doesn't support batched calls, single calls have the same result.
func TestSingleCallsReplaceUnsupportedBatches(t *testing.T) {
	from, to := listenOn(t, 1)[0], listenOn(t, 1)[0]
	from.useSingleCalls(unix.ENOSYS)
	to.useSingleCalls(unix.ENOSYS)
	testExchange(t, from, to)
}

func TestIsUnsupported(t *testing.T) {
	tests := []struct {
		err  error
		want bool
	}{
		{nil, false},
		{unix.ENOSYS, true},
		{fmt.Errorf("recvmmsg: %w", unix.EPERM), true},
		{unix.ENOPROTOOPT, true},
		{unix.EAGAIN, false},
		{unix.EMSGSIZE, false},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.err), func(t *testing.T) {
			is := is.New(t)
			is.Equal(isUnsupported(test.err), test.want)
		})
	}
}

func TestShardsShareOneAddress(t *testing.T) {
	is := is.New(t)
	conns := listenOn(t, 4)
	is.Equal(len(conns), 4)
	for _, conn := range conns {
		is.Equal(conn.Address(), conns[0].Address())
	}
}

// If the host doesn't support SO_REUSEPORT, Listen opens one socket.
func TestOneSocketWithoutReusePort(t *testing.T) {
	is := is.New(t)
	refuse := func(string, string, syscall.RawConn) error { return unix.ENOPROTOOPT }
	conns, err := listenShards(loopback, 4, refuse)
	is.NoErr(err)
	defer Close(conns)
	is.Equal(len(conns), 1)
	testExchange(t, listenOn(t, 1)[0], conns[0])
}

func TestAddressInUseIsAnError(t *testing.T) {
	is := is.New(t)
	taken := listenOn(t, 1)[0]
	for _, shards := range []int{1, 4} {
		conns, err := Listen(taken.Address(), shards)
		is.True(errors.Is(err, unix.EADDRINUSE))
		is.Equal(len(conns), 0)
	}
}

// A datagram that can't be sent must not prevent those after it.
func TestUnsendableDatagramIsSkipped(t *testing.T) {
	is := is.New(t)
	from, to := listenOn(t, 1)[0], listenOn(t, 1)[0]
	write := NewWriteBatch(3)
	write.Add([]byte("first"), to.Address())
	write.Add(make([]byte, 1<<17), to.Address()) // larger than UDP allows
	write.Add([]byte("last"), to.Address())
	is.Equal(from.Write(write), 2)
	read := NewReadBatch(1, 0, 100)
	for _, want := range []string{"first", "last"} {
		_, err := to.Read(read)
		is.NoErr(err)
		datagram, _ := read.Datagram(0)
		is.Equal(string(datagram), want)
	}
}
