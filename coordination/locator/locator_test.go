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
	made := make([]gooseberrymast.Endpoint, count)
	for i := range made {
		made[i] = instance(i)
	}
	return made
}

func TestPlacesAreTheSameEverywhereAndEven(t *testing.T) {
	is := is.New(t)
	const flows = 4000
	balancers := instances(8)
	reversed := instances(8)
	for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
		reversed[i], reversed[j] = reversed[j], reversed[i]
	}
	counts := map[gooseberrymast.Endpoint]int{}
	for i := range flows {
		places := PlacesOf(key(i), balancers)
		is.Equal(places, PlacesOf(key(i), reversed))
		is.True(places[0] != places[1])
		counts[places[0]]++
	}
	for _, count := range counts {
		is.True(count > flows/8*8/10 && count < flows/8*12/10)
	}
}

func TestFewPlacesMoveWhenABalancerLeaves(t *testing.T) {
	is := is.New(t)
	const flows = 4000
	balancers := instances(10)
	moved := 0
	for i := range flows {
		before, after := PlacesOf(key(i), balancers), PlacesOf(key(i), balancers[:9])
		if before[0] != after[0] {
			is.Equal(before[0], balancers[9]) // only the flows of the one that left
			is.Equal(after[0], before[1])     // and these had been announced to their second place
			moved++
		}
	}
	is.True(moved > 0 && moved < flows/5)
}

func TestFewerBalancersThanPlaces(t *testing.T) {
	is := is.New(t)
	is.Equal(PlacesOf(key(1), nil), [Places]gooseberrymast.Endpoint{})
	is.Equal(PlacesOf(key(1), instances(1)), [Places]gooseberrymast.Endpoint{instance(0)})
}

func TestLearnFindForget(t *testing.T) {
	is := is.New(t)
	var locator Locator
	locator.Learn(key(1), instance(1), epoch)
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
	locator.Learn(key(1), instance(1), epoch)
	locator.Learn(key(2), instance(1), epoch)
	half := epoch.Add(DefaultKeep / 2)
	_, ok := locator.Find(key(1), half)
	is.True(ok)
	later := epoch.Add(DefaultKeep + time.Second)
	_, ok = locator.Find(key(2), later)
	is.True(!ok)
	locator.Expire(later)
	is.Equal(locator.Len(), 1)
}

func TestOwnersAreBounded(t *testing.T) {
	is := is.New(t)
	var locator Locator
	const flows = shards*maxOwners + 50_000
	for i := range flows {
		learned := key(i)
		learned.Service.Port = uint16(i >> 16)
		locator.Learn(learned, instance(1), epoch.Add(time.Duration(i)))
	}
	is.True(locator.Len() <= shards*maxOwners)
}

func BenchmarkFind(b *testing.B) {
	var locator Locator
	for i := range 10_000 {
		locator.Learn(key(i), instance(1), epoch)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		locator.Find(key(i%10_000), epoch)
	}
}
