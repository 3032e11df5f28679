package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gooseberrymast"
	"gooseberrymast/coordination/messenger"
	"gooseberrymast/protocol/translator"
	"gooseberrymast/standin/platform"
)

// callTimeout is the time after which the caller of the store gives up.
const callTimeout = 3 * time.Second

type watch struct {
	key   string
	after uint64
	done  func(messenger.Result)
	over  bool
}

// call makes a store call that takes its time. A write may take effect after
// its caller gave up.
func (w *world) call(n *node, call Call) {
	life := n.life
	done := func(result messenger.Result) {
		if n.life == life {
			n.do(func(now time.Time) Actions { return n.m.Stored(now, call.ID, result) })
		}
	}
	if call.Call.Method == messenger.MethodWatch {
		w.watch(call.Call, done)
		return
	}
	there, back := w.halfCall(), w.halfCall()
	var result messenger.Result
	w.after(there, func() { result = w.execute(call.Call) })
	if there+back < callTimeout {
		w.after(there+back, func() { done(result) })
		return
	}
	late := messenger.Result{Err: gooseberrymast.ErrStoreUnavailable}
	if call.Call.Method == messenger.MethodPut {
		late.Err = gooseberrymast.ErrStoreUnknown
	}
	w.after(callTimeout, func() { done(late) })
}

func (w *world) halfCall() time.Duration {
	return time.Duration(w.random.Int64N(int64(w.storeDelay) + 1))
}

func (w *world) execute(call messenger.Call) messenger.Result {
	ctx := context.Background()
	var result messenger.Result
	switch call.Method {
	case messenger.MethodGet:
		result.Object, result.Err = w.store.Get(ctx, call.Object.Key)
	case messenger.MethodList:
		result.Objects, result.Err = w.store.List(ctx, call.Object.Key)
	case messenger.MethodPut:
		result.Version, result.Err = w.store.Put(ctx, call.Object, call.Version)
		w.notify()
	}
	return result
}

func (w *world) watch(call messenger.Call, done func(messenger.Result)) {
	w.watchCalls++
	entry := &watch{key: call.Object.Key, after: call.Version}
	entry.done = func(result messenger.Result) {
		if !entry.over {
			entry.over = true
			w.after(w.halfCall(), func() { done(result) })
		}
	}
	w.after(w.halfCall(), func() {
		w.watches = append(w.watches, entry)
		w.look(entry)
	})
	w.after(30*time.Second, func() { entry.done(messenger.Result{Err: context.DeadlineExceeded}) })
}

// look ends a watch that has news or is cut.
func (w *world) look(entry *watch) {
	faults := w.store.Faults()
	if faults.Down || w.random.Float64() < faults.CutWatches {
		entry.done(messenger.Result{Err: gooseberrymast.ErrStoreUnavailable})
		return
	}
	if object, found := w.peek(entry.key); found && object.Version > entry.after {
		entry.done(messenger.Result{Object: object})
	}
}

func (w *world) notify() {
	waiting := w.watches[:0]
	for _, entry := range w.watches {
		if !entry.over {
			w.look(entry)
			waiting = append(waiting, entry)
		}
	}
	w.watches = waiting
}

// apply plays an operator who writes the next revision over the one read. The
// document may have changed since: then the store refuses.
func (w *world) apply(author string, think time.Duration) {
	key := gooseberrymast.DocumentKey(testEnvironment)
	object, err := w.store.Get(context.Background(), key)
	if err != nil && !errors.Is(err, gooseberrymast.ErrStoreNotFound) {
		return
	}
	number := uint64(1)
	if err == nil {
		read, err := translator.DecodeRevision(object.Value)
		if err != nil {
			w.t.Fatal(err)
		}
		number = read.Number + 1
	}
	id := fmt.Sprintf("%s-%d-%d", author, number, w.serial)
	// Most changes concern one service.
	text := fmt.Sprintf("# revision %d by %s\nledger=%d\nreceipts=%d\n", number, id, (number+1)/2, number/2)
	value, err := translator.EncodeRevision(gooseberrymast.Revision{
		Number: number, Environment: testEnvironment, WriteID: id, Author: author, Time: w.now, Text: []byte(text),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.after(think, func() {
		_, err := w.store.Put(context.Background(), gooseberrymast.Object{Key: key, WriteID: id, Value: value}, object.Version)
		if stored, ok := w.peek(key); ok && stored.WriteID == id {
			w.accepted[number] = text
			w.notify()
		} else if err == nil {
			w.t.Fatalf("the store took write %s and lost it", id)
		}
	})
}

// peek reads an object without faults.
func (w *world) peek(key string) (gooseberrymast.Object, bool) {
	w.peeks++
	faults := w.store.Faults()
	w.store.SetFaults(platform.Faults{})
	object, err := w.store.Get(context.Background(), key)
	w.store.SetFaults(faults)
	return object, err == nil
}
