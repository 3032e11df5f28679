// Command review-stand-3 plays the cases of review/11 and later that are scripts: it starts
// the project's programs on loopback addresses between stand-ins of the platform's store
// and routers, of hosts and of callers.
package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// setting is what a case gets.
type setting struct {
	record  *record
	daemon  string
	toml    string
	trouble bool
	// keep is the folder that gets the logs of the processes; empty for none.
	keep string
}

var cases = map[string]func(setting) (broken bool, err error){
	"incomplete-ping": incompletePing,
	"crashed-host":    crashedHost,
	"foreign-entries": foreignEntries,
}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file of the record")
	daemon := flag.String("daemon", "target/gooseberrymastd", "the program")
	toml := flag.String("settings", "deploy/gooseberrymastd.toml", "the program's own settings")
	keep := flag.String("keep", "", "a folder for the logs of the processes")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(exitNotRun)
	}
	record, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := play(setting{record: record, daemon: *daemon, toml: *toml, trouble: os.Getenv("TROUBLE") != "0", keep: *keep})
	switch {
	case err != nil:
		record.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken:
		record.add("the rule was broken")
		os.Exit(exitBroken)
	}
	record.add("the rule held")
	os.Exit(exitHeld)
}
