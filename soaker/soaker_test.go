package soaker

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// program builds gooseberrymastd for a test.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gooseberrymastd")
	if output, err := exec.Command("go", "build", "-o", path, "gooseberrymast/cmd/gooseberrymastd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return path
}

// TestSoak plays one seed for a short time.
func TestSoak(t *testing.T) {
	is := is.New(t)
	report, err := Run(context.Background(), Options{
		Program: program(t), Folder: t.TempDir(), Network: 21, Seed: 1, Length: 24 * time.Second, Instances: 10,
	})
	is.NoErr(err)
	for _, each := range report.Violations {
		t.Errorf("%s: %s", each.Promise, each.What)
	}
	is.True(report.Served > 0)
	is.True(len(report.Faults) > 0)
}

// TestSabotageIsSeen lets the stand-ins break promises on purpose.
func TestSabotageIsSeen(t *testing.T) {
	is := is.New(t)
	report, err := Run(context.Background(), Options{
		Program: program(t), Folder: t.TempDir(), Network: 22, Seed: 2, Length: firstFault + quietEnd, Instances: minInstances,
		Sabotage: true,
	})
	is.NoErr(err)
	for _, promise := range []Promise{PromiseAnswer, PromiseOnce, PromiseFlow, PromiseService, PromiseExit} {
		if report.Broken[promise] == 0 {
			t.Errorf("nobody saw that %s was broken", promise)
		}
	}
}

func TestOptionsAreChecked(t *testing.T) {
	is := is.New(t)
	_, err := Run(context.Background(), Options{Instances: 1, Length: time.Minute})
	is.True(err != nil)
	_, err = Run(context.Background(), Options{Instances: minInstances, Length: time.Second})
	is.True(err != nil)
}
