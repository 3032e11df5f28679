package soaker

import (
	"errors"
	"net"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// receive reads packets from a socket and passes the valid ones to handle until
// the socket is closed. The function handle may retain the packet.
func receive(conn *net.UDPConn, handle func(header gooseberrymast.PacketHeader, packet []byte, sender gooseberrymast.Endpoint)) {
	buffer := make([]byte, maxDatagram)
	for {
		length, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		packet := append([]byte(nil), buffer[:length]...)
		header, err := platform.Codec{}.Decode(packet)
		sender, ok := gooseberrymast.EndpointOf(from)
		if err == nil && ok {
			handle(header, packet, sender)
		}
	}
}
