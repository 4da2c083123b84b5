// Program standins-2 runs one case of the review: it starts the product's own programs
// as separate processes, with stand-ins for the platform, the backend servers, the
// operator and the clients, and checks one rule.
//
// # Usage
//
//	standins-2 CASE FOLDER PROGRAM
//
// It writes record.txt into FOLDER. The exit code is 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. With TROUBLE=0 in the environment there is no
// disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// scenario is one case: start brings the deployment up, and run reports whether the rule
// held.
type scenario struct {
	start   func(in *installation, trouble bool) error
	run     func(in *installation, trouble bool) (held bool, err error)
	entries int // machines without a disk, besides the three that have one
}

var scenarios = map[string]scenario{
	"two-primaries":     {startServing, runTwoPrimaries, 4},
	"planned-then-disk": {startServing, runPlannedThenDisk, 0},
	"first-start":       {startFirst, runFirstStart, 0},
	"early-primary":     {startServing, runEarlyPrimary, 4},
	"old-primary":       {startServing, runOldPrimary, 4},
}

// startServing starts a deployment that serves before anything happens.
func startServing(in *installation, _ bool) error { return in.startAll() }

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER PROGRAM")
		return 2
	}
	program, err := filepath.Abs(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("files:", folder)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	c := scenarios[os.Args[1]]
	in, err := install(rec, folder, program, c.entries)
	defer in.close()
	held := false
	if err == nil {
		err = c.start(in, trouble)
	}
	if err == nil {
		rec.say("the deployment is started; disruption: %t", trouble)
		held, err = c.run(in, trouble)
	}
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return 2
	case !held:
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
