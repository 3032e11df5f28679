package predictor

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

var epoch = time.Unix(1000, 0)

func address(number int) gooseberrymast.Endpoint {
	return gooseberrymast.Endpoint{IP: [4]byte{10, 0, byte(number >> 8), byte(number)}, Port: 80}
}

// fakeServer runs requests in the order of their arrival and tells a predictor of them.
type fakeServer struct {
	*Predictor
	random *rand.Rand
	queue  int
	speed  float64
	// tail is the share of requests that take tailFactor times as long.
	tail float64
	// coldUntil is when work no longer takes coldFactor times as long.
	coldUntil time.Time

	free []time.Time
	open []fakeRequest
	// sheds is the number of refused requests, and arrivals that of all.
	sheds, arrivals int
	// work is the true time in a slot of all requests that ran.
	work time.Duration
}

type fakeRequest struct {
	flow       *Flow
	route      int
	start, end time.Time
}

const (
	fakeSlots  = 2
	tailFactor = 7
	coldFactor = 1.6
)

func newServer(seed uint64, speed float64) *fakeServer {
	s := &fakeServer{Predictor: &Predictor{}, random: rand.New(rand.NewPCG(seed, 1)), queue: 8, speed: speed, tail: 0.03,
		free: make([]time.Time, fakeSlots)}
	s.HandleServer(fakeSlots, 0, false, epoch)
	return s
}

// arrive sends a request of a route at a time, on a flow of its own.
func (s *fakeServer) arrive(route int, mean time.Duration, now time.Time) (start time.Time, shed bool) {
	s.finishUntil(now)
	flow := s.Open(address(route), now)
	s.Begin(&flow, now)
	s.arrivals++
	if len(s.open) >= fakeSlots+s.queue {
		s.sheds++
		s.End(&flow, true, now.Add(100*time.Microsecond))
		s.Close(&flow, now)
		return now, true
	}
	slices.SortFunc(s.free, time.Time.Compare)
	start = now
	if s.free[0].After(now) {
		start = s.free[0]
	}
	took := s.drawWork(mean, start)
	s.work += took
	s.free[0] = start.Add(took)
	s.open = append(s.open, fakeRequest{flow: &flow, route: route, start: start, end: s.free[0]})
	return start, false
}

func (s *fakeServer) drawWork(mean time.Duration, start time.Time) time.Duration {
	const sigma = 0.5
	work := float64(mean) / s.speed * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
	if s.random.Float64() < s.tail {
		work *= tailFactor
	}
	if start.Before(s.coldUntil) {
		work *= coldFactor
	}
	return time.Duration(work)
}

// finishUntil ends the requests that are answered by a time.
func (s *fakeServer) finishUntil(now time.Time) {
	slices.SortFunc(s.open, func(a, b fakeRequest) int { return a.end.Compare(b.end) })
	for len(s.open) > 0 && !s.open[0].end.After(now) {
		ended := s.open[0]
		s.open = s.open[1:]
		s.AddSample(address(ended.route), s.End(ended.flow, true, ended.end), ended.end)
		s.Close(ended.flow, ended.end)
	}
}

// run sends requests of a route at a rate for a time, and calls each after each arrival.
func (s *fakeServer) run(from time.Time, length time.Duration, rate float64, mean time.Duration, each func(now, start time.Time)) (until time.Time) {
	now := from
	for until = from.Add(length); now.Before(until); now = now.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))) {
		if start, shed := s.arrive(1, mean, now); !shed && each != nil {
			each(now, start)
		}
	}
	return until
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }

// tailMean is the mean of the work as a multiple of the mean without a tail.
const tailMean = 1 + 0.03*(tailFactor-1)

const mean = 15 * time.Millisecond

