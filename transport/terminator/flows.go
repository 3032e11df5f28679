package terminator

import (
	"context"
	"sync"

	"github.com/phuslu/log"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// flow is one caller's open flow. It has an http3.Server of its own, so that
// GOAWAY can be sent on single flows.
type flow struct {
	conn       *quic.Conn
	server     *http3.Server
	goAwaySent bool
}

// flows is the set of open flows. The zero value is empty.
type flows struct {
	mu   sync.Mutex
	open map[*flow]struct{}
	// leaving is set once GOAWAY is sent on every flow.
	leaving bool
	// empty is closed when leaving is set and the last flow has ended.
	empty chan struct{}
}

// add adds a flow. If leaving is set, it sends GOAWAY on the flow at once.
func (s *flows) add(f *flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*flow]struct{}{}
	}
	s.open[f] = struct{}{}
	if s.leaving {
		f.sendGoAway()
	}
}

func (s *flows) remove(f *flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, f)
	s.signalIfEmpty()
}

// signalIfEmpty closes empty if leaving is set and no flow is left. The caller
// holds the lock.
func (s *flows) signalIfEmpty() {
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

// countActive returns the number of flows on which no GOAWAY was sent.
func (s *flows) countActive() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for f := range s.open {
		if !f.goAwaySent {
			n++
		}
	}
	return n
}

// sendGoAway sends GOAWAY on at most n flows on which none was sent yet, and
// returns the number of these flows.
func (s *flows) sendGoAway(n int) (sent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.open {
		if sent >= n {
			break
		}
		if !f.goAwaySent {
			f.sendGoAway()
			sent++
		}
	}
	return sent
}

// sendGoAwayToAll sends GOAWAY on every flow and returns a channel that is closed
// when the last flow has ended.
func (s *flows) sendGoAwayToAll() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		s.leaving = true
		s.empty = make(chan struct{})
	}
	for f := range s.open {
		if !f.goAwaySent {
			f.sendGoAway()
		}
	}
	s.signalIfEmpty()
	return s.empty
}

// closeAll closes every flow.
func (s *flows) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.open {
		f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}

// sendGoAway sends GOAWAY on the flow: the caller sends new requests on another
// flow, and requests in progress are completed.
func (f *flow) sendGoAway() {
	f.goAwaySent = true
	go func() {
		// Shutdown returns once the flow has ended, for whatever reason.
		if err := f.server.Shutdown(context.Background()); err != nil {
			log.Debug().Err(err).Msg("flow ended after GOAWAY")
		}
	}()
}
