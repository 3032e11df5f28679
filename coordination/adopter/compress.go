package adopter

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"gooseberrymast"
)

// errPacked means that a packed text refers to parts that its base doesn't have,
// or expands to more than the largest object.
var errPacked = errors.New("the packed text does not fit its base")

// compress encodes the text as a change against a base, which may be empty: the
// lengths of the common prefix and suffix, and the text between them, compressed
// with the base's text between them as a dictionary. The whole base can't be the
// dictionary, since flate uses only its last 32 KiB, less than a large document.
func compress(base, text []byte) []byte {
	prefix := sharedPrefix(base, text)
	suffix := sharedSuffix(base[prefix:], text[prefix:])
	var packed bytes.Buffer
	packed.Write(binary.AppendUvarint(nil, uint64(prefix)))
	packed.Write(binary.AppendUvarint(nil, uint64(suffix)))
	writer, err := flate.NewWriterDict(&packed, flate.BestCompression, base[prefix:len(base)-suffix])
	if err != nil {
		panic(fmt.Sprintf("adopter.compress: %v", err)) // The level is a valid constant.
	}
	// Writes to a buffer don't fail.
	_, _ = writer.Write(text[prefix : len(text)-suffix])
	_ = writer.Close()
	return packed.Bytes()
}

// expand reverses compress. It refuses texts longer than MaxObjectBytes.
func expand(base, packed []byte) ([]byte, error) {
	reader := bytes.NewReader(packed)
	prefix, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, fmt.Errorf("adopter.expand: %w", err)
	}
	suffix, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, fmt.Errorf("adopter.expand: %w", err)
	}
	size := uint64(len(base))
	if prefix > size || suffix > size-prefix {
		return nil, fmt.Errorf("adopter.expand: %d and %d of %d bytes: %w", prefix, suffix, size, errPacked)
	}
	inflater := flate.NewReaderDict(reader, base[prefix:size-suffix])
	middle, err := io.ReadAll(io.LimitReader(inflater, gooseberrymast.MaxObjectBytes))
	if err != nil {
		return nil, fmt.Errorf("adopter.expand: %w", err)
	}
	if prefix+suffix+uint64(len(middle)) > gooseberrymast.MaxObjectBytes {
		return nil, fmt.Errorf("adopter.expand: more than %d bytes: %w", gooseberrymast.MaxObjectBytes, errPacked)
	}
	return bytes.Join([][]byte{base[:prefix], middle, base[size-suffix:]}, nil), nil
}

func sharedPrefix(a, b []byte) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

func sharedSuffix(a, b []byte) int {
	n := 0
	for n < min(len(a), len(b)) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}
