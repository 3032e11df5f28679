package linker

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// writes is a connection that keeps what each write was given.
type writes struct {
	net.Conn
	all []string
}

func (w *writes) Write(bytes []byte) (int, error) {
	w.all = append(w.all, string(bytes))
	return len(bytes), nil
}

func TestJoinerWritesHeaderAndBodyAtOnce(t *testing.T) {
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
			under := &writes{}
			over := &joiner{Conn: under}
			for _, text := range test.writes {
				n, err := over.Write([]byte(text))
				is.NoErr(err)
				is.Equal(n, len(text))
			}
			is.Equal(under.all, test.want)
		})
	}
}
