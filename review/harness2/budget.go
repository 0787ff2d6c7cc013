//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { scenarios["budget"] = scenarioOf{playBudget, smallEntries} }

// Values of the rule BUDGET, and of the case.
const (
	retryRatio   = 0.2
	retrySlack   = 54
	budgetWindow = 10 * time.Second

	readingsPerSecond = 25
	clientsPerEntry   = 4
	failingShare      = 0.45
	failingTime       = 4 * time.Second
	failingTimes      = 3
)

// playBudget has all engines of the booking application fail a part of the readings that they
// run, three times in a row.
func playBudget(f *fleet, trouble bool) (bool, error) {
	if err := f.startSmall(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	failing := false
	for _, e := range f.engines {
		e.serve = func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(10 * time.Millisecond)
			mu.Lock()
			fails := failing && rand.Float64() < failingShare
			mu.Unlock()
			if fails {
				w.WriteHeader(http.StatusInternalServerError)
			}
			_, _ = w.Write([]byte("reading"))
		}
	}
	sent := &sentTimes{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	pause := time.Second * time.Duration(len(f.entries)*clientsPerEntry) / readingsPerSecond
	for _, entry := range f.entries {
		for range clientsPerEntry {
			clients.Go(func() { f.readOnAndOn(entry, pause, sent, stop) })
		}
	}
	time.Sleep(3 * budgetWindow) // steady traffic
	for range failingTimes {
		mu.Lock()
		failing = trouble
		mu.Unlock()
		f.record.note("engines fail %.2f of the requests for %v: %v", failingShare, failingTime, trouble)
		time.Sleep(failingTime)
	}
	mu.Lock()
	failing = false
	mu.Unlock()
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	return f.budgetOverrun("desk", sent), nil
}

// readOnAndOn has a client ask for readings at a pace. It retries one that fails once, on a new
// channel, as a request of its own.
func (f *fleet) readOnAndOn(entry *process, pause time.Duration, sent *sentTimes, stop <-chan struct{}) {
	time.Sleep(time.Duration(rand.Int64N(int64(pause))))
	next := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
		}
		next = next.Add(pause)
		for range 2 {
			id := newID()
			sent.note(id)
			got := askOnce(entry.front(), http.MethodGet, "/stock/17", id, "", 2500*time.Millisecond)
			f.record.note("client at %s: %s answered %d %v", entry.name, id, got.status, got.err)
			if got.err == nil && got.status == http.StatusOK {
				break
			}
		}
	}
}

// budgetOverrun reports whether a service got more repeats in a window than the budget allows.
func (f *fleet) budgetOverrun(service string, sent *sentTimes) bool {
	var repeats, requests []time.Time
	for _, runs := range f.allRuns() {
		slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
		for _, repeat := range runs[1:] {
			if repeat.service == service {
				repeats = append(repeats, repeat.at)
			}
		}
	}
	sent.mu.Lock()
	for _, at := range sent.at {
		requests = append(requests, at)
	}
	sent.mu.Unlock()
	count := func(times []time.Time, from time.Time) (n int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst, worstRepeats, worstLimit := 0.0, 0, 0.0
	for _, from := range repeats {
		most := max(count(requests, from), count(requests, from.Add(-budgetWindow)), count(requests, from.Add(-budgetWindow/2)))
		limit := retryRatio*float64(most) + retrySlack
		if n := count(repeats, from); float64(n)/limit > worst {
			worst, worstRepeats, worstLimit = float64(n)/limit, n, limit
		}
	}
	f.record.note("most repeats in a window: %d, allowed: %.1f; %d repeats of %d requests", worstRepeats, worstLimit, len(repeats), len(requests))
	fmt.Printf("most repeats in a window: %d, allowed: %.1f\n", worstRepeats, worstLimit)
	return worst > 1
}
