//go:build review2

// Command harness2 plays the scripts of the second independent review: it starts the
// project's programs on loopback addresses, with stand-ins for clients, servers and the
// platform. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scenario plays a case. It returns whether the rule was broken, or an error if the case
// could not run.
type scenario func(f *fleet, trouble bool) (broken bool, err error)

// scenarios holds the cases by name.
var scenarios = map[string]scenarioOf{}

// scenarioOf is a case with the entry instances that it needs in the zones.
type scenarioOf struct {
	play    scenario
	entries map[string]int
}

// timeLimit bounds a case.
const timeLimit = 100 * time.Second

var smallEntries = map[string]int{"utara-prai": 3, "selatan-pgudang": 2, "sarawak-kch": 2}

func main() {
	name := flag.String("case", "", "the case to play")
	folder := flag.String("folder", ".", "the folder of the record")
	repo := flag.String("repo", ".", "the repository")
	flag.Parse()
	os.Exit(play(*name, *folder, *repo, os.Getenv("TROUBLE") != "0"))
}

func play(name, folder, repo string, trouble bool) int {
	chosen, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	repo, err := filepath.Abs(repo)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	f, err := newFleet(rec, repo, chosen.entries)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.close()
	type outcome struct {
		broken bool
		err    error
	}
	played := make(chan outcome, 1)
	go func() {
		broken, err := chosen.play(f, trouble)
		played <- outcome{broken, err}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	var broken bool
	select {
	case result := <-played:
		broken, err = result.broken, result.err
	case <-ended:
		err = errors.New("ended by a signal")
	case <-time.After(timeLimit):
		err = fmt.Errorf("not played within %v", timeLimit)
	}
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		rec.note("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	rec.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
