package linker

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the largest encoded message on a stream, in bytes.
const MaxMessageBytes = 1 << 20

// lengthBytes is the size of the big-endian length before each message.
const lengthBytes = 4

// WriteMessage writes one message, preceded by its length, in a single Write.
// Concurrent writers of one stream must serialize their calls.
func WriteMessage(stream io.Writer, message proto.Message) error {
	size := proto.Size(message)
	if size > MaxMessageBytes {
		return fmt.Errorf("linker.WriteMessage: %d bytes: %w", size, ErrTooLarge)
	}
	frame := make([]byte, lengthBytes, lengthBytes+size)
	binary.BigEndian.PutUint32(frame, uint32(size))
	frame, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, message)
	if err != nil {
		return fmt.Errorf("linker.WriteMessage: %w", err)
	}
	if _, err := stream.Write(frame); err != nil {
		return fmt.Errorf("linker.WriteMessage: %w", err)
	}
	return nil
}

// ReadMessage reads one message that WriteMessage wrote. It returns io.EOF if
// the stream ends between two messages, and wraps io.ErrUnexpectedEOF if it ends
// within one.
func ReadMessage(stream io.Reader, message proto.Message) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(stream, length[:]); err != nil {
		if err == io.EOF {
			return io.EOF
		}
		return fmt.Errorf("linker.ReadMessage: length: %w", err)
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > MaxMessageBytes {
		return fmt.Errorf("linker.ReadMessage: %d bytes: %w", size, ErrTooLarge)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(stream, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("linker.ReadMessage: body: %w", err)
	}
	if err := proto.Unmarshal(body, message); err != nil {
		return fmt.Errorf("linker.ReadMessage: %w", err)
	}
	return nil
}
