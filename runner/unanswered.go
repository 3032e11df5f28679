package runner

import (
	"context"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/retainer"
)

// wake lets tickWhileKept run, without waiting for it.
func wake(kept chan<- struct{}) {
	select {
	case kept <- struct{}{}:
	default:
	}
}

// tickWhileKept calls tick after each packet that is kept, and then each
// retainer.TickInterval for as long as tick reports that others are.
func tickWhileKept(ctx context.Context, timer gooseberrymast.Timer, kept <-chan struct{}, tick func(now time.Time) (more bool)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-kept:
		}
		for ctx.Err() == nil && tick(timer.Now()) {
			sleep(ctx, timer, retainer.TickInterval)
		}
	}
}

// passOnUnanswered passes on the packets that the server has left unanswered.
func (a *Agent) passOnUnanswered(time.Time) (more bool) {
	overdue, more := a.deliverer.PassOnUnanswered()
	for _, packet := range overdue {
		a.execute(packet.Step, packet.Header.FromCaller(), packet.Packet)
	}
	return more
}

// repeatSearches sends the packets of searches that have not been answered to others that
// may hold their flows.
func (b *Balancer) repeatSearches(now time.Time) (more bool) {
	repeated, more := b.steerer.RepeatSearches(now)
	for _, search := range repeated {
		b.execute(search.Steps, search.Header, search.Packet, nil)
	}
	return more
}
