//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["stale"] = scenarioOf{playStale, smallEntries} }

const (
	boundHome = "selatan"
	// applyTime is config_apply_ms.
	applyTime = 3 * time.Second
	// maxLoss is the longest loss of a region, and losses how often it comes at most.
	maxLoss = 6 * time.Second
	losses  = 4
	// startPause is the time between the starts of the region's machines.
	startPause = 30 * time.Millisecond
)

func boundPrefix(number int) string { return fmt.Sprintf("/stock/members-%d/", number) }

// boundDocument returns the desired state that splits the route of stock readings: those of some
// members are bound to a home.
func boundDocument(version, splits int) map[string]any {
	document := newDocument(version)
	for i := range splits {
		document["routes"] = append(document["routes"].([]any),
			route(fmt.Sprintf("r-members-%d", i+1), boundPrefix(i+1), "idempotent", "desk", 2500, 300, 2, map[string]any{"home_regions": []any{boundHome}}))
	}
	return document
}

// playStale loses a region while a desired state is confirmed that binds a part of a route to
// another one. With trouble unset, the region is not lost.
func playStale(f *fleet, trouble bool) (bool, error) {
	if err := f.delayControls(lostZone); err != nil {
		return false, err
	}
	if err := f.startSmall(); err != nil {
		return false, err
	}
	astray := 0
	for number := 1; number <= losses && astray == 0; number++ {
		count, err := f.playLoss(number, trouble)
		if err != nil {
			return false, err
		}
		astray += count
	}
	f.record.note("requests run outside of their home: %d", astray)
	fmt.Println("requests run outside of their home:", astray)
	return astray > 0, nil
}

// playLoss loses the region once. It returns how many requests ran outside of their home that
// were sent later than applyTime after the confirmation.
func (f *fleet) playLoss(number int, trouble bool) (astray int, err error) {
	lostAt := time.Now()
	if trouble {
		for _, machine := range f.machinesOf(lostZone) {
			machine.signal(syscall.SIGKILL)
		}
		for _, e := range f.enginesOf(lostZone) {
			e.down()
		}
		f.record.note("loss %d: the region %s is lost", number, regionByZone[lostZone])
	}
	if err := f.define(boundDocument(7+number, number)); err != nil {
		return 0, err
	}
	confirmed := time.Now()
	time.Sleep(applyTime + 100*time.Millisecond)
	sent := &sentTimes{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, entry := range f.machinesOf(lostZone) {
		if entry.role == "entry" {
			for range 2 {
				clients.Go(func() { f.readBoundOnAndOn(entry, boundPrefix(number)+"17", sent, stop) })
			}
		}
	}
	if trouble {
		if err := f.restore(lostZone); err != nil {
			return 0, err
		}
		f.record.note("the region is back after %v", time.Since(lostAt))
	}
	if trouble && time.Since(lostAt) > maxLoss {
		err = fmt.Errorf("the region was lost for longer than %v", maxLoss)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	for id, runs := range f.allRuns() {
		for _, run := range runs {
			if at := sent.of(id); at.After(confirmed.Add(applyTime)) && run.region != boundHome {
				astray++
				f.record.note("%s, sent %v after the confirmation, was run in %s", id, at.Sub(confirmed), run.region)
			}
		}
	}
	return astray, err
}

func (f *fleet) machinesOf(zone string) (machines []*process) {
	for _, p := range f.all() {
		if p.zone == zone {
			machines = append(machines, p)
		}
	}
	return machines
}

func (f *fleet) enginesOf(zone string) (engines []*engine) {
	for _, e := range f.engines {
		if e.zone == zone {
			engines = append(engines, e)
		}
	}
	return engines
}

// restore starts the engines and the machines of a zone again, which were killed.
func (f *fleet) restore(zone string) error {
	for _, e := range f.enginesOf(zone) {
		if err := e.up(0); err != nil {
			return err
		}
	}
	for _, machine := range f.machinesOf(zone) {
		machine.kill() // it has ended
		if err := machine.start(false); err != nil {
			return err
		}
		time.Sleep(startPause)
	}
	return nil
}

// readBoundOnAndOn has a client ask for readings of members.
func (f *fleet) readBoundOnAndOn(entry *process, path string, sent *sentTimes, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := openChannel(entry.front())
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		id := newID()
		sent.note(id)
		got := c.ask(http.MethodGet, path, id, "", 2500*time.Millisecond)
		f.record.note("client at %s: %s answered %d %v", entry.name, id, got.status, got.err)
		c.close()
		time.Sleep(50 * time.Millisecond)
	}
}

// delayControls has the entry instances of a zone reach the control instances of others with the
// delay between regions.
func (f *fleet) delayControls(zone string) error {
	var seeds []any
	for _, control := range f.controls {
		if control.zone == zone {
			seeds = append(seeds, control.control())
			continue
		}
		ip, err := f.delayTo(control)
		if err != nil {
			return err
		}
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, portControl))
	}
	for _, entry := range f.entries {
		if entry.zone == zone {
			entry.seeds = seeds
		}
	}
	return nil
}
