package main

import (
	"context"
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
)

// memoryStore is a store in memory whose calls can be made to fail.
type memoryStore struct {
	objects map[string]gooseberrymast.Object
	// before, unless nil, is called before each write. Its error is returned from Put
	// after the write took effect, as when the answer is lost.
	before func(object gooseberrymast.Object) error
	down   bool
}

func (m *memoryStore) open(string) (revisionStore, error) {
	return revisionStore{
		store:  m,
		encode: func(revision gooseberrymast.Revision) ([]byte, error) { return json.Marshal(revision) },
		decode: func(value []byte) (revision gooseberrymast.Revision, err error) {
			err = json.Unmarshal(value, &revision)
			return revision, err
		},
		sleep: func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	}, nil
}

func (m *memoryStore) Get(_ context.Context, key string) (gooseberrymast.Object, error) {
	object, ok := m.objects[key]
	switch {
	case m.down:
		return gooseberrymast.Object{}, gooseberrymast.ErrStoreUnavailable
	case !ok:
		return gooseberrymast.Object{}, gooseberrymast.ErrStoreNotFound
	}
	return object, nil
}

func (m *memoryStore) List(_ context.Context, prefix string) ([]gooseberrymast.Object, error) {
	var list []gooseberrymast.Object
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, object)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, nil
}

func (m *memoryStore) Put(_ context.Context, object gooseberrymast.Object, expected uint64) (uint64, error) {
	var lost error
	if m.before != nil {
		lost = m.before(object)
	}
	if m.objects[object.Key].Version != expected {
		return 0, gooseberrymast.ErrStoreConflict
	}
	object.Version = expected + 1
	if m.objects == nil {
		m.objects = map[string]gooseberrymast.Object{}
	}
	m.objects[object.Key] = object
	return object.Version, lost
}

func (m *memoryStore) Delete(_ context.Context, key string, _ uint64) error {
	delete(m.objects, key)
	return nil
}

func (m *memoryStore) Watch(ctx context.Context, _ string, _ uint64) (gooseberrymast.Object, error) {
	<-ctx.Done()
	return gooseberrymast.Object{}, ctx.Err()
}

const (
	slots4 = "# first\nzones = [\"cairo-a\"]\n[services.ledger.limits]\nslots = 4\n"
	slots5 = "zones = [\"cairo-a\"]\n[services.ledger.limits]\nslots = 5\n"
	slots6 = "zones = [\"cairo-a\"]\n[services.ledger.limits]\nslots = 6\n"
)

// applyAs applies a text to the environment "trial".
func applyAs(t *testing.T, store *memoryStore, author, text string, more ...string) (code int, stdout, stderr string) {
	t.Helper()
	args := []string{"apply", "--environment", "trial", "--store", "http://127.0.0.1:1", "--author", author}
	return executeOn(store, append(append(args, more...), writeFile(t, "d.toml", text))...)
}

func TestApply(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	code, stdout, _ := applyAs(t, store, "amina", slots4)
	is.Equal(code, exitOK)
	is.Equal(stdout, "trial: applied as revision 1 by amina\n")

	code, stdout, _ = applyAs(t, store, "karim", slots5, "--seen", "1")
	is.Equal(code, exitOK)
	is.Equal(stdout, "trial: applied as revision 2 by karim\n  services.ledger.limits.slots: 4 → 5\n")

	code, stdout, stderr := applyAs(t, store, "amina", slots6, "--seen", "1")
	is.Equal(code, exitFailed)
	is.True(strings.HasPrefix(stdout, "trial: revision 2 by karim at 20")) // who and when
	is.True(strings.HasSuffix(stdout, "would change in revision 2:\n  services.ledger.limits.slots: 5 → 6\n"))
	is.Equal(stderr, "trial: not applied: revision 2 came first\n")

	code, stdout, _ = applyAs(t, store, "amina", slots5)
	is.Equal(code, exitOK)
	is.True(strings.Contains(stdout, "its text is that of revision 2"))
}

