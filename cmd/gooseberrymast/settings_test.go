package main

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestReadBalancerSettings(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = taken.Close() }()
	file := writeFile(t, "balancer.toml", fmt.Sprintf(`environment = "trial"
zone = "cairo-a"
forward-address = "192.0.2.1:7000"
control-address = "%s"
operators-address = "192.0.2.1:7002"
store-address = "http://127.0.0.1:7700"
key-file = "absent.toml"
shards = -1
[service-addresses]
ledger = ["192.0.2.1:443"]
`, taken.Addr()))
	_, err = readBalancerSettings(file)
	is.True(err != nil)
	is.Equal(exitCode(err), exitInvalid)
	lines := strings.Split(err.Error(), "\n")
	wants := []string{
		":3: forward-address: got \"192.0.2.1:7000\" (bind: cannot assign requested address), want a UDP address",
		":4: control-address: got \"" + taken.Addr().String() + "\" (bind: address already in use), want a TCP address",
		":5: operators-address: got \"192.0.2.1:7002\" (bind:",
		":7: key-file: got \"absent.toml\" (no such file or directory), want the name of a file",
		":8: shards: got -1, want 0 to 256",
		":10: service-addresses.ledger: got \"192.0.2.1:443\" (bind:",
	}
	is.Equal(len(lines), len(wants)) // all faults in one report
	for i, want := range wants {
		is.True(strings.HasPrefix(lines[i], file+want))
	}
}

func TestReadAgentSettings(t *testing.T) {
	is := is.New(t)
	keys := writeFile(t, "keys.toml", "current = 1\n")
	_, err := readAgentSettings(writeFile(t, "agent.toml", "key-file = \""+keys+"\"\n"))
	is.True(strings.Contains(err.Error(), ":1: key-file: got \""))
	is.True(strings.Contains(err.Error(), "no keys"))
	is.True(strings.Contains(err.Error(), "certificate-file: want the name of a file"))
	_, err = readAgentSettings(writeFile(t, "agent.toml", "certificate-file = \""+keys+"\"\ncertificate-key-file = \""+keys+"\"\n"))
	is.True(strings.Contains(err.Error(), ":1: certificate-file: got \""))
	is.True(strings.Contains(err.Error(), "want a certificate in PEM that matches certificate-key-file"))
}
