package controller

import (
	"context"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/member"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/protocol/translator"
)

// leaseTimeout bounds the read of the leases for a status.
const leaseTimeout = time.Second

// Status describes the environment. The counts of revisions are the tree
// root's when it answers in time, and otherwise those of this process's part.
func (c *Controller) Status() gooseberrymast.Status {
	report := c.query()
	var status gooseberrymast.Status
	c.do(func(now time.Time) { status = c.member.Status(now, report) })
	c.readHolders(&status)
	return status
}

// State gives the state that the own record announces.
func (c *Controller) State() gooseberrymast.State {
	var state gooseberrymast.State
	c.do(func(time.Time) { state = c.member.State() })
	return state
}

// Identity gives the own identity.
func (c *Controller) Identity() gooseberrymast.Identity {
	identity := c.config.Record.Identity
	c.do(func(time.Time) { identity = c.member.Identity() })
	return identity
}

// Revision gives the revision in force; its number is zero before any.
func (c *Controller) Revision() gooseberrymast.Revision {
	var revision gooseberrymast.Revision
	c.do(func(time.Time) { revision = c.member.Revision() })
	return revision
}

// do runs a function in the loop and waits for it. It does nothing when the
// controller is closed.
func (c *Controller) do(run func(now time.Time)) {
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

// query asks the root of the tree for its report. It gives nil without an
// answer.
func (c *Controller) query() *messenger.Report {
	answer := make(chan messenger.Answer, 1)
	var id uint64
	c.post(func(now time.Time) member.Actions {
		c.queries++
		id = c.queries
		c.answers[id] = answer
		return c.member.Query(now, id)
	})
	late := make(chan struct{})
	cancel := c.timer.After(queryTimeout, func(time.Time) { close(late) })
	defer cancel()
	select {
	case got := <-answer:
		return &got.Report
	case <-late:
		c.do(func(time.Time) { delete(c.answers, id) })
	case <-c.ctx.Done():
	}
	return nil
}

// readHolders reads who holds the cells that this process doesn't look after.
func (c *Controller) readHolders(status *gooseberrymast.Status) {
	if c.config.Store == nil || !status.StoreReachable {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, leaseTimeout)
	defer cancel()
	leases, err := c.config.Store.List(ctx, messenger.LeasePrefix(c.config.Environment))
	if err != nil {
		return // The status shows what this process knows by itself.
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
