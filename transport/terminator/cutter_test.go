package terminator_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// cutter passes TCP connections on and breaks them at a byte.
type cutter struct {
	target  netip.AddrPort
	address netip.AddrPort
	socket  net.Listener

	mu    sync.Mutex
	conns []net.Conn
	// passed counts the bytes towards the target (0) and back (1) since arm.
	passed [2]int
	armed  bool
	// side is the direction that is counted for the cut at the byte at.
	side, at int
	// refuse makes the cutter take no new connection after the cut.
	refuse bool
	cuts   int
	// onCut, unless nil, is called at the cut.
	onCut func()
	// thawed is closed unless the bytes are held back.
	thawed chan struct{}
}

func newCutter(t *testing.T, target netip.AddrPort) *cutter {
	t.Helper()
	is := is.New(t)
	socket, err := net.Listen("tcp", loopback.String())
	is.NoErr(err)
	c := &cutter{target: target, socket: socket, address: socket.Addr().(*net.TCPAddr).AddrPort(), thawed: make(chan struct{})}
	close(c.thawed)
	go c.serve()
	t.Cleanup(func() {
		socket.Close()
		c.breakAll()
	})
	return c
}

func (c *cutter) serve() {
	for {
		near, err := c.socket.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", c.target.String())
		if err != nil || !c.add(near, far) {
			near.Close()
			continue
		}
		go c.pump(0, near, far)
		go c.pump(1, far, near)
	}
}

func (c *cutter) add(near, far net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuse && c.cuts > 0 {
		far.Close()
		return false
	}
	c.conns = append(c.conns, near, far)
	return true
}

func (c *cutter) pump(side int, from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		<-c.gate()
		if n > 0 {
			pass, cut := c.count(side, n)
			_, _ = to.Write(buffer[:pass])
			if cut {
				if c.onCut != nil {
					c.onCut()
				}
				c.breakAll()
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// count gives the number of bytes to pass on, and whether to cut then.
func (c *cutter) count(side, n int) (pass int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.passed[side]
	c.passed[side] += n
	if !c.armed || side != c.side || before+n <= c.at {
		return n, false
	}
	c.armed = false
	c.cuts++
	return max(c.at-before, 0), true
}

// arm starts counting and cuts once more than at bytes pass in a direction.
func (c *cutter) arm(side, at int, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passed = [2]int{}
	c.armed, c.side, c.at, c.refuse = true, side, at, refuse
}

func (c *cutter) disarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = false
}

// reset starts counting without a cut.
func (c *cutter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passed = [2]int{}
	c.armed = false
}

// freeze holds all bytes back until thaw.
func (c *cutter) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.thawed = make(chan struct{})
}

func (c *cutter) thaw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.thawed)
}

func (c *cutter) gate() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.thawed
}

func (c *cutter) cutCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts
}

func (c *cutter) counted() [2]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.passed
}

func (c *cutter) breakAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	c.conns = nil
}
