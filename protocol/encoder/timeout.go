package encoder

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The header fields by which callers set a timeout.
const (
	HeaderConnectTimeout = "Connect-Timeout-Ms"
	HeaderGRPCTimeout    = "Grpc-Timeout"
)

// ErrInvalidTimeout means that a timeout field is malformed.
var ErrInvalidTimeout = errors.New("not a timeout")

// maxTimeoutDigits is the largest number of digits that is read. Connect allows
// ten, gRPC eight.
const maxTimeoutDigits = 10

// grpcUnits maps each unit of Grpc-Timeout to its duration.
var grpcUnits = map[byte]time.Duration{
	'H': time.Hour,
	'M': time.Minute,
	'S': time.Second,
	'm': time.Millisecond,
	'u': time.Microsecond,
	'n': time.Nanosecond,
}

// Timeout returns the timeout that a request sets and reports whether there is
// a valid one. It fails with ErrInvalidTimeout when the field is malformed.
func Timeout(header http.Header) (time.Duration, bool, error) {
	if text := header.Get(HeaderConnectTimeout); text != "" {
		timeout, err := parseTimeout(text, time.Millisecond)
		return timeout, err == nil, err
	}
	text := header.Get(HeaderGRPCTimeout)
	if text == "" {
		return 0, false, nil
	}
	unit, ok := grpcUnits[text[len(text)-1]]
	if !ok {
		return 0, false, fmt.Errorf("encoder.Timeout %q: %w", text, ErrInvalidTimeout)
	}
	timeout, err := parseTimeout(text[:len(text)-1], unit)
	return timeout, err == nil, err
}

func parseTimeout(digits string, unit time.Duration) (time.Duration, error) {
	number, err := strconv.ParseUint(digits, 10, 63)
	if err != nil || len(digits) > maxTimeoutDigits {
		return 0, fmt.Errorf("encoder.Timeout %q: %w", digits, ErrInvalidTimeout)
	}
	if number > uint64(1<<63-1)/uint64(unit) {
		return 1<<63 - 1, nil
	}
	return time.Duration(number) * unit, nil
}

// SetTimeout writes the remaining time into the field of the request's
// protocol: at least one millisecond, rounded down to milliseconds or, when the
// gRPC field has too few digits for these, to seconds.
func SetTimeout(header http.Header, remaining time.Duration) {
	millis := max(int64(remaining/time.Millisecond), 1)
	if strings.HasPrefix(header.Get("Content-Type"), "application/grpc") {
		header.Set(HeaderGRPCTimeout, grpcTimeout(millis))
		return
	}
	header.Set(HeaderConnectTimeout, strconv.FormatInt(min(millis, maxConnectMillis), 10))
}

const (
	// maxConnectMillis is the largest value of the ten digits that Connect
	// allows.
	maxConnectMillis = 9_999_999_999
	// maxGRPCNumber is the largest value of the eight digits that gRPC allows.
	maxGRPCNumber = 99_999_999
)

func grpcTimeout(millis int64) string {
	if millis <= maxGRPCNumber {
		return strconv.FormatInt(millis, 10) + "m"
	}
	return strconv.FormatInt(min(millis/1000, maxGRPCNumber), 10) + "S"
}
