package encoder

import (
	"encoding/base64"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/protocol/keyer"
)

var ticket = gooseberrymast.Ticket{
	Issuer: gooseberrymast.Identity{
		Address:     netip.MustParseAddrPort("10.1.2.3:4567"),
		Incarnation: 89,
	},
	Service:  gooseberrymast.TagOf("ledger"),
	Sequence: 1 << 40,
}

func TestTicketTextRoundTripRequiresFleetKey(t *testing.T) {
	is := is.New(t)
	keys := keyer.Random()
	text, err := TicketText(keys, ticket)
	is.NoErr(err)
	got, err := ParseTicketText(keys, text)
	is.NoErr(err)
	is.Equal(got, ticket)
	_, err = ParseTicketText(keyer.Random(), text)
	is.True(errors.Is(err, ErrInvalidTicket)) // sealed with another fleet's key
}

func TestForgedTicketsAreRefused(t *testing.T) {
	is := is.New(t)
	keys := keyer.Random()
	text, err := TicketText(keys, ticket)
	is.NoErr(err)
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	is.NoErr(err)
	for at := range sealed {
		forged := append([]byte{}, sealed...)
		forged[at] ^= 1
		_, err := ParseTicketText(keys, base64.RawURLEncoding.EncodeToString(forged))
		is.True(errors.Is(err, ErrInvalidTicket)) // every byte is authenticated
	}
	for _, text := range []string{"", "x", text[1:], text + "A", strings.Repeat("A", len(text))} {
		_, err := ParseTicketText(keys, text)
		is.True(errors.Is(err, ErrInvalidTicket))
	}
}

func FuzzParseTicketText(f *testing.F) {
	keys := keyer.Random()
	text, err := TicketText(keys, ticket)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add("")
	f.Add(strings.Repeat("_", len(text)))
	f.Fuzz(func(t *testing.T, input string) {
		got, err := ParseTicketText(keys, input)
		if err == nil && (input != text || got != ticket) {
			t.Fatalf("%q was accepted as a ticket", input)
		}
	})
}

func newRefusal(reason gooseberrymast.Reason, ran gooseberrymast.Ran) gooseberrymast.Refusal {
	return gooseberrymast.Refusal{
		ID:       "fw01",
		Reason:   reason,
		Ran:      ran,
		Service:  "ledger",
		Limit:    "queue",
		Value:    "32",
		Revision: 7,
		Instance: "10.0.0.1:7000",
		Time:     time.Unix(1, 2).UTC(),
	}
}

func TestRefusalsRoundTripInEveryProtocol(t *testing.T) {
	tests := []struct {
		name        string
		method      string
		contentType string
		status      int
	}{
		{"plain", http.MethodGet, "", http.StatusServiceUnavailable},
		{"connect unary", http.MethodPost, "application/proto", http.StatusServiceUnavailable},
		{"connect stream", http.MethodPost, "application/connect+proto", http.StatusOK},
		{"grpc", http.MethodPost, "application/grpc+proto", http.StatusOK},
	}
	want := newRefusal(gooseberrymast.ReasonQueueFull, gooseberrymast.RanNo)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			request := httptest.NewRequest(test.method, "/loans", nil)
			request.Header.Set("Content-Type", test.contentType)
			recorder := httptest.NewRecorder()
			is.NoErr(WriteRefusal(recorder, request, want))
			is.Equal(recorder.Code, test.status)
			got, ok := RefusalFromHeader(recorder.Result().Header)
			is.True(ok)
			is.Equal(got, want)
			is.Equal(got.Sentence(), want.Sentence())
		})
	}
	is := is.New(t)
	got, ok := RefusalFromError(ConnectError(want))
	is.True(ok)
	is.Equal(got, want)
}

func TestUnknownOutcomesAreNeverUnavailable(t *testing.T) {
	is := is.New(t)
	for _, info := range gooseberrymast.Reasons {
		code := Code(newRefusal(info.Reason, gooseberrymast.RanUnknown))
		is.True(code != connect.CodeUnavailable) // clients would retry
	}
	is.Equal(Code(newRefusal(gooseberrymast.ReasonServerShed, gooseberrymast.RanNo)), connect.CodeUnavailable)
}

func TestParseRefusalReadsInvalidRanAsUnknown(t *testing.T) {
	is := is.New(t)
	for _, ran := range []string{"", "maybe", "No"} {
		message := Refusal(newRefusal(gooseberrymast.ReasonQueueFull, gooseberrymast.RanNo))
		message.Ran = ran
		is.Equal(ParseRefusal(message).Ran, gooseberrymast.RanUnknown)
	}
}

func TestTimeoutParsesConnectAndGRPCFields(t *testing.T) {
	tests := []struct {
		name    string
		field   string
		value   string
		want    time.Duration
		present bool
		invalid bool
	}{
		{"none", "", "", 0, false, false},
		{"connect", HeaderConnectTimeout, "1500", 1500 * time.Millisecond, true, false},
		{"grpc seconds", HeaderGRPCTimeout, "2S", 2 * time.Second, true, false},
		{"grpc hours overflow", HeaderGRPCTimeout, "9999999999H", 1<<63 - 1, true, false},
		{"negative", HeaderConnectTimeout, "-1", 0, false, true},
		{"too long", HeaderConnectTimeout, "12345678901", 0, false, true},
		{"no unit", HeaderGRPCTimeout, "5", 0, false, true},
		{"words", HeaderConnectTimeout, "soon", 0, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			header := http.Header{}
			if test.field != "" {
				header.Set(test.field, test.value)
			}
			got, present, err := Timeout(header)
			is.Equal(got, test.want)
			is.Equal(present, test.present)
			is.Equal(err != nil, test.invalid)
		})
	}
}

func TestSetTimeoutNeverExtendsDeadline(t *testing.T) {
	for _, contentType := range []string{"application/json", "application/grpc+proto"} {
		for _, left := range []time.Duration{time.Microsecond, 1234 * time.Millisecond, 10 * 365 * 24 * time.Hour} {
			is := is.New(t)
			header := http.Header{"Content-Type": {contentType}}
			SetTimeout(header, left)
			got, present, err := Timeout(header)
			is.NoErr(err)
			is.True(present)
			is.True(got > 0 && got <= max(left, time.Millisecond)) // never later than the deadline
		}
	}
}

func TestEndToEndDropsHopByHopFields(t *testing.T) {
	is := is.New(t)
	header := http.Header{
		"Connection": {"close, X-Private"},
		"X-Private":  {"1"},
		"Upgrade":    {"websocket"},
		"Te":         {"trailers"},
		"X-Kept":     {"2"},
	}
	is.Equal(EndToEnd(header), http.Header{"Te": {"trailers"}, "X-Kept": {"2"}})
	is.Equal(header["X-Private"], []string{"1"}) // the original is unchanged
}

func TestTicketMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	got, err := ParseTicket(Ticket(ticket))
	is.NoErr(err)
	is.Equal(got, ticket)
	none, err := ParseTicket(Ticket(gooseberrymast.Ticket{}))
	is.NoErr(err)
	is.True(none.IsZero())
	_, err = ParseIdentity(nil)
	is.True(err != nil)
}
