//go:build review

// Command harness runs the scripted cases of the review: it starts the project's
// programs on loopback addresses, with stand-ins for clients, engines and the operator,
// and checks one rule from what these see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// caseLimit bounds the time of a case.
const caseLimit = 115 * time.Second

// cases are the scripted cases by their names.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"stale-order": staleOrder,
	"attempts":    attempts,
}

func main() {
	runtime.LockOSThread() // the programs end with the thread that started them
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	f, err := newFleet(ctx, r)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		r.say("cannot run: %v", err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, trouble %t", os.Args[1], trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](f, trouble)
		done <- result{broken, err}
	}()
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			r.say("cannot run: %v", got.err)
			return exitNotRun
		case got.broken:
			r.say("RULE BROKEN")
			return exitBroken
		}
		r.say("the rule held")
		return exitHeld
	case <-time.After(caseLimit):
		r.say("cannot run: no end within %v", caseLimit)
	case <-ctx.Done():
		r.say("cannot run: interrupted")
	}
	return exitNotRun
}
