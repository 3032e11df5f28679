package terminator

import (
	"context"
	"sync"

	"github.com/phuslu/log"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// flow is one caller's open flow. It has a server of its own, so that it alone
// can be asked to move.
type flow struct {
	conn   *quic.Conn
	server *http3.Server
	asked  bool
}

// flows holds the open flows. The zero value is empty.
type flows struct {
	mu   sync.Mutex
	open map[*flow]struct{}
	// leaving is set once every flow is asked to move.
	leaving bool
	// empty is closed when the last flow ends after leaving was set.
	empty chan struct{}
}

// add notes a flow. One that comes after the others were asked to move is
// asked at once.
func (s *flows) add(f *flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*flow]struct{}{}
	}
	s.open[f] = struct{}{}
	if s.leaving {
		f.ask()
	}
}

func (s *flows) remove(f *flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, f)
	s.signal()
}

// signal tells the waiting shutdown that no flow is left; the lock is held.
func (s *flows) signal() {
	if !s.leaving || len(s.open) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

func (s *flows) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// staying counts the flows that were not asked to move.
func (s *flows) staying() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for f := range s.open {
		if !f.asked {
			n++
		}
	}
	return n
}

// retire asks at most n flows to move that were not asked before.
func (s *flows) retire(n int) (asked int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.open {
		if asked >= n {
			break
		}
		if !f.asked {
			f.ask()
			asked++
		}
	}
	return asked
}

// leave asks every flow to move, and gives a channel that is closed when the
// last one has ended.
func (s *flows) leave() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		s.leaving = true
		s.empty = make(chan struct{})
	}
	for f := range s.open {
		if !f.asked {
			f.ask()
		}
	}
	s.signal()
	return s.empty
}

// cut ends every flow.
func (s *flows) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.open {
		f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}

// ask sends GOAWAY on the flow: new requests go to another one, what is in
// progress goes on to its end.
func (f *flow) ask() {
	f.asked = true
	go func() {
		// Shutdown returns once the flow has ended, for whatever reason.
		if err := f.server.Shutdown(context.Background()); err != nil {
			log.Debug().Err(err).Msg("a flow that was asked to move ended")
		}
	}()
}