// TestCostIsTimeInSlot guards against waiting that is taken for work: at a busy server the
// time to the answer is a multiple of the time in a slot. The tail must count with its
// share, neither left out nor as much as to make single requests decide.
func TestCostIsTimeInSlot(t *testing.T) {
	for name, speed := range map[string]float64{"slow": 0.55, "equal": 1, "fast": 1.2} {
		for _, load := range []float64{0.2, 0.8, 1.5} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				var worst float64
				for seed := range uint64(8) {
					s := newServer(seed, speed)
					want := time.Duration(float64(mean) / speed * tailMean)
					s.run(epoch, 20*time.Second, load*fakeSlots/want.Seconds(), mean, nil)
					worst = max(worst, math.Abs(ratio(s.Cost(address(1)), want)-1))
				}
				is.True(worst < 0.3)
			})
		}
	}
}

// TestSpeedShowsWithinTwoSeconds guards against estimates that follow a server's speed too
// slowly: the demand has passed by the time that the slow servers are known.
func TestSpeedShowsWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	const rate = 70
	var slow, fast time.Duration
	for seed := range uint64(8) {
		a, b := newServer(seed, 0.55), newServer(seed+100, 1.2)
		a.run(epoch, 2*time.Second, rate, mean, nil)
		b.run(epoch, 2*time.Second, rate, mean, nil)
		one, other := a.Load(epoch.Add(2*time.Second)).Cost, b.Load(epoch.Add(2*time.Second)).Cost
		is.True(ratio(one, other) > 1.3) // a slow server never seems as fast as a fast one
		slow, fast = slow+one, fast+other
	}
	want := 1.2 / 0.55
	is.True(math.Abs(ratio(slow, fast)/want-1) < 0.15)
}

// TestSpeedChangeIsFollowed guards against costs that stay at what they were when a
// server becomes slow.
func TestSpeedChangeIsFollowed(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(8) {
		s := newServer(seed, 1.2)
		now := s.run(epoch, 20*time.Second, 60, mean, nil)
		before := s.Cost(address(1))
		s.speed = 0.55
		s.run(now, 3*time.Second, 60, mean, nil)
		is.True(ratio(s.Cost(address(1)), before) > 1.5)
	}
}

// TestWaitMatchesServer guards against a wait that ignores the work in progress, what of
// it is done, or the queue.
func TestWaitMatchesServer(t *testing.T) {
	is := is.New(t)
	var expected, actual, byCount, byCountError, byWaitError float64
	for seed := range uint64(4) {
		s := newServer(seed, 0.55)
		speed := 0.55
		cost := time.Duration(float64(mean) / speed * tailMean)
		now := s.run(epoch, 5*time.Second, 1.6/cost.Seconds(), mean, nil)
		for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(time.Duration(s.random.ExpFloat64() * float64(cost) / 1.6)) {
			s.finishUntil(now)
			wait, count := s.Wait(now), len(s.open)
			start, shed := s.arrive(1, mean, now)
			if shed {
				continue
			}
			guess := float64(count) / fakeSlots * float64(cost)
			expected += float64(wait)
			byCount += guess
			actual += float64(start.Sub(now))
			byCountError += math.Abs(guess - float64(start.Sub(now)))
			byWaitError += math.Abs(float64(wait - start.Sub(now)))
		}
	}
	is.True(math.Abs(expected/actual-1) < 0.1)
	is.True(byWaitError < byCountError)
}

// TestColdStart guards against a server that stays unwanted after its warm-up since it was
// measured while it was cold.
func TestColdStart(t *testing.T) {
	is := is.New(t)
	const servers = 16
	var cold, warm time.Duration
	for seed := range uint64(servers) {
		s := newServer(seed, 1)
		s.coldUntil = epoch.Add(2 * time.Second)
		s.HandleServer(fakeSlots, 2*time.Second, false, epoch)
		now := s.run(epoch, 2*time.Second, 70, mean, nil)
		cold += s.Cost(address(1))
		s.run(now, 700*time.Millisecond, 70, mean, nil)
		warm += s.Cost(address(1))
	}
	is.True(ratio(cold, warm) > 1.25)
	is.True(ratio(warm/servers, mean)/tailMean < 1.15)
}

