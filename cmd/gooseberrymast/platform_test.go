package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/protocol/translator"
	"gooseberrymast/standin/platform"
)

// startPlatform serves the stand-in for the platform over HTTP and returns its base
// URL.
func startPlatform(t *testing.T, store *platform.Platform) string {
	t.Helper()
	server := httptest.NewUnstartedServer(store.Handler())
	server.Config.Protocols = platform.Protocols()
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

// openWithoutDelays is openStore without the delays before a call is repeated.
func openWithoutDelays(address string) (revisionStore, error) {
	revisions, err := openStore(address)
	revisions.sleep = func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
	return revisions, err
}

func TestApplyToPlatform(t *testing.T) {
	is := is.New(t)
	store := &platform.Platform{}
	address := startPlatform(t, store)
	flags := []string{"--environment", "trial", "--store", address}
	var out, errs bytes.Buffer
	code := run(context.Background(), openWithoutDelays, append([]string{"apply", "--author", "amina", writeFile(t, "d.toml", slots4)}, flags...), &out, &errs)
	is.Equal(code, exitOK)
	object, err := store.Get(context.Background(), gooseberrymast.DocumentKey("trial"))
	is.NoErr(err)
	revision, err := translator.DecodeRevision(object.Value)
	is.NoErr(err)
	is.Equal(string(revision.Text), slots4) // byte for byte
	is.Equal(revision.WriteID, object.WriteID)

	store.SetFaults(platform.Faults{Down: true})
	code = run(context.Background(), openWithoutDelays, append([]string{"apply", "--author", "amina", writeFile(t, "d.toml", slots5)}, flags...), &out, &errs)
	is.Equal(code, exitFailed)
	is.True(strings.HasPrefix(errs.String(), "trial: not applied: ")) // no write was sent
}

// TestConcurrentAppliesUnderStoreFaults runs applies of several operators at once
// while the store loses writes and answers and returns stale reads. The outcome
// that each command printed must agree with the history.
func TestConcurrentAppliesUnderStoreFaults(t *testing.T) {
	const operators, rounds = 4, 15
	store := &platform.Platform{Seed: 7}
	store.SetFaults(platform.Faults{LostAnswers: 0.15, LostWrites: 0.15, StaleReads: 0.15})
	address := startPlatform(t, store)
	outputs := map[string]string{}
	var mu sync.Mutex
	var operatorGroup sync.WaitGroup
	for operator := range operators {
		operatorGroup.Go(func() {
			for round := range rounds {
				name := fmt.Sprintf("operator-%d-%d", operator, round)
				var out, errs bytes.Buffer
				run(context.Background(), openWithoutDelays, []string{
					"apply", "--environment", "trial", "--store", address, "--author", name,
					writeFile(t, "d.toml", slots4+"# "+name+"\n"),
				}, &out, &errs)
				mu.Lock()
				outputs[name] = out.String() + errs.String()
				mu.Unlock()
			}
		})
	}
	operatorGroup.Wait()
	store.SetFaults(platform.Faults{})
	checkOutputs(t, address, outputs)
}

// checkOutputs compares the outputs of apply, by author, with the history.
func checkOutputs(t *testing.T, address string, outputs map[string]string) {
	t.Helper()
	revisions, err := openWithoutDelays(address)
	if err != nil {
		t.Fatal(err)
	}
	list, err := revisions.list(context.Background(), "trial")
	if err != nil {
		t.Fatal(err)
	}
	applied := map[string]uint64{}
	for i, revision := range list {
		if want := uint64(len(list) - i); revision.Number != want {
			t.Fatalf("found revision %d in the history where %d was expected", revision.Number, want)
		}
		if applied[revision.Author] != 0 {
			t.Errorf("%s was applied twice", revision.Author)
		}
		applied[revision.Author] = revision.Number
	}
	for author, text := range outputs {
		wasApplied := strings.Contains(text, fmt.Sprintf("trial: applied as revision %d by %s\n", applied[author], author))
		wasNot := strings.Contains(text, "trial: not applied: ")
		notKnown := strings.Contains(text, "trial: not known whether")
		switch {
		case applied[author] != 0 && !wasApplied && !notKnown:
			t.Errorf("%s has revision %d in the history, but the output was: %s", author, applied[author], text)
		case applied[author] == 0 && !wasNot && !notKnown:
			t.Errorf("%s has no revision in the history, but the output was: %s", author, text)
		}
	}
	t.Logf("%d of %d applied", len(applied), len(outputs))
}
