package deliverer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/coordination/predictor"
)

// abandoning is the packet by which a caller ends its flow.
func abandoning() gooseberrymast.PacketHeader {
	header := request(200)
	header.Payload, header.Finishes = 0, true
	return header
}

// TestPredictorFollowsRequests guards against requests and flows that the estimates of
// work count twice, or still count after they have ended.
func TestPredictorFollowsRequests(t *testing.T) {
	const took = 20 * time.Millisecond
	opened := epoch.Add(time.Second)
	ways := map[string]struct {
		end func(d *Deliverer) Step
		// slotTime is the time that is known of the request.
		slotTime time.Duration
	}{
		"answered":  {func(d *Deliverer) Step { return d.FromServer(answer(50), opened.Add(took)) }, took},
		"abandoned": {func(d *Deliverer) Step { return d.FromPeer(abandoning(), placeHop(), ledger, routes, opened.Add(took)) }, took},
		"dropped": {func(d *Deliverer) Step {
			d.DropFlows()
			return Step{}
		}, 0},
		"expired": {func(d *Deliverer) Step {
			d.Expire(opened.Add(time.Hour))
			return Step{}
		}, 0},
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			work := &predictor.Predictor{}
			work.HandleServer(1, 0, false, epoch)
			d := &Deliverer{Work: work}
			d.FromPeer(opening(), placeHop(), ledger, routes, opened)
			is.Equal(work.Wait(opened), time.Duration(0))
			for range 2 { // the second is a retransmission
				d.FromPeer(request(100), placeHop(), ledger, routes, opened)
			}
			is.True(work.Wait(opened) > 0)
			is.Equal(way.end(d).Request.SlotTime, way.slotTime)
			is.Equal(work.Wait(opened), time.Duration(0))
		})
	}
}
