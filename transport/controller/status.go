package controller

import (
	"context"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/member"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/protocol/translator"
)

// leaseReadTimeout bounds the time to read the leases for a status.
const leaseReadTimeout = time.Second

// Status returns the status of the environment. The counts of revisions come
// from the root of the tree if it answers in time, and otherwise cover only the
// part of the tree below this process.
func (c *Controller) Status() gooseberrymast.Status {
	report := c.query()
	var status gooseberrymast.Status
	c.runInLoop(func(now time.Time) { status = c.member.Status(now, report) })
	c.readHolders(&status)
	return status
}

// State returns the state that the process announces in its own record.
func (c *Controller) State() gooseberrymast.State {
	var state gooseberrymast.State
	c.runInLoop(func(time.Time) { state = c.member.State() })
	return state
}

// Identity returns the process's own identity.
func (c *Controller) Identity() gooseberrymast.Identity {
	identity := c.config.Record.Identity
	c.runInLoop(func(time.Time) { identity = c.member.Identity() })
	return identity
}

// Revision returns the revision in force; its number is zero if there is none.
func (c *Controller) Revision() gooseberrymast.Revision {
	var revision gooseberrymast.Revision
	c.runInLoop(func(time.Time) { revision = c.member.Revision() })
	return revision
}

// runInLoop runs a function in the loop and waits for it. It does nothing when the
// controller is closed.
func (c *Controller) runInLoop(run func(now time.Time)) {
	done := make(chan struct{})
	c.post(func(now time.Time) member.Actions {
		defer close(done)
		run(now)
		return member.Actions{}
	})
	select {
	case <-done:
	case <-c.ctx.Done():
	}
}

// query requests the report of the root of the tree. It returns nil if no
// answer arrives in time.
func (c *Controller) query() *messenger.Report {
	answer := make(chan messenger.Answer, 1)
	var id uint64
	c.post(func(now time.Time) member.Actions {
		c.lastQuery++
		id = c.lastQuery
		c.answers[id] = answer
		return c.member.Query(now, id)
	})
	expired := make(chan struct{})
	cancel := c.timer.After(queryTimeout, func(time.Time) { close(expired) })
	defer cancel()
	select {
	case got := <-answer:
		return &got.Report
	case <-expired:
		c.runInLoop(func(time.Time) { delete(c.answers, id) })
	case <-c.ctx.Done():
	}
	return nil
}

// readHolders reads from the store which processes hold the cells.
func (c *Controller) readHolders(status *gooseberrymast.Status) {
	if c.config.Store == nil || !status.StoreReachable {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, leaseReadTimeout)
	defer cancel()
	leases, err := c.config.Store.List(ctx, messenger.LeasePrefix(c.config.Environment))
	if err != nil {
		return // The status shows the holders that this process has itself.
	}
	holders := map[string]gooseberrymast.Object{}
	for _, lease := range leases {
		holders[lease.Key] = lease
	}
	for i := range status.Cells {
		cell := &status.Cells[i]
		lease, found := holders[messenger.LeaseKey(c.config.Environment, cell.Name)]
		if !found {
			continue
		}
		if value, err := translator.DecodeCell(lease.Value); err == nil {
			cell.Holder = value.Holder
			cell.Version = lease.Version
		}
	}
}
