package caller

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serverVariable is the environment variable that makes this test binary run as the
// agent of BenchmarkFlows, in a separate process.
const serverVariable = "FLOWS_SERVER"

// TestFlowsServer is the agent's process of BenchmarkFlows; without serverVariable it
// does nothing.
func TestFlowsServer(t *testing.T) {
	if os.Getenv(serverVariable) == "" {
		return
	}
	a := newAgent(t, answer)
	fmt.Println("agent", a.address)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// BenchmarkFlows measures the memory (heap and stacks) of a caller with one open flow,
// and the processor time to open it and send the first request.
func BenchmarkFlows(b *testing.B) {
	for _, flows := range []int{50, 200} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			is := is.New(b)
			command := exec.Command(os.Args[0], "-test.run=TestFlowsServer$")
			command.Env = append(os.Environ(), serverVariable+"=1")
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
			address := netip.MustParseAddrPort(strings.TrimPrefix(lines.Text(), "agent "))
			open := func() *Client {
				client := &Client{
					Addresses: []netip.AddrPort{address},
					TLS:       &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13},
				}
				response, err := client.Do(newRequest(b.Context(), http.MethodGet, ""))
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				response.Body.Close()
				return client
			}
			defer open().Close()
			memory, used := memoryInUse(), processorTime(is)
			for range flows {
				defer open().Close()
			}
			used = processorTime(is) - used
			b.ReportMetric(float64(memoryInUse()-memory)/float64(flows), "B/flow")
			b.ReportMetric(float64(used.Microseconds())/float64(flows), "cpu-us/flow")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func memoryInUse() uint64 {
	for range 5 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func processorTime(is *is.I) time.Duration {
	var usage syscall.Rusage
	is.NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
