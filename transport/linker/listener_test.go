package linker

import (
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// failing is a socket whose first calls of Accept fail, and which then closes.
type failing struct {
	net.Listener
	mu     sync.Mutex
	faults []error
}

func (f *failing) Accept() (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.faults[0]
	f.faults = f.faults[1:]
	return nil, fault
}

func (f *failing) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7001}
}

func TestServeGoesOnAfterAPassingFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		passing := errors.New("too many open files")
		socket := &failing{faults: []error{passing, passing, net.ErrClosed}}
		listener := &Listener{socket: socket}
		is.NoErr(listener.Serve(t.Context()))
		is.Equal(len(socket.faults), 0) // both faults were passed over
	})
}
