package linker

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// recordingConn is a connection that records each write.
type recordingConn struct {
	net.Conn
	written []string
}

func (w *recordingConn) Write(bytes []byte) (int, error) {
	w.written = append(w.written, string(bytes))
	return len(bytes), nil
}

func TestFrameHeaderAndBodyAreWrittenTogether(t *testing.T) {
	data := "\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x0c"   // 12 bytes follow
	end := "\x00\x00\x00\x04\x00\x00\x00\x01\x00\x00\x00\x00"    // FIN, nothing follows
	window := "\x00\x01\x00\x00\x00\x00\x00\x01\x00\x00\x10\x00" // a window's size, no body
	body := "twelve bytes"                                       // as long as a header
	tests := []struct {
		name   string
		writes []string
		want   []string
	}{
		{"header and body", []string{data, body}, []string{data + body}},
		{"no body", []string{end, window}, []string{end, window}},
		{"in turn", []string{window, data, body, end, data, body}, []string{window, data + body, end, data + body}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			conn := &recordingConn{}
			writer := &frameWriter{Conn: conn}
			for _, text := range test.writes {
				n, err := writer.Write([]byte(text))
				is.NoErr(err)
				is.Equal(n, len(text))
			}
			is.Equal(conn.written, test.want)
		})
	}
}