// TestNewVersionIsLearnedFast guards against the costs of an earlier version of the server
// that outlive it.
func TestNewVersionIsLearnedFast(t *testing.T) {
	is := is.New(t)
	const servers = 16
	var cost time.Duration
	for seed := range uint64(servers) {
		s := newServer(seed, 1)
		now := s.run(epoch, 20*time.Second, 60, mean, nil)
		s.HandleServer(fakeSlots, 0, true, now)
		s.run(now, time.Second, 30, 3*mean, nil)
		cost += s.Cost(address(1))
	}
	is.True(ratio(cost/servers, 3*mean)/tailMean > 0.75)
}

// TestStallMovesCostLittle guards against one request that hung for seconds and after which
// the server would get no flows.
func TestStallMovesCostLittle(t *testing.T) {
	is := is.New(t)
	s := newServer(1, 1)
	now := s.run(epoch, 20*time.Second, 60, mean, nil)
	before := s.Cost(address(1))
	s.AddSample(address(1), 3*time.Second, now)
	is.True(ratio(s.Cost(address(1)), before) < 1.2)
}

// TestRefusalsAreNoSamples guards against a server that sheds most of its requests and
// looks fast or idle for it.
func TestRefusalsAreNoSamples(t *testing.T) {
	is := is.New(t)
	s := newServer(1, 1)
	now := s.run(epoch, 5*time.Second, 400, mean, nil)
	is.True(s.sheds > s.arrivals/2)
	is.True(math.Abs(ratio(s.Cost(address(1)), mean)/tailMean-1) < 0.3)
	is.True(s.Wait(now) > 2*mean)
	s.finishUntil(now.Add(time.Minute))
	is.Equal(s.Wait(now), time.Duration(0)) // refused requests don't stay in progress
	is.Equal(s.Load(now).Outstanding, time.Duration(0))
}

// TestCountsUntilThereAreSamples guards against placement by a handful of measurements,
// and against work that is worked out without the number of slots.
func TestCountsUntilThereAreSamples(t *testing.T) {
	is := is.New(t)
	var p Predictor
	p.HandleServer(fakeSlots, 0, false, epoch)
	is.Equal(p.Wait(epoch), time.Duration(0))
	is.True(p.Cost(address(1)) > 0)
	for i := range MinSamples {
		is.Equal(p.Load(epoch), gooseberrymast.WorkLoad{})
		p.AddSample(address(1), mean, epoch.Add(time.Duration(i)*time.Second))
	}
	is.Equal(p.Load(epoch).Cost, mean)
	p.HandleServer(0, 0, false, epoch)
	is.Equal(p.Load(epoch), gooseberrymast.WorkLoad{})
}

// TestLongRequestHasMoreLeft guards against taking a request for nearly done because it
// has passed its expected time: with a long tail it blocks its slot for longer.
func TestLongRequestHasMoreLeft(t *testing.T) {
	is := is.New(t)
	s := newServer(3, 1)
	now := s.run(epoch, 60*time.Second, 60, mean, nil)
	s.finishUntil(now.Add(time.Minute))
	now = now.Add(time.Minute)
	var flows [fakeSlots]Flow
	for i := range flows {
		flows[i] = s.Open(address(1), now)
		s.Begin(&flows[i], now)
	}
	typical := s.Cost(address(1))
	is.True(s.Wait(now.Add(typical/2)) < s.Wait(now))
	is.True(s.Wait(now.Add(3*typical)) > s.Wait(now.Add(typical/2)))
}

// TestTwoKinds guards against a cheap and an expensive route that count alike.
func TestTwoKinds(t *testing.T) {
	is := is.New(t)
	s := newServer(1, 1)
	for i := range 400 {
		now := epoch.Add(time.Duration(i) * 60 * time.Millisecond)
		s.arrive(1, 5*time.Millisecond, now)
		if i%4 == 0 {
			s.arrive(2, 50*time.Millisecond, now)
		}
	}
	now := epoch.Add(time.Minute)
	s.finishUntil(now)
	is.True(ratio(s.Cost(address(2)), s.Cost(address(1))) > 6)
	costs := s.Load(now).RouteCosts
	is.Equal(costs[0].Tag, gooseberrymast.RouteTag(address(2)))
	is.Equal(costs[1].Tag, gooseberrymast.RouteTag(address(1)))
	outstanding := func(route int) time.Duration {
		flow := s.Open(address(route), now)
		s.Begin(&flow, now)
		defer s.Drop(&flow)
		return s.Load(now).Outstanding
	}
	is.True(ratio(outstanding(2), outstanding(1)) > 6)
}

