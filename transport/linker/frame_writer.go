package linker

import (
	"encoding/binary"
	"net"
)

// The header of a yamux frame, from its specification: version, type, flags,
// stream id and length.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
)

// frameWriter writes the header of a frame together with its body. yamux writes
// them separately, which costs two TLS records and two segments for each message.
// It is used by a single goroutine, yamux's sender.
type frameWriter struct {
	net.Conn
	// header is a held header whose body follows with the next write.
	header []byte
}

// Write holds back the header of a frame with a body until the body is written.
func (w *frameWriter) Write(bytes []byte) (int, error) {
	if len(w.header) == 0 && isDataHeader(bytes) {
		w.header = append(w.header[:0], bytes...)
		return len(bytes), nil
	}
	if len(w.header) == 0 {
		return w.Conn.Write(bytes)
	}
	w.header = append(w.header, bytes...)
	n, err := w.Conn.Write(w.header)
	w.header = w.header[:0]
	return max(0, n-frameHeaderBytes), err
}

// isDataHeader reports whether the bytes are the header of a data frame with a
// body.
func isDataHeader(bytes []byte) bool {
	return len(bytes) == frameHeaderBytes &&
		bytes[frameTypeOffset] == frameTypeData &&
		binary.BigEndian.Uint32(bytes[frameLengthOffset:]) > 0
}
