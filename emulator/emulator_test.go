package emulator

import (
	"testing"

	"github.com/matryer/is"
)

// TestPoliciesOverPatterns replays every load pattern: what the balancers do
// must serve callers better than random placement and send less to other
// availability zones, and can't be better than full knowledge by more than
// chance.
func TestPoliciesOverPatterns(t *testing.T) {
	const chance = 0.005
	for _, pattern := range Patterns() {
		t.Run(pattern.Name, func(t *testing.T) {
			is := is.New(t)
			results := map[Policy]Result{}
			for _, policy := range Policies {
				result, err := Run(pattern, policy, 1)
				is.NoErr(err)
				is.Equal(result.InTime+result.Late+result.Failed, result.Requests) // every request has one end
				results[policy] = result
			}
			product, random, ideal := results[PolicyProduct], results[PolicyRandom], results[PolicyIdeal]
			is.True(product.Worth > random.Worth)
			is.True(product.Worth >= results[PolicyTrusting].Worth)
			is.True(product.Shed < random.Shed)
			is.True(product.Crossed < random.Crossed)
			is.True(product.Worth < ideal.Worth+chance)
		})
	}
}

// TestFullServersPassFlowsOn replays loads whose crests take all slots: with old
// reports alone, servers are full beside others that have room.
func TestFullServersPassFlowsOn(t *testing.T) {
	for _, name := range []string{"magnolia", "burst", "release", "slow-servers"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pattern, err := PatternOf(name)
			is.NoErr(err)
			for seed := range uint64(2) {
				product, err := Run(pattern, PolicyProduct, seed)
				is.NoErr(err)
				keeping, err := Run(pattern, PolicyKeeping, seed)
				is.NoErr(err)
				is.True(product.Passed > 0)
				is.True(product.Shed < keeping.Shed)
				is.True(product.Worth > keeping.Worth)
			}
		})
	}
}

// TestFailingServersDrawNoFlows replays servers that fail half of their
// requests at once. Without a judgment of them they look idle and draw the
// flows of requests that may not run twice.
func TestFailingServersDrawNoFlows(t *testing.T) {
	is := is.New(t)
	pattern, err := PatternOf("failing-servers")
	is.NoErr(err)
	for seed := range uint64(3) {
		product, err := Run(pattern, PolicyProduct, seed)
		is.NoErr(err)
		trusting, err := Run(pattern, PolicyTrusting, seed)
		is.NoErr(err)
		is.True(product.Lost < trusting.Lost)
		is.True(product.Worth > trusting.Worth)
	}
}

func TestRunsRepeat(t *testing.T) {
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

func TestUnknownNames(t *testing.T) {
	is := is.New(t)
	_, err := PatternOf("none")
	is.True(err != nil)
	_, err = Run(Magnolia(), "none", 1)
	is.True(err != nil)
}

func TestQuietLoadIsServedInTime(t *testing.T) {
	is := is.New(t)
	quiet := Magnolia()
	quiet.Rate /= 10
	result, err := Run(quiet, PolicyProduct, 1)
	is.NoErr(err)
	is.Equal(result.Shed, 0)
	is.True(result.Worth > 0.98)
}
