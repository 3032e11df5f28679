package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// tolerance is the share of worth by which runs of equal policies differ.
const tolerance = 0.005

// TestProductOutperformsRandomOnEveryPattern checks on every load pattern
// that the product's policy yields more worth, sheds less and sends less to other
// availability zones than random placement, and never yields less worth than
// without the assessment of failing servers. It may exceed the ideal policy only
// within the tolerance.
func TestProductOutperformsRandomOnEveryPattern(t *testing.T) {
	for _, pattern := range Patterns() {
		t.Run(pattern.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			results := map[Policy]Result{}
			for _, policy := range []Policy{PolicyProduct, PolicyIgnoreFailing, PolicyNoPassing, PolicyRandom, PolicyIdeal} {
				result, err := Run(pattern, policy, 1)
				is.NoErr(err)
				is.Equal(result.InTime+result.Late+result.Failed, result.Requests) // every request has exactly one outcome
				results[policy] = result
			}
			product, random, ideal := results[PolicyProduct], results[PolicyRandom], results[PolicyIdeal]
			is.True(product.Worth > random.Worth)
			is.True(product.Worth >= results[PolicyIgnoreFailing].Worth)
			is.True(product.Shed < random.Shed)
			is.True(product.Crossed < random.Crossed)
			is.True(product.Worth < ideal.Worth+tolerance)
		})
	}
}

// TestFullServersPassFlowsOn checks that agents of full servers pass flows on.
// At peak load, balancers with stale reports alone fill some servers while
// others have free slots.
func TestFullServersPassFlowsOn(t *testing.T) {
	for _, name := range []string{"magnolia", "burst", "release", "slow-servers"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pattern, err := PatternByName(name)
			is.NoErr(err)
			for seed := range uint64(2) {
				product, err := Run(pattern, PolicyProduct, seed)
				is.NoErr(err)
				noPassing, err := Run(pattern, PolicyNoPassing, seed)
				is.NoErr(err)
				is.True(product.Passed > 0)
				is.True(product.Shed < noPassing.Shed)
				is.True(product.Worth > noPassing.Worth)
			}
		})
	}
}

// TestFailureAssessmentReducesLostRequests guards against servers that fail half
// of their requests immediately. They look idle, so without an assessment of
// failures they attract flows of non-idempotent requests, which are then lost.
func TestFailureAssessmentReducesLostRequests(t *testing.T) {
	is := is.New(t)
	pattern, err := PatternByName("failing-servers")
	is.NoErr(err)
	for seed := range uint64(3) {
		product, err := Run(pattern, PolicyProduct, seed)
		is.NoErr(err)
		ignoreFailing, err := Run(pattern, PolicyIgnoreFailing, seed)
		is.NoErr(err)
		is.True(product.Lost < ignoreFailing.Lost)
		is.True(product.Worth > ignoreFailing.Worth)
	}
}

// TestPlacementByWork guards against placement by work that is worse than the rules that it
// is compared with, where servers or requests are uneven, and worse than placement by count
// where they are not. The tolerance is of worth.
func TestPlacementByWork(t *testing.T) {
	const tolerance = 0.001
	for _, pattern := range unevenPatterns() {
		pattern.Length = 10 * time.Second
		t.Run(pattern.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sums := map[Policy]Result{}
			for _, policy := range []Policy{PolicyByCount, PolicyByWork, PolicyLeastRequests} {
				sum := Result{}
				for seed := range uint64(2) {
					result, err := Run(pattern, policy, seed)
					is.NoErr(err)
					is.Equal(result.InTime+result.Late+result.Failed, result.Requests) // every request has exactly one outcome
					sum.Worth += result.Worth
					sum.Late += result.Late
					sum.Failed += result.Failed
					sum.Shed += result.Shed
					sum.P99 += result.P99
				}
				sums[policy] = sum
			}
			byWork, byCount, least := sums[PolicyByWork], sums[PolicyByCount], sums[PolicyLeastRequests]
			is.True(byWork.Worth > byCount.Worth-tolerance)
			is.True(byWork.Worth > least.Worth)
			is.True(byWork.Shed < least.Shed)
			is.True(byWork.P99 < least.P99)
			if pattern.SlowSpeedShare > 0 {
				is.True(byWork.Worth > byCount.Worth)
				is.True(byWork.Late < byCount.Late)
				is.True(byWork.P99 < byCount.P99)
			}
		})
	}
}

// TestUnevenServersServeLikeEqualOnes checks the goal for servers of uneven speed: p99 at
// most 1.2 times that of equal servers with the same capacity. A slow server must get less
// than the others and still a share: at least half of what its speed allows.
func TestUnevenServersServeLikeEqualOnes(t *testing.T) {
	const goal = 1.2
	is := is.New(t)
	uneven, err := PatternByName("uneven-servers")
	is.NoErr(err)
	for seed := range uint64(2) {
		equal, err := Run(Metering(), PolicyProduct, seed)
		is.NoErr(err)
		result, err := Run(uneven, PolicyProduct, seed)
		is.NoErr(err)
		is.True(result.P99 <= goal*equal.P99)
		is.True(result.SlowArrivals > slowSpeed/fastSpeed/2)
		is.True(result.SlowArrivals < 0.8)
	}
}

// TestReturningZoneIsNotOverloaded guards against a zone that returns cold while its
// callers come back together: without the limit its servers get more than they may. The
// limit must leave them a share, and must not cost more than the tolerance.
func TestReturningZoneIsNotOverloaded(t *testing.T) {
	is := is.New(t)
	pattern, err := PatternByName("zone-returns")
	is.NoErr(err)
	limit := pattern.WarmUp.PerSecond*warmUpOverage + warmUpSlack
	for seed := range uint64(3) {
		product, err := Run(pattern, PolicyProduct, seed)
		is.NoErr(err)
		unlimited, err := Run(pattern, PolicyUnlimited, seed)
		is.NoErr(err)
		t.Logf("cold peak %d against %d, shed %d against %d, late %d against %d, refused %d, passed on %d of %d, worth %.4f against %.4f",
			product.ColdPeak, unlimited.ColdPeak, product.Shed, unlimited.Shed, product.Late, unlimited.Late, product.Refused, product.Passed,
			product.Requests, product.Worth, unlimited.Worth)
		is.True(float64(product.ColdPeak) <= limit)
		is.True(float64(unlimited.ColdPeak) > limit)
		is.True(product.ColdPeak > int(limit)/2) // the zone takes its share
		is.True(product.Worth > unlimited.Worth-tolerance)
	}
}

func TestSameSeedRepeatsRun(t *testing.T) {
	is := is.New(t)
	first, err := Run(Magnolia(), PolicyProduct, 3)
	is.NoErr(err)
	second, err := Run(Magnolia(), PolicyProduct, 3)
	is.NoErr(err)
	is.Equal(first, second)
	other, err := Run(Magnolia(), PolicyProduct, 4)
	is.NoErr(err)
	is.True(first != other)
}

func TestUnknownNamesAreRejected(t *testing.T) {
	is := is.New(t)
	_, err := PatternByName("none")
	is.True(err != nil)
	_, err = Run(Magnolia(), "none", 1)
	is.True(err != nil)
}

func TestLowLoadIsServedInTime(t *testing.T) {
	is := is.New(t)
	lowLoad := Magnolia()
	lowLoad.Rate /= 10
	result, err := Run(lowLoad, PolicyProduct, 1)
	is.NoErr(err)
	is.Equal(result.Shed, 0)
	is.True(result.Worth > 0.98)
}