func TestApplyInvalid(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	code, _, stderr := applyAs(t, store, "amina", "zones = []\n")
	is.Equal(code, exitInvalid)
	is.True(strings.Contains(stderr, "services: want at least one service"))
	is.Equal(len(store.objects), 0) // nothing changed
	code, _, stderr = applyAs(t, store, "", slots4)
	is.Equal(code, exitInvalid)
	is.Equal(stderr, "--author: want your name; it is missing\n")
	code, _, _ = applyAs(t, store, "a\x1b[2J", slots4)
	is.Equal(code, exitInvalid) // no control characters for other terminals
	code, _, stderr = executeOn(store, "apply", "--environment", "trial", "--author", "a", "--store", "http://store:80", writeFile(t, "d.toml", slots4))
	is.Equal(code, exitInvalid)
	is.True(strings.Contains(stderr, `--store: got "http://store:80", want a URL with an IP address`))
}

func TestApplyWithLostStoreAnswer(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	lose := true
	store.before = func(gooseberrymast.Object) error {
		if lose {
			lose = false
			return gooseberrymast.ErrStoreUnknown
		}
		return nil
	}
	code, stdout, _ := applyAs(t, store, "amina", slots4)
	is.Equal(code, exitOK)
	is.Equal(stdout, "trial: applied as revision 1 by amina\n") // read back by its write id

	store.before = func(object gooseberrymast.Object) error {
		store.down = strings.HasSuffix(object.Key, "/document")
		return gooseberrymast.ErrStoreUnknown
	}
	code, _, stderr := applyAs(t, store, "amina", slots5)
	is.Equal(code, exitFailed)
	is.True(strings.HasPrefix(stderr, "trial: not known whether revision 2 was applied: "))
}

func TestHistory(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	applyAs(t, store, "amina", slots4)
	applyAs(t, store, "karim", slots5)
	delete(store.objects, gooseberrymast.HistoryKey("trial", 2)) // its copy is not written yet
	flags := []string{"history", "--environment", "trial", "--store", "http://127.0.0.1:1"}
	code, stdout, _ := executeOn(store, flags...)
	is.Equal(code, exitOK)
	lines := strings.Split(stdout, "\n")
	is.True(strings.HasPrefix(lines[1], "2 ") && strings.Contains(lines[1], "karim"))
	is.True(strings.HasPrefix(lines[2], "1 ") && strings.Contains(lines[2], "amina"))
	_, stdout, _ = executeOn(store, append(flags, "--show", "1")...)
	is.Equal(stdout, slots4) // byte for byte
	code, _, _ = executeOn(store, append(flags, "--show", "3")...)
	is.Equal(code, exitFailed)
	_, stdout, _ = executeOn(store, append(flags, "--limit", "1")...)
	is.Equal(strings.Count(stdout, "\n"), 2)
}

func TestHistoryKeepsLastRevisions(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	for i := range maxHistoryRevisions + 3 {
		applyAs(t, store, "amina", slots4+"# "+strconv.Itoa(i)+"\n")
	}
	_, stdout, _ := executeOn(store, "history", "--limit", "0", "--environment", "trial", "--store", "http://127.0.0.1:1")
	is.Equal(strings.Count(stdout, "\n"), maxHistoryRevisions+1)
	is.True(strings.HasPrefix(strings.Split(stdout, "\n")[1], "503 "))
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	file := writeFile(t, "d.toml", slots5)
	flags := []string{"diff", "--store", "http://127.0.0.1:1"}
	_, stdout, _ := executeOn(store, append(flags, "--environment", "trial", file)...)
	is.Equal(stdout, "trial has no revision; "+file+" would be the first\n")
	applyAs(t, store, "amina", slots4)
	code, stdout, _ := executeOn(store, append(flags, "--environment", "trial", file)...)
	is.Equal(code, exitOK)
	is.True(strings.HasPrefix(stdout, "from revision 1 by amina at "))
	is.True(strings.HasSuffix(stdout, "\n  services.ledger.limits.slots: 4 → 5\n"))
	_, stdout, _ = executeOn(store, append(flags, "--from", "trial", "--to", "production")...)
	is.Equal(stdout, "production has no revision; revision 1 of trial would be the first\n")
	code, _, _ = executeOn(store, append(flags, "--from", "trial", file)...)
	is.Equal(code, exitInvalid)
}
