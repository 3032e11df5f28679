package terminator_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"gooseberrymast/standin/backend"
)

// clientVariable is an environment variable. When it is set, this test binary runs
// the callers and the stand-in backend server of BenchmarkIdleFlow, in a process of
// their own so that the benchmark measures the agent's memory only.
const clientVariable = "IDLE_FLOW_CLIENT"

// TestIdleFlowClient is the client process of BenchmarkIdleFlow and
// BenchmarkNewFlow.
func TestIdleFlowClient(t *testing.T) {
	if os.Getenv(clientVariable) == "" {
		return
	}
	is := is.New(t)
	server := &backend.Backend{PushInterval: time.Hour}
	address, err := server.Start(loopback)
	is.NoErr(err)
	fmt.Println("backend", address)
	input := bufio.NewScanner(os.Stdin)
	socket, err := net.ListenUDP("udp4", nil)
	is.NoErr(err)
	transport := &quic.Transport{Conn: socket}
	for input.Scan() {
		var agent string
		var flows int
		var streams bool
		_, err := fmt.Sscan(input.Text(), &agent, &flows, &streams)
		is.NoErr(err)
		for range flows {
			openFlow(is, transport, agent, streams)
		}
		fmt.Println("open")
	}
}

// openFlow opens a flow that stays open. With withStream, it also opens a stream
// that stays open and idle after its first line.
func openFlow(is *is.I, transport *quic.Transport, agent string, withStream bool) {
	secure := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13, NextProtos: []string{http3.NextProtoH3}}
	config := &quic.Config{MaxIdleTimeout: 10 * time.Minute, DisablePathMTUDiscovery: true}
	address := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(agent))
	flow, err := transport.Dial(context.Background(), address, secure, config)
	is.NoErr(err)
	conn := (&http3.Transport{}).NewClientConn(flow)
	path := "/loans"
	if withStream {
		path = backend.PathPush
	}
	response, err := conn.RoundTrip(request(context.Background(), http.MethodGet, path, "", ""))
	is.NoErr(err)
	if !withStream {
		_, _ = io.Copy(io.Discard, response.Body)
		return
	}
	_, err = response.Body.Read(make([]byte, 16)) // the first line
	is.NoErr(err)
}

// BenchmarkIdleFlow measures the agent's memory per open flow: the growth of the
// resident set and of Go's heap and stacks after some garbage collections.
func BenchmarkIdleFlow(b *testing.B) {
	for _, streams := range []bool{false, true} {
		for _, http2 := range []bool{false, true} {
			b.Run(fmt.Sprintf("screens=%v/h2c=%v", streams, http2), func(b *testing.B) {
				benchmarkIdleFlows(b, streams, http2)
			})
		}
	}
}

func benchmarkIdleFlows(b *testing.B, streams, http2 bool) {
	const warm, measured = 100, 500
	is := is.New(b)
	command := exec.Command(os.Args[0], "-test.run=TestIdleFlowClient$")
	command.Env = append(os.Environ(), clientVariable+"=1")
	stdin, err := command.StdinPipe()
	is.NoErr(err)
	stdout, err := command.StdoutPipe()
	is.NoErr(err)
	is.NoErr(command.Start())
	defer func() {
		stdin.Close()
		_ = command.Wait()
	}()
	lines := bufio.NewScanner(stdout)
	is.True(lines.Scan())
	server := netip.MustParseAddrPort(strings.TrimPrefix(lines.Text(), "backend "))
	s := newService(b, 0, nil)
	s.http2 = http2
	a := s.startAgentFor(server, &backend.Backend{})
	open := func(flows int) {
		fmt.Fprintln(stdin, a.self.Address, flows, streams)
		is.True(lines.Scan())
		is.Equal(lines.Text(), "open")
	}
	open(warm)
	before := memory(is)
	open(measured)
	after := memory(is)
	b.ReportMetric(float64(after.resident-before.resident)/measured, "resident-B/flow")
	b.ReportMetric(float64(after.heap-before.heap)/measured, "heap-B/flow")
	b.ReportMetric(float64(after.stacks-before.stacks)/measured, "stack-B/flow")
	b.ReportMetric(float64(runtime.NumGoroutine())/(warm+measured), "goroutines/flow")
	b.ReportMetric(0, "ns/op")
}

// gcRounds is the number of garbage collections after which stacks have shrunk. An
// idle process runs one every two minutes.
const gcRounds = 5

// usage is the memory of this process, in bytes.
type usage struct {
	resident int
	heap     int
	stacks   int
}

func memory(is *is.I) usage {
	var now usage
	// Each collection halves stacks that are larger than needed.
	for range gcRounds {
		runtime.GC()
	}
	debug.FreeOSMemory()
	status, err := os.ReadFile("/proc/self/status")
	is.NoErr(err)
	for line := range strings.Lines(string(status)) {
		if kilobytes, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, err := strconv.Atoi(strings.Fields(kilobytes)[0])
			is.NoErr(err)
			now.resident = n << 10
		}
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	now.heap = int(stats.HeapAlloc)
	now.stacks = int(stats.StackInuse)
	return now
}
