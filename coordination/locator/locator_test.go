package locator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var epoch = time.Unix(1000, 0)

func key(number int) gooseberrymast.FlowKey {
	return gooseberrymast.FlowKey{
		Caller:  gooseberrymast.Endpoint{IP: [4]byte{100, 64, byte(number >> 8), byte(number)}, Port: uint16(1024 + number%1000)},
		Service: gooseberrymast.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
}

func instance(number int) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{10, byte(number >> 8), 0, byte(number)}, Port: 7000}
}

func instances(count int) []gooseberrymast.Endpoint {
	endpoints := make([]gooseberrymast.Endpoint, count)
	for i := range endpoints {
		endpoints[i] = instance(i)
	}
	return endpoints
}

func TestLookupBalancersAreConsistentAndEven(t *testing.T) {
	is := is.New(t)
	const flows = 4000
	balancers := instances(8)
	reversed := instances(8)
	for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
		reversed[i], reversed[j] = reversed[j], reversed[i]
	}
	counts := map[gooseberrymast.Endpoint]int{}
	for i := range flows {
		lookups := LookupBalancers(key(i), balancers)
		is.Equal(lookups, LookupBalancers(key(i), reversed))
		is.True(lookups[0] != lookups[1])
		counts[lookups[0]]++
	}
	for _, count := range counts {
		is.True(count > flows/8*8/10 && count < flows/8*12/10)
	}
}

func TestLeavingBalancerMovesOnlyItsOwnFlows(t *testing.T) {
	is := is.New(t)
	const flows = 4000
	balancers := instances(10)
	moved := 0
	for i := range flows {
		before, after := LookupBalancers(key(i), balancers), LookupBalancers(key(i), balancers[:9])
		if before[0] != after[0] {
			is.Equal(before[0], balancers[9]) // only flows of the balancer that left
			is.Equal(after[0], before[1])     // and they had been announced to their second lookup balancer
			moved++
		}
	}
	is.True(moved > 0 && moved < flows/5)
}

func TestFewerBalancersThanLookupsPerFlow(t *testing.T) {
	is := is.New(t)
	is.Equal(LookupBalancers(key(1), nil), [LookupsPerFlow]gooseberrymast.Endpoint{})
	is.Equal(LookupBalancers(key(1), instances(1)), [LookupsPerFlow]gooseberrymast.Endpoint{instance(0)})
}

func TestLearnFindForget(t *testing.T) {
	is := is.New(t)
	var locator Locator
	locator.Record(key(1), instance(1), epoch)
	locator.Forget(key(1), instance(2))
	found, ok := locator.Find(key(1), epoch)
	is.True(ok)
	is.Equal(found, instance(1))
	locator.Forget(key(1), instance(1))
	_, ok = locator.Find(key(1), epoch)
	is.True(!ok)
}

func TestUnusedOwnersExpire(t *testing.T) {
	is := is.New(t)
	var locator Locator
	locator.Record(key(1), instance(1), epoch)
	locator.Record(key(2), instance(1), epoch)
	half := epoch.Add(DefaultLifetime / 2)
	_, ok := locator.Find(key(1), half)
	is.True(ok)
	later := epoch.Add(DefaultLifetime + time.Second)
	_, ok = locator.Find(key(2), later)
	is.True(!ok)
	locator.Expire(later)
	is.Equal(locator.Len(), 1)
}

func TestOwnersAreBounded(t *testing.T) {
	is := is.New(t)
	var locator Locator
	const flows = shardCount*maxOwnersPerShard + 50_000
	for i := range flows {
		learned := key(i)
		learned.Service.Port = uint16(i >> 16)
		locator.Record(learned, instance(1), epoch.Add(time.Duration(i)))
	}
	is.True(locator.Len() <= shardCount*maxOwnersPerShard)
}

func BenchmarkFind(b *testing.B) {
	var locator Locator
	for i := range 10_000 {
		locator.Record(key(i), instance(1), epoch)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		locator.Find(key(i%10_000), epoch)
	}
}

// Only what was known before an epoch counts as older, and the same owner announced
// again stays as old as it was.
func TestOwnerIsRecordedInAnEpoch(t *testing.T) {
	is := is.New(t)
	var l Locator
	l.Record(key(1), instance(1), epoch)
	began := l.BeginEpoch()
	l.Record(key(2), instance(1), epoch)
	l.Record(key(1), instance(1), epoch)
	is.True(l.RecordedBefore(key(1), began, epoch))
	is.True(!l.RecordedBefore(key(2), began, epoch))
	is.True(l.RecordedBefore(key(2), l.BeginEpoch(), epoch))
	is.True(!l.RecordedBefore(key(1), began, epoch.Add(DefaultLifetime+1))) // expired
	l.Record(key(1), instance(2), epoch)
	is.True(!l.RecordedBefore(key(1), began, epoch)) // another owner
}
