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

// lossyConn drops the packets to and from unreachable addresses.
type lossyConn struct {
	net.PacketConn

	mu          sync.Mutex
	unreachable map[netip.AddrPort]bool
}

func newLossyConn(t *testing.T) *lossyConn {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.New(t).NoErr(err)
	t.Cleanup(func() { socket.Close() })
	return &lossyConn{PacketConn: socket, unreachable: map[netip.AddrPort]bool{}}
}

func (l *lossyConn) setUnreachable(address netip.AddrPort, unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable[address] = unreachable
}

func (l *lossyConn) drops(address net.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreachable[address.(*net.UDPAddr).AddrPort()]
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

// countFlows counts the flows that a client opens from now on. The returned function
// returns their number.
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

// expire sends a request and checks that it ends by its deadline.
func expire(t *testing.T, client *Client, path string, after time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), after)
	defer cancel()
	sent := newRequest(ctx, http.MethodGet, "")
	sent.URL.Path = path
	_, err := client.Do(sent)
	is.New(t).True(errors.Is(err, context.DeadlineExceeded))
}

// expireUntilRetired sends requests that end by their deadlines until the flow is
// retired. The first may not retire it: a packet that was already in transit when
// the agent became unreachable counts as received.
func expireUntilRetired(t *testing.T, client *Client) {
	t.Helper()
	const maxRequests = 3
	before := silentRetiredAt(client)
	for range maxRequests {
		expire(t, client, "/loans", 300*time.Millisecond)
		if silentRetiredAt(client) != before {
			return
		}
	}
	t.Fatal("the silent flow was not retired")
}

func silentRetiredAt(client *Client) time.Time {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.silentRetiredAt
}

// respondByPath returns a handler that answers "/feed" with a line for each value of
// the channel, never answers "/slow", and answers other paths at once.
func respondByPath(feed <-chan int) func(int, http.ResponseWriter, *http.Request) {
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

func TestNewRequestsLeaveASilentFlow(t *testing.T) {
	is := is.New(t)
	feed := make(chan int, 1)
	first, second := newAgent(t, respondByPath(feed)), newAgent(t, answer)
	conn := newLossyConn(t)
	client := newClient(t, first, second)
	client.Conn = conn
	flows := countFlows(client)
	feedRequest := newRequest(t.Context(), http.MethodGet, "")
	feedRequest.URL.Path = "/feed"
	feed <- 1
	stream, err := client.Do(feedRequest)
	is.NoErr(err)
	feedReader := bufio.NewReader(stream.Body)
	line, err := feedReader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "1\n")

	conn.setUnreachable(first.address, true)
	expireUntilRetired(t, client)
	response, err := client.Do(newRequest(t.Context(), http.MethodPost, "body"))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(flows(), 2)
	is.Equal(len(second.receivedRequests()), 1)

	conn.setUnreachable(first.address, false)
	feed <- 2
	line, err = feedReader.ReadString('\n')
	is.NoErr(err) // the stream on the first flow is still open
	is.Equal(line, "2\n")
	close(feed)
	_, err = feedReader.ReadString('\n')
	is.True(err != nil)
	is.True(client.flows[0].conn.Context().Err() != nil) // closed with its last request
}

func TestSlowResponseDoesNotOpenANewFlow(t *testing.T) {
	is := is.New(t)
	a := newAgent(t, respondByPath(nil))
	client := newClient(t, a)
	flows := countFlows(client)
	for range 2 {
		expire(t, client, "/slow", time.Second)
	}
	is.Equal(flows(), 1)
}

func TestSilentFlowsAreRetiredOncePerInterval(t *testing.T) {
	is := is.New(t)
	first, second := newAgent(t, answer), newAgent(t, answer)
	conn := newLossyConn(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	client := newClient(t, first, second)
	client.Conn = conn
	client.Timer = clock
	flows := countFlows(client)
	send := func() {
		response, err := client.Do(newRequest(t.Context(), http.MethodGet, ""))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	send()
	conn.setUnreachable(first.address, true)
	expireUntilRetired(t, client)
	send()
	is.Equal(flows(), 2)
	conn.setUnreachable(second.address, true)
	conn.setUnreachable(first.address, false)
	for range 3 {
		expire(t, client, "/loans", 300*time.Millisecond) // too soon after the last flow was retired
	}
	is.Equal(flows(), 2)
	clock.Advance(SilentRetireInterval)
	expireUntilRetired(t, client)
	send()
	is.Equal(flows(), 3)
}

// TestRequestOnSilentFlowGoesToAnotherAgent checks that a request without a deadline,
// or with a late one, does not wait for the idle timeout of a flow whose agent is
// unreachable.
func TestRequestOnSilentFlowGoesToAnotherAgent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		is := is.New(t)
		first, second := newAgent(t, answer), newAgent(t, answer)
		conn := newLossyConn(t)
		client := newClient(t, first, second)
		client.Conn = conn
		client.QUIC = &quic.Config{MaxIdleTimeout: time.Hour}
		response, err := client.Do(newRequest(t.Context(), method, "body"))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		time.Sleep(50 * time.Millisecond) // Lets packets in transit arrive.
		conn.setUnreachable(first.address, true)
		response, err = client.Do(newRequest(t.Context(), method, "body"))
		is.NoErr(err) // it would wait for an hour otherwise
		is.NoErr(response.Body.Close())
		is.Equal(len(first.receivedRequests()), 1)
		is.Equal(len(second.receivedRequests()), 1)
	}
}
