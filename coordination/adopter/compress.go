package adopter

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"gooseberrymast"
)

// compress writes the text as changes against a base, which may be empty.
func compress(base, text []byte) []byte {
	var packed bytes.Buffer
	writer, err := flate.NewWriterDict(&packed, flate.BestCompression, base)
	if err != nil {
		panic(fmt.Sprintf("adopter.compress: %v", err)) // The level is a valid constant.
	}
	// Writes to a buffer don't fail.
	_, _ = writer.Write(text)
	_ = writer.Close()
	return packed.Bytes()
}

// expand undoes compress. A text is no longer than an object in the store.
func expand(base, packed []byte) ([]byte, error) {
	reader := flate.NewReaderDict(bytes.NewReader(packed), base)
	text, err := io.ReadAll(io.LimitReader(reader, gooseberrymast.MaxObjectBytes))
	if err != nil {
		return nil, fmt.Errorf("adopter.expand: %w", err)
	}
	return text, nil
}
