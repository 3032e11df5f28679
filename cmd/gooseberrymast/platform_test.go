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

// servePlatform starts a platform over HTTP and gives its base URL.
func servePlatform(t *testing.T, store *platform.Platform) string {
	t.Helper()
	server := httptest.NewUnstartedServer(store.Handler())
	server.Config.Protocols = platform.Protocols()
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

// openAtOnce is openStore without the waits before a repeated call.
func openAtOnce(address string) (revisionStore, error) {
	access, err := openStore(address)
	access.sleep = func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
	return access, err
}

func TestApplyToPlatform(t *testing.T) {
	is := is.New(t)
	store := &platform.Platform{}
	address := servePlatform(t, store)
	flags := []string{"--environment", "trial", "--store", address}
	var out, errs bytes.Buffer
	code := run(context.Background(), openAtOnce, append([]string{"apply", "--author", "amina", write(t, "d.toml", slots4)}, flags...), &out, &errs)
	is.Equal(code, exitOK)
	object, err := store.Get(context.Background(), gooseberrymast.DocumentKey("trial"))
	is.NoErr(err)
	revision, err := translator.DecodeRevision(object.Value)
	is.NoErr(err)
	is.Equal(string(revision.Text), slots4) // byte for byte
	is.Equal(revision.WriteID, object.WriteID)

	store.SetFaults(platform.Faults{Down: true})
	code = run(context.Background(), openAtOnce, append([]string{"apply", "--author", "amina", write(t, "d.toml", slots5)}, flags...), &out, &errs)
	is.Equal(code, exitFailed)
	is.True(strings.HasPrefix(errs.String(), "trial: not applied: ")) // no write was sent
}

// TestRacesAtPlatform lets operators race over HTTP while the platform loses
// writes and answers and gives stale reads. What each was told must be true of
// the history.
func TestRacesAtPlatform(t *testing.T) {
	const operators, rounds = 4, 15
	store := &platform.Platform{Seed: 7}
	store.SetFaults(platform.Faults{LostAnswers: 0.15, LostWrites: 0.15, StaleReads: 0.15})
	address := servePlatform(t, store)
	told := map[string]string{}
	var mu sync.Mutex
	var running sync.WaitGroup
	for operator := range operators {
		running.Go(func() {
			for round := range rounds {
				name := fmt.Sprintf("operator-%d-%d", operator, round)
				var out, errs bytes.Buffer
				run(context.Background(), openAtOnce, []string{
					"apply", "--environment", "trial", "--store", address, "--author", name,
					write(t, "d.toml", slots4+"# "+name+"\n"),
				}, &out, &errs)
				mu.Lock()
				told[name] = out.String() + errs.String()
				mu.Unlock()
			}
		})
	}
	running.Wait()
	store.SetFaults(platform.Faults{})
	checkTold(t, address, told)
}

// checkTold compares what operators were told with the history.
func checkTold(t *testing.T, address string, told map[string]string) {
	t.Helper()
	access, err := openAtOnce(address)
	if err != nil {
		t.Fatal(err)
	}
	list, err := access.list(context.Background(), "trial")
	if err != nil {
		t.Fatal(err)
	}
	applied := map[string]uint64{}
	for i, revision := range list {
		if want := uint64(len(list) - i); revision.Number != want {
			t.Fatalf("revision %d stands where %d should", revision.Number, want)
		}
		if applied[revision.Author] != 0 {
			t.Errorf("%s was applied twice", revision.Author)
		}
		applied[revision.Author] = revision.Number
	}
	for author, text := range told {
		wasApplied := strings.Contains(text, fmt.Sprintf("trial: applied as revision %d by %s\n", applied[author], author))
		wasNot := strings.Contains(text, "trial: not applied: ")
		notKnown := strings.Contains(text, "trial: not known whether")
		switch {
		case applied[author] != 0 && !wasApplied && !notKnown:
			t.Errorf("%s has revision %d and was told: %s", author, applied[author], text)
		case applied[author] == 0 && !wasNot && !notKnown:
			t.Errorf("%s has no revision and was told: %s", author, text)
		}
	}
	t.Logf("%d of %d applied", len(applied), len(told))
}
