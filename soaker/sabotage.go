package soaker

import (
	"context"
	"syscall"
	"time"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// sabotageInterval is the time between two rounds of sabotage.
const sabotageInterval = time.Second

// sabotage breaks the promises that a server alone can't break: it resets open
// flows on behalf of the agents, passes a server an opening packet for an address
// that it doesn't serve, and in the first round kills every agent's process.
func (s *soak) sabotage(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		sleep(ctx, sabotageInterval)
		for _, i := range s.instances {
			server := i.currentServer()
			if server == nil {
				continue
			}
			foreign := gooseberrymast.FlowKey{Caller: gooseberrymast.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: 1}, Service: routeAddress(2 * routeCount)}
			server.handlePacket(gooseberrymast.PacketHeader{Source: foreign.Caller, Destination: foreign.Service, Opens: true}, nil, time.Now())
			for _, key := range server.openFlows() {
				reset := platform.Codec{}.AppendReset(nil, gooseberrymast.PacketHeader{
					Source: key.Caller, Destination: key.Service, Acknowledgement: server.nextSequence(key),
				})
				to := gooseberrymast.Endpoint{IP: key.Caller.IP, Port: packetsPort}
				_, _ = server.conn.WriteToUDPAddrPort(reset, to.AddrPort())
			}
			if round == 0 {
				i.process.kill()
			}
		}
	}
}

// kill kills the program so that it appears to have exited by itself.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(syscall.SIGKILL)
	}
}

// nextSequence returns the sequence number at which the caller of a flow accepts a reset.
func (s *server) nextSequence(key gooseberrymast.FlowKey) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if flow := s.flows[key]; flow != nil {
		return flow.nextSequence
	}
	return 0
}

// openFlows returns the flows that are open at the server.
func (s *server) openFlows() []gooseberrymast.FlowKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []gooseberrymast.FlowKey
	for key, flow := range s.flows {
		if flow.opened && !flow.ended {
			open = append(open, key)
		}
	}
	return open
}
