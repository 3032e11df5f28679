package recorder_test

import (
	"math"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/state/recorder"
)

func TestOriginParsesIdentifier(t *testing.T) {
	is := is.New(t)
	for _, incarnation := range []gooseberrymast.Incarnation{1, 300, math.MaxUint32} {
		agent := gooseberrymast.Identity{Address: netip.MustParseAddrPort("10.0.1.7:7000"), Incarnation: incarnation}
		origin, err := recorder.Origin(recorder.Identifier(agent, 12345))
		is.NoErr(err)
		is.Equal(origin, agent)
	}
	for _, text := range []string{"", "abc", "../../status", "il"} {
		_, err := recorder.Origin(text)
		is.True(err != nil)
	}
}
