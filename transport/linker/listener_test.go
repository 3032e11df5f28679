package linker

import (
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// failingListener returns one of its faults from each call of Accept.
type failingListener struct {
	net.Listener
	mu     sync.Mutex
	faults []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.faults[0]
	f.faults = f.faults[1:]
	return nil, fault
}

func (f *failingListener) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 7001}
}

func TestServeContinuesAfterTemporaryAcceptError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		temporary := errors.New("too many open files")
		socket := &failingListener{faults: []error{temporary, temporary, net.ErrClosed}}
		listener := &Listener{socket: socket}
		is.NoErr(listener.Serve(t.Context()))
		is.Equal(len(socket.faults), 0) // Serve continued after both errors
	})
}
