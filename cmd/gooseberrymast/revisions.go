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

// revisionStore reads and writes the revisions of environments in the platform's
// store.
type revisionStore struct {
	store gooseberrymast.Store
	// encode and decode convert between a revision and the value of a stored object.
	encode func(gooseberrymast.Revision) ([]byte, error)
	decode func([]byte) (gooseberrymast.Revision, error)
	// sleep waits for a delay; it returns the context's error if that is cancelled
	// first.
	sleep func(ctx context.Context, delay time.Duration) error
}

// storeTimeout bounds one call to the store.
const storeTimeout = 5 * time.Second

// newest returns an environment's newest revision. The error wraps
// gooseberrymast.ErrStoreNotFound if there is none.
func (r revisionStore) newest(ctx context.Context, environment string) (gooseberrymast.Revision, error) {
	revision, _, err := r.get(ctx, gooseberrymast.DocumentKey(environment))
	if err != nil {
		return gooseberrymast.Revision{}, fmt.Errorf("newest revision of %s: %w", environment, err)
	}
	return revision, nil
}

// list returns the history of an environment, newest first. It includes the newest
// revision even if its copy in the history is not written yet.
func (r revisionStore) list(ctx context.Context, environment string) ([]gooseberrymast.Revision, error) {
	objects, err := r.listHistory(ctx, environment)
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

func (r revisionStore) listHistory(ctx context.Context, environment string) ([]gooseberrymast.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.store.List(ctx, gooseberrymast.HistoryPrefix(environment))
}

// maxHistoryRevisions is the number of revisions that the history keeps.
const maxHistoryRevisions = 500

// prune deletes the revision that exceeds the history's length now that newest was
// written. An error is ignored: it only leaves one old copy in the history.
func (r revisionStore) prune(ctx context.Context, environment string, newest uint64) {
	if newest <= maxHistoryRevisions {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := gooseberrymast.HistoryKey(environment, newest-maxHistoryRevisions)
	if object, err := r.store.Get(ctx, key); err == nil {
		_ = r.store.Delete(ctx, key, object.Version)
	}
}

// checkSize returns an error if the document, encoded as a revision, is larger than
// the store accepts.
func (r revisionStore) checkSize(a *applier.Applier) error {
	value, err := r.encode(gooseberrymast.Revision{
		Number:      math.MaxUint64,
		Environment: a.Environment,
		WriteID:     a.WriteID,
		Author:      a.Author,
		Time:        a.Time,
		Text:        a.Text,
	})
	if err != nil {
		return invalidError{fmt.Errorf("encode the revision: %w", err)}
	}
	if len(value) > gooseberrymast.MaxObjectBytes {
		return invalidError{fmt.Errorf("the document needs %d bytes in the store, which takes at most %d", len(value), gooseberrymast.MaxObjectBytes)}
	}
	return nil
}

// run performs the steps of an applier until it is done, and returns its report.
func (r revisionStore) run(ctx context.Context, a *applier.Applier) applier.Report {
	step := a.Start()
	for step.Kind != applier.StepDone {
		if err := r.sleep(ctx, step.Delay); err != nil {
			step = a.Abort(err)
			continue
		}
		step = a.Advance(r.perform(ctx, a.Environment, step))
	}
	return step.Report
}

// perform executes one step of an applier against the store.
func (r revisionStore) perform(ctx context.Context, environment string, step applier.Step) applier.Result {
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

func (r revisionStore) read(ctx context.Context, key string) applier.Result {
	revision, version, err := r.get(ctx, key)
	return applier.Result{Revision: revision, Version: version, Err: err}
}

func (r revisionStore) get(ctx context.Context, key string) (gooseberrymast.Revision, uint64, error) {
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

func (r revisionStore) write(ctx context.Context, key string, revision gooseberrymast.Revision, expected uint64) applier.Result {
	value, err := r.encode(revision)
	if err != nil {
		// Nothing was sent, so the write certainly did not happen.
		return applier.Result{Err: fmt.Errorf("%w: %s: %w", gooseberrymast.ErrStoreUnavailable, key, err)}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object := gooseberrymast.Object{Key: key, WriteID: revision.WriteID, Value: value}
	_, err = r.store.Put(ctx, object, expected)
	return applier.Result{Err: err}
}

// sleep waits for a delay in real time, or until the context is cancelled.
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
