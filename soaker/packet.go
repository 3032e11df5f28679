package soaker

import (
	"errors"
	"net"

	"gooseberrymast"
	"gooseberrymast/platform"
)

// receive reads packets from a socket and passes the valid ones to take until
// the socket is closed. Take may retain the packet.
func receive(conn *net.UDPConn, take func(header gooseberrymast.PacketHeader, packet []byte, sender gooseberrymast.Endpoint)) {
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
			take(header, packet, sender)
		}
	}
}
