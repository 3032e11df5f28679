package caller

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
)

// agent is an HTTP/3 server that records the requests it receives.
type agent struct {
	address netip.AddrPort
	server  *http3.Server

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	tickets  int
	// respond answers the n-th request, counted from 1 without those for tickets.
	respond func(n int, w http.ResponseWriter, r *http.Request)
}

func newAgent(t *testing.T, respond func(n int, w http.ResponseWriter, r *http.Request)) *agent {
	t.Helper()
	is := is.New(t)
	public, private, err := ed25519.GenerateKey(rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	is.NoErr(err)
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	a := &agent{address: socket.LocalAddr().(*net.UDPAddr).AddrPort(), respond: respond}
	a.server = &http3.Server{
		Handler:   a,
		TLSConfig: &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}}},
	}
	served := make(chan struct{})
	go func() {
		_ = a.server.Serve(socket)
		close(served)
	}()
	t.Cleanup(func() {
		a.server.Close()
		<-served
		socket.Close()
	})
	return a
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == encoder.TicketPath {
		a.mu.Lock()
		a.tickets++
		batch := a.tickets
		a.mu.Unlock()
		for n := range ticketBatch {
			fmt.Fprintf(w, "ticket-%d-%d\n", batch, n)
		}
		return
	}
	body, _ := io.ReadAll(r.Body)
	a.mu.Lock()
	a.requests = append(a.requests, r)
	a.bodies = append(a.bodies, string(body))
	n, respond := len(a.requests), a.respond
	a.mu.Unlock()
	respond(n, w, r)
}

func (a *agent) setRespond(respond func(n int, w http.ResponseWriter, r *http.Request)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.respond = respond
}

func (a *agent) receivedRequests() []*http.Request {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests
}

func newClient(t *testing.T, agents ...*agent) *Client {
	client := &Client{TLS: &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}}
	for _, a := range agents {
		client.Addresses = append(client.Addresses, a.address)
	}
	t.Cleanup(func() { client.Close() })
	return client
}

func answer(_ int, w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "answer")
}

func newRequest(ctx context.Context, method, body string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "https://ledger.example/loans", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	return request
}

func TestTicketsAreFetchedInBatches(t *testing.T) {
	is := is.New(t)
	a := newAgent(t, answer)
	client := newClient(t, a)
	used := map[string]bool{}
	for range 2 * ticketBatch {
		response, err := client.Do(newRequest(t.Context(), http.MethodPost, "body"))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	for _, request := range a.receivedRequests() {
		ticket := request.Header.Get(encoder.HeaderTicket)
		is.True(ticket != "")
		is.True(!used[ticket]) // one for each request
		used[ticket] = true
	}
	is.Equal(a.tickets, 2)
}

func TestOnlyRequestsThatNeedATicketCarryOne(t *testing.T) {
	makeUnrepeatable := func(request *http.Request) {
		request.GetBody = nil
		request.ContentLength = -1
	}
	tests := []struct {
		name   string
		method string
		change func(request *http.Request)
		want   bool
	}{
		{"idempotent by its method", http.MethodPut, func(*http.Request) {}, false},
		{"not idempotent", http.MethodPost, func(*http.Request) {}, true},
		{"a body of known length", http.MethodPost, func(request *http.Request) { request.GetBody = nil }, true},
		{"a body that can't be read again", http.MethodPost, makeUnrepeatable, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := newAgent(t, answer)
			request := newRequest(t.Context(), test.method, "body")
			test.change(request)
			response, err := newClient(t, a).Do(request)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(a.receivedRequests()[0].Header.Get(encoder.HeaderTicket) != "", test.want)
			is.Equal(a.bodies[0], "body")
		})
	}
}

// loseFlow returns a handler that closes the caller's flow at the first request and
// answers the others.
func loseFlow(client *Client) func(int, http.ResponseWriter, *http.Request) {
	flows := make(chan *quic.Conn, MaxSends)
	client.OnFlow = func(flow *quic.Conn) { flows <- flow }
	return func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			_ = (<-flows).CloseWithError(7, "lost")
			<-r.Context().Done()
			return
		}
		answer(n, w, r)
	}
}

