package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"gooseberrymast/state/timer"
)

// lossyConn drops the packets to and from addresses that have vanished.
type lossyConn struct {
	net.PacketConn

	mu       sync.Mutex
	vanished map[netip.AddrPort]bool
}

func newLossyConn(t *testing.T) *lossyConn {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.New(t).NoErr(err)
	t.Cleanup(func() { socket.Close() })
	return &lossyConn{PacketConn: socket, vanished: map[netip.AddrPort]bool{}}
}

func (l *lossyConn) set(address netip.AddrPort, vanished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vanished[address] = vanished
}

func (l *lossyConn) drops(address net.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vanished[address.(*net.UDPAddr).AddrPort()]
}

func (l *lossyConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := l.PacketConn.ReadFrom(p)
		if err != nil || !l.drops(from) {
			return n, from, err
		}
	}
}

func (l *lossyConn) WriteTo(p []byte, to net.Addr) (int, error) {
	if l.drops(to) {
		return len(p), nil
	}
	return l.PacketConn.WriteTo(p, to)
}

// countFlows counts the flows that a client opens.
func countFlows(client *Client) func() int {
	var mu sync.Mutex
	count := 0
	client.OnFlow = func(*quic.Conn) {
		mu.Lock()
		defer mu.Unlock()
		count++
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}

// expire sends a request that its deadline ends.
func expire(t *testing.T, client *Client, path string, after time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), after)
	defer cancel()
	sent := newRequest(ctx, http.MethodGet, "")
	sent.URL.Path = path
	_, err := client.Do(sent)
	is.New(t).True(errors.Is(err, context.DeadlineExceeded))
}

// expireUntilDoubted sends requests that end by their deadlines until the flow
// is given up. A packet that was on its way when the agent vanished can pass
// for a sign of life, once.
func expireUntilDoubted(t *testing.T, client *Client) {
	t.Helper()
	const most = 3
	before := doubtedAt(client)
	for range most {
		expire(t, client, "/loans", 300*time.Millisecond)
		if doubtedAt(client) != before {
			return
		}
	}
	t.Fatal("the flow was not given up")
}

func doubtedAt(client *Client) time.Time {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.doubtedAt
}

// lines answers "/feed" with a line for each value of the channel, "/slow"
// never and all else at once.
func lines(feed <-chan int) func(int, http.ResponseWriter, *http.Request) {
	return func(n int, w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/feed":
			for line := range feed {
				fmt.Fprintln(w, line)
				_ = http.NewResponseController(w).Flush()
			}
		case "/slow":
			<-r.Context().Done()
		default:
			answer(n, w, r)
		}
	}
}

func TestSilentFlowIsGivenUpForNewRequests(t *testing.T) {
	is := is.New(t)
	feed := make(chan int, 1)
	first, second := newAgent(t, lines(feed)), newAgent(t, answer)
	conn := newLossyConn(t)
	client := newClient(t, first, second)
	client.Conn = conn
	flows := countFlows(client)
	screen := newRequest(t.Context(), http.MethodGet, "")
	screen.URL.Path = "/feed"
	feed <- 1
	stream, err := client.Do(screen)
	is.NoErr(err)
	pushed := bufio.NewReader(stream.Body)
	line, err := pushed.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "1\n")

	conn.set(first.address, true)
	expireUntilDoubted(t, client)
	response, err := client.Do(newRequest(t.Context(), http.MethodPost, "body"))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(flows(), 2)
	is.Equal(len(second.seen()), 1)

	conn.set(first.address, false)
	feed <- 2
	line, err = pushed.ReadString('\n')
	is.NoErr(err) // the stream on the first flow lives
	is.Equal(line, "2\n")
	close(feed)
	_, err = pushed.ReadString('\n')
	is.True(err != nil)
	is.True(client.flows[0].conn.Context().Err() != nil) // closed with its last request
}

func TestSlowServerIsNoReasonForANewFlow(t *testing.T) {
	is := is.New(t)
	a := newAgent(t, lines(nil))
	client := newClient(t, a)
	flows := countFlows(client)
	for range 2 {
		expire(t, client, "/slow", time.Second)
	}
	is.Equal(flows(), 1)
}

func TestDoubtsAreBounded(t *testing.T) {
	is := is.New(t)
	first, second := newAgent(t, answer), newAgent(t, answer)
	conn := newLossyConn(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	client := newClient(t, first, second)
	client.Conn = conn
	client.Timer = clock
	flows := countFlows(client)
	open := func() {
		response, err := client.Do(newRequest(t.Context(), http.MethodGet, ""))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	open()
	conn.set(first.address, true)
	expireUntilDoubted(t, client)
	open()
	is.Equal(flows(), 2)
	conn.set(second.address, true)
	conn.set(first.address, false)
	for range 3 {
		expire(t, client, "/loans", 300*time.Millisecond) // too soon after the last doubt
	}
	is.Equal(flows(), 2)
	clock.Advance(DoubtInterval)
	expireUntilDoubted(t, client)
	open()
	is.Equal(flows(), 3)
}
