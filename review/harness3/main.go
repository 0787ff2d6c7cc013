//go:build review3

// Command standins3 runs the scripts of the review: it starts the project's programs as processes
// of their own, and stands in for clients, servers, operators and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit bounds a script, so that it ends within 120 s.
const limit = 110 * time.Second

// scripts holds the scripts by name. Each returns an exit code.
var scripts = map[string]func(f *fleet, trouble bool) int{}

func main() {
	name := flag.String("script", "", "the script to run")
	out := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	root := flag.String("root", ".", "the root of the repository")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	os.Exit(execute(*name, *out, *root, *trouble))
}

func execute(name, out, root string, trouble bool) int {
	script, known := scripts[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown script", name)
		return exitNotRun
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, start: time.Now()}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		rec.line("no folder: %v", err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	absolute, err := filepath.Abs(root)
	if err != nil {
		return exitNotRun
	}
	zones := map[string]string{"north-1": "north", "south-1": "south", "east-1": "east"}
	f, err := newFleet(absolute, folder, rec, zones)
	if err != nil {
		rec.line("%v", err)
		return exitNotRun
	}
	defer f.close()
	stop := func(reason string) {
		rec.line("%s", reason)
		f.close()
		_ = os.RemoveAll(folder)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(limit, func() { stop("the script takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		stop("interrupted")
	}()
	rec.line("script %s, disruption %v", name, trouble)
	code := script(f, trouble)
	rec.line("exit code %d", code)
	return code
}