func TestLostFlow(t *testing.T) {
	tests := []struct {
		name   string
		method string
		known  bool
		sends  int
	}{
		{"idempotent", http.MethodGet, true, 2},
		{"with a ticket", http.MethodPost, true, 2},
		{"neither", http.MethodPost, false, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := newAgent(t, nil)
			client := newClient(t, a)
			a.setRespond(loseFlow(client))
			request := newRequest(t.Context(), test.method, "body")
			if !test.known {
				request.GetBody = nil
				request.ContentLength = -1
			}
			response, err := client.Do(request)
			if test.known {
				is.NoErr(err)
				is.NoErr(response.Body.Close())
			} else {
				is.True(errors.Is(err, ErrUnknown))
			}
			seen := a.receivedRequests()
			is.Equal(len(seen), test.sends)
			last := seen[len(seen)-1]
			is.Equal(last.Header.Get(encoder.HeaderTicket), seen[0].Header.Get(encoder.HeaderTicket)) // the same ticket
			is.Equal(a.bodies[len(seen)-1], "body")
		})
	}
}

func TestResetRequestIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	a := newAgent(t, func(int, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err := newClient(t, a).Do(newRequest(t.Context(), http.MethodPost, "body"))
	is.True(errors.Is(err, ErrUnknown))
	is.Equal(len(a.receivedRequests()), 1)
}

func TestRequestIsResentWithFreshTicket(t *testing.T) {
	is := is.New(t)
	refusal := gooseberrymast.Refusal{
		Reason: gooseberrymast.ReasonIssuerGone,
		Ran:    gooseberrymast.RanUnknown,
		Time:   time.Unix(1, 0).UTC(),
	}
	a := newAgent(t, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			_ = encoder.WriteRefusal(w, r, refusal)
			return
		}
		answer(n, w, r)
	})
	response, err := newClient(t, a).Do(newRequest(t.Context(), http.MethodPost, "body"))
	is.NoErr(err)
	_, refused := RefusalOf(response, nil)
	is.True(!refused)
	is.NoErr(response.Body.Close())
	seen := a.receivedRequests()
	is.Equal(len(seen), 2)
	is.True(seen[0].Header.Get(encoder.HeaderTicket) != seen[1].Header.Get(encoder.HeaderTicket))
}

// TestStaleTicketIsNotReplacedAfterALostFlow checks that a request whose first sending
// may have run is not sent with a fresh ticket, which could run it twice.
func TestStaleTicketIsNotReplacedAfterALostFlow(t *testing.T) {
	is := is.New(t)
	a := newAgent(t, nil)
	client := newClient(t, a)
	lose := loseFlow(client)
	refusal := gooseberrymast.Refusal{
		Reason: gooseberrymast.ReasonIssuerGone,
		Ran:    gooseberrymast.RanUnknown,
		Time:   time.Unix(1, 0).UTC(),
	}
	a.setRespond(func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			lose(n, w, r)
			return
		}
		_ = encoder.WriteRefusal(w, r, refusal)
	})
	response, err := client.Do(newRequest(t.Context(), http.MethodPost, "body"))
	is.NoErr(err)
	got, _ := RefusalOf(response, nil)
	is.Equal(got, refusal)
	is.NoErr(response.Body.Close())
	is.Equal(len(a.receivedRequests()), 2)
}

func TestDeadlineIsSent(t *testing.T) {
	is := is.New(t)
	a := newAgent(t, answer)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	response, err := newClient(t, a).Do(newRequest(ctx, http.MethodGet, ""))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	timeout, present, err := encoder.Timeout(a.receivedRequests()[0].Header)
	is.NoErr(err)
	is.True(present)
	is.True(timeout > 0 && timeout <= time.Minute)
}

func TestNoAddress(t *testing.T) {
	is := is.New(t)
	client := &Client{}
	defer client.Close()
	_, err := client.Do(newRequest(t.Context(), http.MethodGet, ""))
	is.True(errors.Is(err, ErrNotRun))
}
