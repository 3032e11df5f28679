package terminator_test

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast/standin/backend"
)

// BenchmarkNewFlow measures the agent's processor time for a new flow with one
// request: the handshake and forwarding the request to the backend server. The
// callers and the backend server run in another process.
func BenchmarkNewFlow(b *testing.B) {
	for _, flows := range []int{200, 800} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
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
			s := newService(b, 0, nil)
			a := s.startAgentFor(netip.MustParseAddrPort(strings.TrimPrefix(lines.Text(), "backend ")), &backend.Backend{})
			open := func(flows int) {
				fmt.Fprintln(stdin, a.self.Address, flows, false)
				is.True(lines.Scan())
				is.Equal(lines.Text(), "open")
			}
			open(20)
			before := cpuTime(b)
			open(flows)
			b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(flows), "cpu-us/flow")
			b.ReportMetric(0, "ns/op")
		})
	}
}
