//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// Bounds of the small installation of the users' pages.
const (
	contact        = 5 * time.Second
	evacuationTime = 5 * time.Second
	graceTime      = 8 * time.Second
	heartbeatEvery = 1200 * time.Millisecond
	// callTimeout is how long the operator and the engines wait for an answer of a
	// control instance before they call the next one.
	callTimeout = time.Second
)

// zones are the failure domains, each the only one of its region.
var zones = []zone{{"utara-prai", "utara"}, {"selatan-pgudang", "selatan"}, {"sarawak-kch", "sarawak"}}

type zone struct{ name, region string }

// fleet is a small installation on loopback addresses: a control instance and an entry
// instance in each zone, and engines.
type fleet struct {
	record   *record
	folder   string
	prefix   string
	ports    ports
	controls []*process
	entries  []*process
	engines  []*engine
	client   *http.Client
	stop     context.CancelFunc
	ctx      context.Context
}

// ports are the ports that are the same for all processes.
type ports struct{ callers, ready, operators, directory, peers, engines int }

// newFleet chooses free addresses and starts the control and entry instances.
func newFleet(ctx context.Context, r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	f.ctx, f.stop = context.WithCancel(ctx)
	if err := f.chooseAddresses(); err != nil {
		return f, err
	}
	control, err := programPath("boragehead-control")
	if err != nil {
		return f, err
	}
	entry, err := programPath("boragehead-entry")
	if err != nil {
		return f, err
	}
	for i, z := range zones {
		host := f.host(1 + i)
		p, err := startProcess(folder, control, fmt.Sprintf("control-%d", i), f.settings(fmt.Sprintf("control-%d", i), z, host)+joinLines(
			fmt.Sprintf("operator-address: %s:%d", host, f.ports.operators),
			fmt.Sprintf("directory-address: %s:%d", host, f.ports.directory),
			fmt.Sprintf("data-folder: %s/control-%d", folder, i),
			"bootstrap: true", "disk-losses: 1", "memory-mb: 280"))
		if err != nil {
			return f, err
		}
		f.controls = append(f.controls, p)
	}
	for i, z := range zones {
		host := f.host(11 + i)
		p, err := startProcess(folder, entry, fmt.Sprintf("entry-%d", i), f.settings(fmt.Sprintf("entry-%d", i), z, host)+joinLines(
			fmt.Sprintf("caller-address: %s:%d", host, f.ports.callers),
			fmt.Sprintf("ready-address: %s:%d", host, f.ports.ready),
			"memory-mb: 284", "retry-share: 0.2", "retry-slack: 54", "retry-window: 10s"))
		if err != nil {
			return f, err
		}
		f.entries = append(f.entries, p)
	}
	return f, nil
}

// chooseAddresses finds a block of loopback addresses and ports on which nothing
// listens.
func (f *fleet) chooseAddresses() error {
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + 20*rand.IntN(500)
		f.ports = ports{callers: base, ready: base + 1, operators: base + 2, directory: base + 3, peers: base + 4, engines: base + 8}
		free := true
		for _, number := range []int{1, 2, 3, 11, 12, 13} {
			for offset := range 9 {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.host(number), base+offset))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

func (f *fleet) host(number int) string { return fmt.Sprintf("%s.%d", f.prefix, number) }

// settings returns the settings that both programs share, with the figures that the
// templates of the deploy file take from the users' sheet.
func (f *fleet) settings(name string, z zone, host string) string {
	text := joinLines("name: "+name, "region: "+z.region, "failure-domain: "+z.name,
		fmt.Sprintf("peer-address: \"%s:%d\"", host, f.ports.peers), fmt.Sprintf("stop-limit: %s", graceTime), "seeds:")
	for i := range zones {
		text += fmt.Sprintf("  - \"%s:%d\"\n", f.host(1+i), f.ports.operators)
	}
	text += "failure-domains:\n"
	for _, z := range zones {
		text += fmt.Sprintf("  %s: %s\n", z.name, z.region)
	}
	return text
}

// close ends all that the fleet started and removes its folder.
func (f *fleet) close() {
	f.stop()
	var ends sync.WaitGroup
	for _, p := range append(slices.Clone(f.controls), f.entries...) {
		ends.Go(p.end)
	}
	ends.Wait()
	for _, e := range f.engines {
		e.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		f.record.say("logs kept in %s", f.folder)
	}
}

// call sends one call to a control instance and waits at most callTimeout, as the
// operator and the engines do.
func (f *fleet) call(control int, method, path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", f.host(1+control), f.ports.operators, path), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// order is what the operator does: it calls the control instances in the given order,
// with a growing pause after each failure, until one confirms. It returns when that
// was, or false if none did within the limit for resending.
func (f *fleet) order(controls []int, method, path string, body []byte) (time.Time, bool) {
	const resendLimit = 6 * time.Second // ack_ms
	pause := 100 * time.Millisecond
	for began, try := time.Now(), 0; time.Since(began) < resendLimit; try++ {
		control := controls[try%len(controls)]
		f.record.say("operator: %s %s -> control-%d", method, path, control)
		status, err := f.call(control, method, path, body)
		if err == nil && status/100 == 2 {
			f.record.say("operator: control-%d confirms %s %s with %d", control, method, path, status)
			return time.Now(), true
		}
		f.record.say("operator: control-%d: status %d, error %v", control, status, err)
		time.Sleep(pause)
		pause *= 2
	}
	return time.Time{}, false
}

// define sends a desired state until it is confirmed.
func (f *fleet) define(state any) error {
	body, err := json.Marshal(state)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		for control := range f.controls {
			if status, err := f.call(control, http.MethodPut, "/-/config", body); err == nil && status == http.StatusOK {
				f.record.say("operator: control-%d confirms the desired state", control)
				return nil
			}
		}
	}
	return fmt.Errorf("no control instance confirms the desired state")
}

// awaitReady waits until all entry instances say that they are ready.
func (f *fleet) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range f.entries {
			response, err := f.client.Get(fmt.Sprintf("http://%s:%d/-/ready", f.host(11+i), f.ports.ready))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.entries) {
			return nil
		}
	}
	return fmt.Errorf("not all entry instances are ready")
}

// entryAddress returns the address of a zone's entry instance for clients.
func (f *fleet) entryAddress(z int) string {
	return fmt.Sprintf("%s:%d", f.host(11+z), f.ports.callers)
}

// allRun reports whether all processes of the fleet still run.
func (f *fleet) allRun() bool {
	for _, p := range append(slices.Clone(f.controls), f.entries...) {
		if !p.running() {
			f.record.say("%s has ended by itself", p.name)
			return false
		}
	}
	return true
}
