package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"gooseberrymast"
	"gooseberrymast/platform"
	"gooseberrymast/transport/journaler"
)

func writeSettings(t *testing.T, path, store string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "platform", "testdata", "balancer.conf"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), "STORE", store, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestHangupReloadsStoreAddress guards against calls that still go to the old store
// after the settings file has changed and the process has received SIGHUP.
func TestHangupReloadsStoreAddress(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	path := filepath.Join(t.TempDir(), "local.conf")
	writeSettings(t, path, "127.0.0.1:1")
	settings, err := platform.ReadSettings(path, gooseberrymast.RoleBalancer)
	is.NoErr(err)
	store := platform.NewStore(settings.Store, time.Minute)
	var journal journaler.Journaler
	stop := watchSettings(path, settings, &journal, store)
	defer stop()

	_, err = store.Get(context.Background(), "peers/x")
	is.True(err != nil)
	is.Equal(calls.Load(), int64(0))
	writeSettings(t, path, strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	for deadline := time.Now().Add(time.Minute); calls.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
		_, err = store.Get(context.Background(), "peers/x")
		is.True(err != nil) // refused by the old address, 404 from the new one
	}
	is.True(calls.Load() > 0)

	// An invalid file leaves the settings in force.
	is.NoErr(os.WriteFile(path, []byte("zone="), 0o600))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	before := calls.Load()
	_, err = store.Get(context.Background(), "peers/x")
	is.True(err != nil)
	is.Equal(calls.Load(), before+1)
}

func TestCheckReportsTheFaultsOfBothFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path, own := filepath.Join(dir, "local.conf"), filepath.Join(dir, "own.toml")
	writeSettings(t, path, "nowhere")
	is.NoErr(os.WriteFile(own, []byte("log-rate = 0\nunknown = 1\nlog-burst = -1\nflow-records = \"sometimes\"\n"), 0o600))
	t.Setenv(platform.SettingsVariable, path)
	command := newBalancer()
	command.SetArgs([]string{"--check", "--settings", own})
	command.SilenceErrors, command.SilenceUsage = true, true
	err := command.Execute()
	is.True(err != nil)
	for _, want := range []string{"platform.address", "unknown", "log-burst", "flow-records"} {
		is.True(strings.Contains(err.Error(), want))
	}
}

func TestDeploySettingsAreValid(t *testing.T) {
	is := is.New(t)
	_, err := readForwardingSettings(filepath.Join("..", "..", "deploy", "gooseberrymastd.toml"))
	is.NoErr(err)
	_, err = readForwardingSettings("")
	is.NoErr(err)
}
