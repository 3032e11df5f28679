//go:build review

// Command stand plays the scripted cases of the second review: the programs of the load
// balancer as separate processes on loopback, with stand-ins of callers, hosts, routers
// and the platform's store.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	programPath = "target/gooseberrymastd"
)

// cases are the scripted cases by their number. A case plays with the disruption if
// trouble is set, and without it otherwise.
var cases = map[string]func(w *world, trouble bool) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD, in the repository's root")
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(programPath, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	w.log("case %s, with the disruption: %t", os.Args[1], trouble)
	err = cases[os.Args[1]](w, trouble)
	w.close()
	w.log("%d requests sent, %d answered, %d run; %d resets by the load balancer; rule broken %d times",
		w.sent, w.answered, w.runs, w.resets, len(w.broken))
	_ = w.record.Close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case w.answered == 0:
		fmt.Fprintln(os.Stderr, "nothing was served")
		os.Exit(exitNotRun)
	case len(w.broken) > 0:
		fmt.Printf("broken %d times; the first: %s\n", len(w.broken), w.broken[0])
		os.Exit(exitBroken)
	}
	fmt.Printf("held: %d requests, %d answered\n", w.sent, w.answered)
	os.Exit(exitHeld)
}
