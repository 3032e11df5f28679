package terminator_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/standin/backend"
)

// BenchmarkRequest measures a small request. The caller and the stand-in backend
// server run in the same process, so their cost is included.
func BenchmarkRequest(b *testing.B) {
	for _, handedOver := range []bool{false, true} {
		name := "served here"
		if handedOver {
			name = "handed over"
		}
		b.Run(name, func(b *testing.B) {
			s := newService(b, 2, func(document *gooseberrymast.Service) {
				document.Limits.Slots = 1000
				document.Limits.Queue = 1000
			})
			for _, a := range s.agents {
				a.backend.SetSlots(1000)
			}
			if handedOver {
				s.agents[0].driver.Leave()
			}
			client := s.caller(s.agents[0])
			b.ReportAllocs()
			before := cpuTime(b)
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				is := is.New(b)
				for pb.Next() {
					sent := request(b.Context(), http.MethodPost, "/idempotent", "", "a pall")
					sent.Header.Del(backend.HeaderRequestID)
					response, err := client.Do(sent)
					is.NoErr(err)
					body, err := readText(response)
					is.NoErr(err)
					is.Equal(body, "a pall")
				}
			})
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// cpuTime returns the processor time of this process. Unlike elapsed time, it
// depends little on other processes of the machine.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	is.New(b).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
