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

// callTimeout is the time after which the caller abandons a store call.
const callTimeout = 3 * time.Second

type watch struct {
	key   string
	after uint64
	done  func(messenger.Result)
	over  bool
}

// call makes a store call with random delays. A write may take effect after its
// caller has abandoned it.
func (sim *simulation) call(n *node, call Call) {
	generation := n.generation
	done := func(result messenger.Result) {
		if n.generation == generation {
			n.dispatch(func(now time.Time) Actions { return n.m.HandleStoreResult(now, call.ID, result) })
		}
	}
	if call.Call.Method == messenger.MethodWatch {
		sim.watch(call.Call, done)
		return
	}
	requestDelay, responseDelay := sim.randomStoreDelay(), sim.randomStoreDelay()
	var result messenger.Result
	sim.after(requestDelay, func() { result = sim.execute(call.Call) })
	if requestDelay+responseDelay < callTimeout {
		sim.after(requestDelay+responseDelay, func() { done(result) })
		return
	}
	timeout := messenger.Result{Err: gooseberrymast.ErrStoreUnavailable}
	if call.Call.Method == messenger.MethodPut {
		timeout.Err = gooseberrymast.ErrStoreUnknown
	}
	sim.after(callTimeout, func() { done(timeout) })
}

func (sim *simulation) randomStoreDelay() time.Duration {
	return time.Duration(sim.random.Int64N(int64(sim.storeDelay) + 1))
}

func (sim *simulation) execute(call messenger.Call) messenger.Result {
	ctx := context.Background()
	var result messenger.Result
	switch call.Method {
	case messenger.MethodGet:
		result.Object, result.Err = sim.store.Get(ctx, call.Object.Key)
	case messenger.MethodList:
		result.Objects, result.Err = sim.store.List(ctx, call.Object.Key)
	case messenger.MethodPut:
		result.Version, result.Err = sim.store.Put(ctx, call.Object, call.Version)
		sim.notify()
	}
	return result
}

func (sim *simulation) watch(call messenger.Call, done func(messenger.Result)) {
	sim.watchCalls++
	entry := &watch{key: call.Object.Key, after: call.Version}
	entry.done = func(result messenger.Result) {
		if !entry.over {
			entry.over = true
			sim.after(sim.randomStoreDelay(), func() { done(result) })
		}
	}
	sim.after(sim.randomStoreDelay(), func() {
		sim.watches = append(sim.watches, entry)
		sim.checkWatch(entry)
	})
	sim.after(30*time.Second, func() { entry.done(messenger.Result{Err: context.DeadlineExceeded}) })
}

// checkWatch completes a watch if the object has a new version or a fault
// interrupts the watch.
func (sim *simulation) checkWatch(entry *watch) {
	faults := sim.store.Faults()
	if faults.Down || sim.random.Float64() < faults.CutWatches {
		entry.done(messenger.Result{Err: gooseberrymast.ErrStoreUnavailable})
		return
	}
	if object, found := sim.readWithoutFaults(entry.key); found && object.Version > entry.after {
		entry.done(messenger.Result{Object: object})
	}
}

func (sim *simulation) notify() {
	waiting := sim.watches[:0]
	for _, entry := range sim.watches {
		if !entry.over {
			sim.checkWatch(entry)
			waiting = append(waiting, entry)
		}
	}
	sim.watches = waiting
}

// applyRevision acts as an operator who reads the document and, after a delay,
// writes the next revision. The store rejects it if the document has changed in
// between.
func (sim *simulation) applyRevision(author string, delay time.Duration) {
	key := gooseberrymast.DocumentKey(testEnvironment)
	object, err := sim.store.Get(context.Background(), key)
	if err != nil && !errors.Is(err, gooseberrymast.ErrStoreNotFound) {
		return
	}
	number := uint64(1)
	if err == nil {
		read, err := translator.DecodeRevision(object.Value)
		if err != nil {
			sim.t.Fatal(err)
		}
		number = read.Number + 1
	}
	id := fmt.Sprintf("%s-%d-%d", author, number, sim.serial)
	// Each revision changes one service.
	text := fmt.Sprintf("# revision %d by %s\nledger=%d\nreceipts=%d\n", number, id, (number+1)/2, number/2)
	value, err := translator.EncodeRevision(gooseberrymast.Revision{
		Number: number, Environment: testEnvironment, WriteID: id, Author: author, Time: sim.now, Text: []byte(text),
	})
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.after(delay, func() {
		_, err := sim.store.Put(context.Background(), gooseberrymast.Object{Key: key, WriteID: id, Value: value}, object.Version)
		if stored, ok := sim.readWithoutFaults(key); ok && stored.WriteID == id {
			sim.accepted[number] = text
			sim.notify()
		} else if err == nil {
			sim.t.Fatalf("the store accepted write %s but doesn't hold it", id)
		}
	})
}

// readWithoutFaults reads an object with all faults disabled.
func (sim *simulation) readWithoutFaults(key string) (gooseberrymast.Object, bool) {
	sim.uncountedReads++
	faults := sim.store.Faults()
	sim.store.SetFaults(platform.Faults{})
	object, err := sim.store.Get(context.Background(), key)
	sim.store.SetFaults(faults)
	return object, err == nil
}
