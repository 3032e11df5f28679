package terminator_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// interruptingProxy forwards TCP connections and resets them after a given number
// of bytes.
type interruptingProxy struct {
	target  netip.AddrPort
	address netip.AddrPort
	socket  net.Listener

	mu    sync.Mutex
	conns []net.Conn
	// passed counts the bytes to the target (0) and back (1) since the last
	// scheduleCut or resetCounts.
	passed [2]int
	armed  bool
	// The connections are reset after cutAfter bytes in the direction side.
	side, cutAfter int
	// refuse makes the proxy refuse new connections after the cut.
	refuse bool
	cuts   int
	// onCut, unless nil, is called before the connections are reset.
	onCut func()
	// resumed is closed unless the proxy is paused.
	resumed chan struct{}
}

func newInterruptingProxy(t *testing.T, target netip.AddrPort) *interruptingProxy {
	t.Helper()
	is := is.New(t)
	socket, err := net.Listen("tcp", loopback.String())
	is.NoErr(err)
	p := &interruptingProxy{target: target, socket: socket, address: socket.Addr().(*net.TCPAddr).AddrPort(), resumed: make(chan struct{})}
	close(p.resumed)
	go p.serve()
	t.Cleanup(func() {
		socket.Close()
		p.resetAll()
	})
	return p
}

func (p *interruptingProxy) serve() {
	for {
		callerConn, err := p.socket.Accept()
		if err != nil {
			return
		}
		targetConn, err := net.Dial("tcp", p.target.String())
		if err != nil || !p.add(callerConn, targetConn) {
			callerConn.Close()
			continue
		}
		go p.forward(0, callerConn, targetConn)
		go p.forward(1, targetConn, callerConn)
	}
}

func (p *interruptingProxy) add(callerConn, targetConn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuse && p.cuts > 0 {
		targetConn.Close()
		return false
	}
	p.conns = append(p.conns, callerConn, targetConn)
	return true
}

func (p *interruptingProxy) forward(side int, from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		<-p.resumedChannel()
		if n > 0 {
			pass, cut := p.count(side, n)
			_, _ = to.Write(buffer[:pass])
			if cut {
				if p.onCut != nil {
					p.onCut()
				}
				p.resetAll()
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// count returns the number of bytes to forward, and whether to reset the
// connections after them.
func (p *interruptingProxy) count(side, n int) (pass int, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.passed[side]
	p.passed[side] += n
	if !p.armed || side != p.side || before+n <= p.cutAfter {
		return n, false
	}
	p.armed = false
	p.cuts++
	return max(p.cutAfter-before, 0), true
}

// scheduleCut resets the counts and schedules a cut after cutAfter bytes in a
// direction.
func (p *interruptingProxy) scheduleCut(side, cutAfter int, refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passed = [2]int{}
	p.armed, p.side, p.cutAfter, p.refuse = true, side, cutAfter, refuse
}

func (p *interruptingProxy) cancelCut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = false
}

// resetCounts resets the counts and cancels a scheduled cut.
func (p *interruptingProxy) resetCounts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passed = [2]int{}
	p.armed = false
}

// pause delays all bytes until resume.
func (p *interruptingProxy) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumed = make(chan struct{})
}

func (p *interruptingProxy) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.resumed)
}

func (p *interruptingProxy) resumedChannel() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed
}

func (p *interruptingProxy) cutCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts
}

func (p *interruptingProxy) byteCounts() [2]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.passed
}

func (p *interruptingProxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	p.conns = nil
}
