package storer

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/standin/platform"
)

// startCountingRelay relays connections to a target and counts their bytes and
// reads.
func startCountingRelay(b *testing.B, target string, bytes, reads *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(b).NoErr(err)
	b.Cleanup(func() { listener.Close() })
	forward := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			bytes.Add(int64(n))
			reads.Add(1)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				client.Close()
				return
			}
			go forward(upstream, client)
			go forward(client, upstream)
		}
	}()
	return "http://" + listener.Addr().String()
}

// BenchmarkCallBytes measures the bytes on the connection for one call and its
// response, by the size of the value.
func BenchmarkCallBytes(b *testing.B) {
	for _, method := range []string{"get", "put"} {
		for _, size := range []int{20, 1000, 35_270} {
			b.Run(fmt.Sprintf("%s/value=%d", method, size), func(b *testing.B) {
				is := is.New(b)
				store := &platform.Platform{Seed: 1}
				server := httptest.NewUnstartedServer(store.Handler())
				server.Config.Protocols = platform.Protocols()
				server.Start()
				b.Cleanup(server.Close)
				var bytes, reads atomic.Int64
				client := &Storer{Address: startCountingRelay(b, strings.TrimPrefix(server.URL, "http://"), &bytes, &reads)}
				object := gooseberrymast.Object{
					Key: "environments/production/cells/cairo-a/12", WriteID: "10.1.2.3:7000/1700000000/cairo-a/12/1000", Value: incompressible(size),
				}
				version, err := client.Put(b.Context(), object, 0)
				is.NoErr(err)
				call := func() {
					if method == "get" {
						_, err = client.Get(b.Context(), object.Key)
					} else {
						version, err = client.Put(b.Context(), object, version)
					}
					is.NoErr(err)
				}
				call()
				bytesBefore, readsBefore := bytes.Load(), reads.Load()
				for b.Loop() {
					call()
				}
				b.ReportMetric(float64(bytes.Load()-bytesBefore)/float64(b.N), "B/call")
				b.ReportMetric(float64(reads.Load()-readsBefore)/float64(b.N), "reads/call")
			})
		}
	}
}

// incompressible returns bytes that don't compress.
func incompressible(size int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	value := make([]byte, size)
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	return value
}
