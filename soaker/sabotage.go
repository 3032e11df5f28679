package soaker

import (
	"context"
	"syscall"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// sabotageEvery is the time between two breaches of promises.
const sabotageEvery = time.Second

// sabotage breaks the promises that need more than a server: it resets open
// flows in the agents' place, gives a server a packet of an address that it
// doesn't serve, and ends a process.
func (s *soak) sabotage(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		wait(ctx, sabotageEvery)
		for _, i := range s.instances {
			server := i.currentServer()
			if server == nil {
				continue
			}
			foreign := gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 1}, Service: routeAddress(2 * routeCount)}
			server.take(gooseberrymast.PacketHeader{Source: foreign.Caller, Destination: foreign.Service, Opens: true}, nil, time.Now())
			for _, key := range server.openFlows() {
				reset := platform.Codec{}.AppendReset(nil, gooseberrymast.PacketHeader{Source: key.Caller, Destination: key.Service})
				to := gooseberrymast.Endpoint{IP: key.Caller.IP, Port: packetsPort}
				_, _ = server.conn.WriteToUDPAddrPort(reset, to.AddrPort())
			}
			if round == 0 {
				i.process.kill()
			}
		}
	}
}

// kill ends the program as if it had ended by itself.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(syscall.SIGKILL)
	}
}

// openFlows gives the flows that are open at the server.
func (s *server) openFlows() []gooseberrymast.FlowKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []gooseberrymast.FlowKey
	for key, known := range s.flows {
		if known.opened && !known.ended {
			open = append(open, key)
		}
	}
	return open
}
