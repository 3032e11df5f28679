package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sort"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/applier"
)

// revisions reads and writes the revisions of environments in a store.
type revisions struct {
	store gooseberrymast.Store
	// encode and decode translate between a revision and an object's value.
	encode func(gooseberrymast.Revision) ([]byte, error)
	decode func([]byte) (gooseberrymast.Revision, error)
	// wait sleeps unless the context ends first.
	wait func(ctx context.Context, delay time.Duration) error
}

// storeTimeout bounds one call to the store.
const storeTimeout = 5 * time.Second

// newest reads an environment's newest revision. It fails with
// gooseberrymast.ErrStoreNotFound when there is none.
func (r revisions) newest(ctx context.Context, environment string) (gooseberrymast.Revision, error) {
	revision, _, err := r.get(ctx, gooseberrymast.DocumentKey(environment))
	if err != nil {
		return gooseberrymast.Revision{}, fmt.Errorf("newest revision of %s: %w", environment, err)
	}
	return revision, nil
}

// list reads the history of an environment, the newest first, and adds the
// newest revision when its copy in the history is not written yet.
func (r revisions) list(ctx context.Context, environment string) ([]gooseberrymast.Revision, error) {
	objects, err := r.objects(ctx, environment)
	if err != nil {
		return nil, fmt.Errorf("history of %s: %w", environment, err)
	}
	byNumber := map[uint64]gooseberrymast.Revision{}
	for _, object := range objects {
		revision, err := r.decode(object.Value)
		if err != nil {
			return nil, fmt.Errorf("history of %s: %s: %w", environment, object.Key, err)
		}
		byNumber[revision.Number] = revision
	}
	newest, err := r.newest(ctx, environment)
	switch {
	case err == nil:
		byNumber[newest.Number] = newest
	case !errors.Is(err, gooseberrymast.ErrStoreNotFound):
		return nil, err
	}
	list := make([]gooseberrymast.Revision, 0, len(byNumber))
	for _, revision := range byNumber {
		list = append(list, revision)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number > list[j].Number })
	return list, nil
}

func (r revisions) objects(ctx context.Context, environment string) ([]gooseberrymast.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.store.List(ctx, gooseberrymast.HistoryPrefix(environment))
}

// keptRevisions is the number of revisions that the history keeps.
const keptRevisions = 500

// prune deletes the one revision that the newest pushes out of the history. A
// failure leaves one old copy behind and harms nothing.
func (r revisions) prune(ctx context.Context, environment string, newest uint64) {
	if newest <= keptRevisions {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := gooseberrymast.HistoryKey(environment, newest-keptRevisions)
	if object, err := r.store.Get(ctx, key); err == nil {
		_ = r.store.Delete(ctx, key, object.Version)
	}
}

// fits makes sure that the store takes an object of the document's length.
func (r revisions) fits(machine *applier.Applier) error {
	value, err := r.encode(gooseberrymast.Revision{
		Number:      math.MaxUint64,
		Environment: machine.Environment,
		WriteID:     machine.WriteID,
		Author:      machine.Author,
		Time:        machine.Time,
		Text:        machine.Text,
	})
	if err != nil {
		return invalidError{fmt.Errorf("revisions.fits: %w", err)}
	}
	if len(value) > gooseberrymast.MaxObjectBytes {
		return invalidError{fmt.Errorf("the document needs %d bytes in the store, which takes at most %d", len(value), gooseberrymast.MaxObjectBytes)}
	}
	return nil
}

// run drives an applier to its end.
func (r revisions) run(ctx context.Context, machine *applier.Applier) applier.Report {
	step := machine.Start()
	for step.Kind != applier.StepDone {
		if err := r.wait(ctx, step.Delay); err != nil {
			step = machine.Abandon(err)
			continue
		}
		step = machine.Advance(r.perform(ctx, machine.Environment, step))
	}
	return step.Report
}

func (r revisions) perform(ctx context.Context, environment string, step applier.Step) applier.Result {
	switch step.Kind {
	case applier.StepReadDocument:
		return r.read(ctx, gooseberrymast.DocumentKey(environment))
	case applier.StepReadHistory:
		return r.read(ctx, gooseberrymast.HistoryKey(environment, step.Number))
	case applier.StepWriteHistory:
		return r.write(ctx, gooseberrymast.HistoryKey(environment, step.Revision.Number), step.Revision, 0)
	default:
		return r.write(ctx, gooseberrymast.DocumentKey(environment), step.Revision, step.Expected)
	}
}

func (r revisions) read(ctx context.Context, key string) applier.Result {
	revision, version, err := r.get(ctx, key)
	return applier.Result{Revision: revision, Version: version, Err: err}
}

func (r revisions) get(ctx context.Context, key string) (gooseberrymast.Revision, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := r.store.Get(ctx, key)
	if err != nil {
		return gooseberrymast.Revision{}, 0, err
	}
	revision, err := r.decode(object.Value)
	if err != nil {
		return gooseberrymast.Revision{}, 0, fmt.Errorf("%s: %w", key, err)
	}
	return revision, object.Version, nil
}

func (r revisions) write(ctx context.Context, key string, revision gooseberrymast.Revision, expected uint64) applier.Result {
	value, err := r.encode(revision)
	if err != nil {
		// Nothing was sent.
		return applier.Result{Err: fmt.Errorf("%w: %s: %w", gooseberrymast.ErrStoreUnavailable, key, err)}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object := gooseberrymast.Object{Key: key, WriteID: revision.WriteID, Value: value}
	_, err = r.store.Put(ctx, object, expected)
	return applier.Result{Err: err}
}

// sleep waits in real time.
func sleep(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}
