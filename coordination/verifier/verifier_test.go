package verifier

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

func TestFirstEraNeedsNoVerification(t *testing.T) {
	is := is.New(t)
	var v Verifier
	is.True(v.Settled(3, epoch)) // a store that names no era
	is.True(!v.HandleEra(4, 3, epoch))
	is.True(!v.HandleEra(3, 3, epoch)) // a late message
	is.True(!v.Due(epoch.Add(time.Hour)))
	is.Equal(v.Era(), uint64(4))
}

func TestEntryIsVerifiedAfterRestoreUntilThatSucceeds(t *testing.T) {
	is := is.New(t)
	v := Verifier{Offset: 0.5}
	v.HandleEra(1, 2000, epoch)
	is.True(v.HandleEra(2, 2000, epoch))
	is.True(!v.Due(epoch.Add(5*time.Second - 1)))
	now := epoch.Add(5 * time.Second)
	is.True(v.Due(now))
	v.HandleVerified(2, true, now)
	is.True(!v.Due(now.Add(RetryAfter - 1)))
	now = now.Add(RetryAfter)
	is.True(v.Due(now))
	is.True(v.HandleEra(3, 2000, now)) // restored again while the call is in progress
	v.HandleVerified(2, false, now)
	is.True(v.Due(now.Add(5 * time.Second)))
	v.HandleVerified(3, false, now.Add(5*time.Second))
	is.True(!v.Due(now.Add(time.Hour)))
}

// A process that starts can't know for how long the era has lasted, unless a peer or an
// entry says so.
func TestEraSettlesOnceAllInstancesHadTimeToVerify(t *testing.T) {
	is := is.New(t)
	var v Verifier
	v.HandleEra(2, 200, epoch)
	settledAt := epoch.Add(DetectionTime + time.Second)
	is.True(!v.Settled(200, settledAt.Add(-1)))
	is.Equal(v.SettledEra(), uint64(0))
	is.True(v.Settled(200, settledAt))
	is.Equal(v.SettledEra(), uint64(2))
	is.True(v.Settled(20000, settledAt)) // an era that has settled stays so
	v.HandleEra(3, 200, settledAt)
	is.True(!v.Settled(200, settledAt))
	v.HandleSettled(2)
	is.True(!v.Settled(200, settledAt))
	v.HandleSettled(3)
	is.True(v.Settled(200, settledAt))
}

// The required fleet must not exceed the store's rates when all of it verifies.
func TestLargeFleetKeepsWithinTheStoresRates(t *testing.T) {
	is := is.New(t)
	const instances = 17000
	// The store accepts 400 writes a second.
	const mostPerSecond = 400
	random := rand.New(rand.NewPCG(1, 2))
	var second [instances/VerificationsPerSecond + 2]int
	for range instances {
		v := Verifier{Offset: random.Float64()}
		v.HandleEra(1, instances, epoch)
		v.HandleEra(2, instances, epoch)
		for at := range second {
			if v.Due(epoch.Add(time.Duration(at+1)*time.Second - 1)) {
				second[at]++
				break
			}
		}
	}
	total := 0
	for _, verified := range second {
		is.True(verified < mostPerSecond)
		total += verified
	}
	is.Equal(total, instances)
}
