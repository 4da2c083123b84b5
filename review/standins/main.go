// Command standins runs the scripted cases of the review. Each case starts the
// programs of the project as separate processes, with the commands and templates
// of the deploy file, on loopback addresses. Members, clients and the platform are
// stand-ins in this process.
//
// # Usage
//
//	review/bin/standins CASE RECORD
//
// It is run in the root of the repository. The exit status is 1 if the rule was
// broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the
// environment, the case runs without its disruption; with KEEP=1 the logs of the
// processes are kept.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout bounds a case, with the start and the end of its processes.
const caseTimeout = 110 * time.Second

// scenario is the part of a case that differs between cases. It returns whether the
// rule was broken.
type scenario struct {
	cores   int                          // machines with a disk; 0 for 3
	prepare func(in *installation) error // before the start; may be nil
	run     func(in *installation, trouble bool) (broken bool, err error)
}

var scenarios = map[string]scenario{
	"lapsed-lease":      {prepare: prepareLapsedLease, run: runLapsedLease},
	"foreign-heartbeat": {run: runForeignHeartbeat},
	"many-ranks":        {run: runManyRanks},
	"moved-member":      {prepare: prepareMovedMember, run: runMovedMember},
	"lost-disks":        {cores: lostDisksCores, run: runLostDisks},
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		return exitFailed
	}
	broken, err := runCase(args[0], args[1], os.Getenv("TROUBLE") != "0", os.Getenv("KEEP") == "1")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}

// guard ends a case that takes too long or gets a signal, and its processes with it.
type guard struct {
	in   *installation
	rec  *record
	keep bool
}

func (g *guard) run() {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-interrupts:
		g.rec.say("ended by signal %v", s)
	case <-time.After(caseTimeout):
		g.rec.say("the case took too long")
	}
	g.in.stop(g.keep)
	os.Exit(exitFailed)
}

func runCase(name, recordPath string, trouble, keep bool) (broken bool, err error) {
	sc, ok := scenarios[name]
	if !ok {
		return false, errors.New("unknown case " + name)
	}
	rec, err := openRecord(recordPath)
	if err != nil {
		return false, err
	}
	in, err := newInstallation(rec, cmp.Or(sc.cores, seedCount))
	if err != nil {
		return false, err
	}
	defer in.stop(keep)
	g := &guard{in: in, rec: rec, keep: keep}
	go g.run()
	if sc.prepare != nil {
		if err := sc.prepare(in); err != nil {
			return false, err
		}
	}
	if err := in.start(); err != nil {
		return false, err
	}
	broken, err = sc.run(in, trouble)
	if err != nil {
		rec.say("could not run: %v", err)
		return false, err
	}
	rec.say("rule broken: %v", broken)
	return broken, nil
}
