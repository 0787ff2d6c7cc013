//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// frozenFor is how long a control instance is frozen: within the longest freeze of the
// users' site file.
const frozenFor = 5500 * time.Millisecond

// staleOrder evacuates a zone, takes that back and evacuates it again while one control
// instance is frozen, which has the first call of the withdrawal in its socket. It is
// broken if the zone's engines get requests after the second evacuation is due.
//
// Which control instance leads the others cannot be seen from outside, so each is
// frozen once.
func staleOrder(f *fleet, trouble bool) (bool, error) {
	const host, path = "ficu95.example", "/pule252/2f"
	runs := &arrivals{}
	number := 0
	for z := range zones {
		for range 2 {
			if err := f.addEngine(number, z, "huvo11a", 6, runs, answerShort); err != nil {
				return false, err
			}
			number++
		}
	}
	if err := f.define(desiredState(route{Name: "r-nr26tta", Host: host, PathPrefix: "/pule252/", RouteType: "idempotent", TimeoutMs: 2500, TargetLatencyMs: 300, MaxAttempts: 2, Service: "huvo11a"})); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	const evacuated = 0
	c := &caller{fleet: f, entry: evacuated, method: http.MethodGet, host: host, path: path, budget: 5 * time.Second, perS: 20}
	ctx, cancel := context.WithCancel(f.ctx)
	ended := make(chan struct{})
	go func() { c.run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	time.Sleep(contact + time.Second)
	if before := len(runs.all()); before < 20 {
		return false, fmt.Errorf("only %d requests ran in calm", before)
	}
	broken := false
	for frozen := range f.controls {
		late, err := staleOrderRound(f, runs, evacuated, frozen, trouble)
		if err != nil {
			return false, err
		}
		broken = broken || late > 0
		if broken {
			break
		}
	}
	if !f.allRun() {
		return false, fmt.Errorf("a process has ended")
	}
	return broken, nil
}

// staleOrderRound plays one freeze. It returns the number of requests that reached the
// evacuated zone's engines too late.
func staleOrderRound(f *fleet, runs *arrivals, evacuated, frozen int, trouble bool) (int, error) {
	path := "/-/evacuations/" + zones[evacuated].name
	others := slices.DeleteFunc([]int{0, 1, 2}, func(control int) bool { return control == frozen })
	f.record.say("round: control-%d", frozen)
	if _, ok := f.order(others, http.MethodPost, path, nil); !ok {
		return 0, fmt.Errorf("the first evacuation is not confirmed")
	}
	time.Sleep(500 * time.Millisecond)
	frozenAt := time.Now()
	if trouble {
		f.record.say("control-%d is frozen", frozen)
		if err := f.controls[frozen].signal(syscall.SIGSTOP); err != nil {
			return 0, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	if _, ok := f.order(append([]int{frozen}, others...), http.MethodDelete, path, nil); !ok {
		return 0, fmt.Errorf("the withdrawal is not confirmed")
	}
	time.Sleep(300 * time.Millisecond)
	confirmed, ok := f.order(others, http.MethodPost, path, nil)
	if !ok {
		return 0, fmt.Errorf("the second evacuation is not confirmed")
	}
	time.Sleep(time.Until(frozenAt.Add(frozenFor)))
	thawed := time.Now()
	if trouble {
		f.record.say("control-%d goes on after %.1f s", frozen, time.Since(frozenAt).Seconds())
		if err := f.controls[frozen].signal(syscall.SIGCONT); err != nil {
			return 0, err
		}
	}
	// From here on all machines are in touch and the evacuation is due.
	due := thawed.Add(contact)
	if limit := confirmed.Add(evacuationTime); limit.After(due) {
		due = limit
	}
	due = due.Add(time.Second) // for requests that were sent before
	time.Sleep(time.Until(due.Add(5 * time.Second)))
	late := 0
	for _, run := range runs.all() {
		if run.engine.zone == evacuated && run.at.After(due) {
			late++
		}
	}
	f.record.say("%d requests reached engines of %s later than evacuation_ms after its evacuation was confirmed, all machines in touch", late, zones[evacuated].name)
	if _, ok := f.order(others, http.MethodDelete, path, nil); !ok {
		return 0, fmt.Errorf("the last withdrawal is not confirmed")
	}
	return late, nil
}
