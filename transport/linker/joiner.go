package linker

import (
	"encoding/binary"
	"net"
)

// The header of a yamux frame, from its specification: version, type, flags,
// stream id and length.
const (
	frameHeaderBytes = 12
	frameTypeAt      = 1
	frameLengthAt    = 8
	frameTypeData    = 0
)

// joiner writes a frame's header together with its body. yamux writes the two
// apart, which makes two TLS records and two segments of each message. It has
// one writer, yamux's sending goroutine.
type joiner struct {
	net.Conn
	// held is a header whose body comes with the next write.
	held []byte
}

// Write holds the header of a frame with a body back until the body is written.
func (j *joiner) Write(bytes []byte) (int, error) {
	if len(j.held) == 0 && announcesBody(bytes) {
		j.held = append(j.held[:0], bytes...)
		return len(bytes), nil
	}
	if len(j.held) == 0 {
		return j.Conn.Write(bytes)
	}
	j.held = append(j.held, bytes...)
	n, err := j.Conn.Write(j.held)
	j.held = j.held[:0]
	return max(0, n-frameHeaderBytes), err
}

// announcesBody reports whether the bytes are the header of a frame whose body
// follows.
func announcesBody(bytes []byte) bool {
	return len(bytes) == frameHeaderBytes &&
		bytes[frameTypeAt] == frameTypeData &&
		binary.BigEndian.Uint32(bytes[frameLengthAt:]) > 0
}
