package runner

import (
	"context"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/steerer"
	"gooseberrymast/state/roster"
)

const (
	// minEntriesInterval is the time between the starts of two reads of the store's
	// entries by one balancer: each serves the searches that begin before the next one.
	minEntriesInterval = steerer.EntriesFresh
	// entriesPerPage is the number of entries that the store returns in one call.
	entriesPerPage = 500
	// entryReadsPerSecond is the rate of calls at which all balancers together read the
	// entries: half of what the store accepts.
	entryReadsPerSecond = 1000
)

// concludeWalks reads the store's entries for the searches that have found no holder.
func (b *Balancer) concludeWalks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.entriesWanted:
		}
		// A read that failed is repeated while a search waits.
		for ctx.Err() == nil && b.steerer.AwaitsEntries(b.Timer.Now()) {
			began := b.Timer.Now()
			b.concludeWalksOnce(ctx, began)
			sleep(ctx, b.Timer, max(0, b.entriesInterval()-b.Timer.Now().Sub(began)))
		}
	}
}

func (b *Balancer) concludeWalksOnce(ctx context.Context, began time.Time) {
	var found entryList
	err := b.callStore(ctx, "read the entries", func(ctx context.Context) (err error) {
		found, err = b.readEntries(ctx)
		return err
	})
	if err != nil {
		b.Log.Warn(gooseberrymast.EventPeersNotLoaded).Err(err).Msg("no search can be concluded")
		return
	}
	now := b.Timer.Now()
	// An instance that is not known and whose entry can't be decoded is heard within the
	// time that one has which restarts, or doesn't run.
	complete := found.complete && now.Sub(b.roster.UnreadableSince()) > steerer.GoneAfterStart
	steps := b.steerer.HandleEntries(nil, began, complete, now)
	b.Log.Info(gooseberrymast.EventEntriesRead).Int("searches", len(steps)).Bool("complete", complete).
		Int64("took-ms", now.Sub(began).Milliseconds()).Msg("")
	for _, step := range steps {
		b.execute([]steerer.Step{step}, step.CallerHeader, nil, nil)
	}
}

// entriesInterval returns the time between two reads, with which all balancers keep within
// the store's rate if each of them reads.
func (b *Balancer) entriesInterval() time.Duration {
	instances, balancers := 1, 1
	b.roster.Each(func(entry roster.Entry) {
		instances++
		if entry.Role == gooseberrymast.RoleBalancer {
			balancers++
		}
	})
	pages := (instances + entriesPerPage - 1) / entriesPerPage
	return max(minEntriesInterval, time.Duration(balancers*pages)*time.Second/entryReadsPerSecond)
}