// TestOpenFlowsCountByTheirRate guards against idle flows that count as much as busy ones,
// and flows of a single request that count as if they brought more.
func TestOpenFlowsCountByTheirRate(t *testing.T) {
	is := is.New(t)
	var p Predictor
	p.HandleServer(fakeSlots, 0, false, epoch)
	const flows, rate = 40, 2
	var busy [flows]Flow
	now := epoch
	for i := range busy {
		busy[i] = p.Open(address(1), now)
	}
	serve := func(f *Flow, route int) {
		p.Begin(f, now)
		p.AddSample(address(route), p.End(f, true, now.Add(mean)), now.Add(mean))
	}
	const gap = time.Second / (flows * rate)
	for i := range 1000 {
		now = now.Add(gap)
		serve(&busy[i%flows], 1)
		single := p.Open(address(2), now)
		serve(&single, 2)
		p.Close(&single, now.Add(mean))
	}
	want := flows * rate * mean.Seconds() / fakeSlots
	is.True(math.Abs(p.Load(now).FlowShare/want-1) < 0.1)
	single := p.Open(address(2), now)
	is.True(math.Abs(p.Load(now).FlowShare/want-1) < 0.1)
	p.Close(&single, now)
	for i := range busy {
		p.Close(&busy[i], now)
	}
	is.Equal(p.Load(now).FlowShare, 0.0)
}

// TestAbandonedRequestBlursTheNext guards against a sample that holds the time for which
// the server still worked on a request that its caller has given up.
func TestAbandonedRequestBlursTheNext(t *testing.T) {
	is := is.New(t)
	var p Predictor
	p.HandleServer(1, 0, false, epoch)
	first, second, third := p.Open(address(1), epoch), p.Open(address(1), epoch), p.Open(address(1), epoch)
	p.Begin(&first, epoch)
	p.Begin(&second, epoch)
	p.Begin(&third, epoch)
	p.End(&first, false, epoch.Add(mean))
	is.Equal(p.End(&second, true, epoch.Add(3*mean)), time.Duration(0))
	is.Equal(p.End(&third, true, epoch.Add(4*mean)), mean)
}

// TestRoutesAreBounded guards against memory that grows with the addresses, and against
// flows that are no longer counted once their route has given way.
func TestRoutesAreBounded(t *testing.T) {
	is := is.New(t)
	var p Predictor
	p.HandleServer(fakeSlots, 0, false, epoch)
	held := p.Open(address(0), epoch)
	for i := range 10 * MaxRoutes {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		flow := p.Open(address(i+1), now)
		p.AddSample(address(i+1), mean, now)
		p.Close(&flow, now)
		is.True(len(p.routes) <= MaxRoutes)
	}
	is.True(p.routes[address(0)] != nil) // has an open flow
	p.Close(&held, epoch)
	var flows [2 * MaxRoutes]Flow
	for i := range flows {
		flows[i] = p.Open(address(1000+i), epoch)
		p.Begin(&flows[i], epoch)
	}
	is.True(len(p.routes) <= MaxRoutes)
	is.True(p.Wait(epoch) > 0)
	for i := range flows {
		p.Drop(&flows[i])
	}
	is.Equal(p.other.flows, 0)
	is.Equal(p.running, 0)
	is.Equal(len(p.requests), 0)
}

// TestNilPredictorDoesNothing guards deliverers that nobody has given one.
func TestNilPredictorDoesNothing(t *testing.T) {
	is := is.New(t)
	var p *Predictor
	f := p.Open(address(1), epoch)
	p.Begin(&f, epoch)
	is.Equal(p.End(&f, true, epoch), time.Duration(0))
	p.AddSample(address(1), mean, epoch)
	p.Drop(&f)
	p.Close(&f, epoch)
}
