package encoder

import (
	"net/http"
	"slices"
	"strings"

	"gooseberrymast/protocol/messages/handover"
)

// hopByHop lists the fields that concern one connection only (RFC 9110,
// section 7.6.1). They are never passed on.
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

// EndToEnd gives a copy of a header without the hop-by-hop fields. "TE:
// trailers" is kept, since gRPC servers insist on it.
func EndToEnd(header http.Header) http.Header {
	passed := header.Clone()
	if passed == nil {
		return http.Header{}
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(passed, name)
	}
	if slices.Contains(header["Te"], "trailers") {
		passed["Te"] = []string{"trailers"}
	}
	return passed
}

// Fields gives the message for a header.
func Fields(header http.Header) []*handover.Field {
	fields := make([]*handover.Field, 0, len(header))
	for name, values := range header {
		fields = append(fields, &handover.Field{Name: name, Values: values})
	}
	return fields
}

// ParseFields reads what Fields wrote.
func ParseFields(fields []*handover.Field) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header[http.CanonicalHeaderKey(field.GetName())] = field.GetValues()
	}
	return header
}
