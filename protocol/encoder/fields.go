package encoder

import (
	"net/http"
	"slices"
	"strings"

	"gooseberrymast/protocol/messages/handover"
)

// hopByHop lists the fields that apply to a single connection (RFC 9110,
// section 7.6.1). They are never forwarded.
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// EndToEnd returns a copy of a header without the hop-by-hop fields. "TE:
// trailers" is kept, since gRPC servers require it.
func EndToEnd(header http.Header) http.Header {
	endToEnd := header.Clone()
	if endToEnd == nil {
		return http.Header{}
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			endToEnd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(endToEnd, name)
	}
	if slices.Contains(header["Te"], "trailers") {
		endToEnd["Te"] = []string{"trailers"}
	}
	return endToEnd
}

// Fields encodes a header.
func Fields(header http.Header) []*handover.Field {
	fields := make([]*handover.Field, 0, len(header))
	for name, values := range header {
		fields = append(fields, &handover.Field{Name: name, Values: values})
	}
	return fields
}

// ParseFields decodes a header.
func ParseFields(fields []*handover.Field) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header[http.CanonicalHeaderKey(field.GetName())] = field.GetValues()
	}
	return header
}
