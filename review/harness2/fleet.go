//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of the processes. Each process has an address of its own.
const (
	portFront, portReady, portControl, portDirectory, portInternal, portEngine = 8221, 8224, 8229, 8230, 7600, 8080
)

// regionByZone holds the zones of a small deployment.
var regionByZone = map[string]string{"utara-prai": "utara", "selatan-pgudang": "selatan", "sarawak-kch": "sarawak"}

var zones = []string{"utara-prai", "selatan-pgudang", "sarawak-kch"}

// bounds are those of the sheet of a small deployment.
var bounds = map[string]any{"grace_s": 8, "retry_budget_ratio": 0.2, "retry_budget_slack": 54, "budget_window_s": 10}

// process is one of the project's programs.
type process struct {
	name, role, zone, ip string
	dir, settings        string
	fleet                *fleet
	// seeds, unless nil, are the addresses of the control instances that the process is told.
	seeds []any

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// fleet is an installation on loopback addresses.
type fleet struct {
	record   *record
	binDir   string
	repo     string
	dir      string
	prefix   string
	controls []*process
	entries  []*process
	engines  []*engine
	client   *http.Client
	// listeners are those of proxies.
	listeners []net.Listener
	nextHost  int
	// closed means that no more processes are started.
	closed atomic.Bool
}

// newFleet prepares an installation with some entry instances in each zone. It starts none.
func newFleet(rec *record, repo string, entriesByZone map[string]int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record: rec, repo: repo, binDir: filepath.Join(repo, "target"), dir: dir,
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
	for tries := 0; ; tries++ {
		f.prefix = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		if portsFree(f.prefix + ".1") {
			break
		}
		if tries > 20 {
			return nil, errors.New("no free addresses")
		}
	}
	for _, zone := range zones {
		f.controls = append(f.controls, f.newProcess("control", zone))
	}
	for _, zone := range zones {
		for range entriesByZone[zone] {
			f.entries = append(f.entries, f.newProcess("entry", zone))
		}
	}
	return f, nil
}

func portsFree(ip string) bool {
	for _, port := range []int{portFront, portReady, portControl, portDirectory, portInternal, portInternal + 1, portInternal + 2, portEngine} {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func (f *fleet) newIP() string {
	f.nextHost++
	return fmt.Sprintf("%s.%d", f.prefix, f.nextHost)
}

func (f *fleet) newProcess(role, zone string) *process {
	ip := f.newIP()
	name := fmt.Sprintf("%s-%s-%d", role, zone, f.nextHost)
	p := &process{name: name, role: role, zone: zone, ip: ip, dir: filepath.Join(f.dir, name), fleet: f}
	p.settings = filepath.Join(f.dir, name+".yaml")
	return p
}

func (p *process) front() string     { return fmt.Sprintf("%s:%d", p.ip, portFront) }
func (p *process) ready() string     { return fmt.Sprintf("%s:%d", p.ip, portReady) }
func (p *process) control() string   { return fmt.Sprintf("%s:%d", p.ip, portControl) }
func (p *process) directory() string { return fmt.Sprintf("%s:%d", p.ip, portDirectory) }

// fields returns the fields that the provider fills in.
func (p *process) fields(bootstrap bool) map[string]any {
	var seeds []any
	for _, control := range p.fleet.controls {
		seeds = append(seeds, control.control())
	}
	if p.seeds != nil {
		seeds = p.seeds
	}
	limits := map[string]any{"memory_mb": 284, "max_fds": 4100}
	listen := map[string]any{"front": p.front(), "ready": p.ready()}
	if p.role == "control" {
		limits = map[string]any{"memory_mb": 280, "max_fds": 4096}
		listen = map[string]any{"control": p.control(), "directory": p.directory()}
	}
	zoneMap := map[string]any{}
	for zone, region := range regionByZone {
		zoneMap[zone] = region
	}
	return map[string]any{
		"node_name": p.name, "ip": p.ip, "zone": p.zone, "region": regionByZone[p.zone], "zones": zoneMap, "listen": listen,
		"internal_ports": []any{portInternal, portInternal + 15}, "seeds": seeds, "bootstrap": bootstrap, "limits": limits,
		"data_dir": p.dir, "fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 1}, "bounds": bounds,
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)

// render fills in a template of the deploy file.
func render(template string, fields map[string]any) (string, error) {
	var failed error
	text := placeholder.ReplaceAllStringFunc(template, func(match string) string {
		groups := placeholder.FindStringSubmatch(match)
		var value any = fields
		for _, part := range strings.Split(groups[1], ".") {
			switch container := value.(type) {
			case map[string]any:
				value = container[part]
			case []any:
				index, _ := strconv.Atoi(part)
				value = container[index]
			default:
				value = nil
			}
		}
		if value == nil {
			failed = fmt.Errorf("no field %s", groups[1])
			return ""
		}
		if text, isText := value.(string); isText && groups[2] == "" {
			return text
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			failed = err
		}
		return string(encoded)
	})
	return text, failed
}

// start starts the process. Only the first start of a fleet bootstraps.
func (p *process) start(bootstrap bool) error {
	template, err := os.ReadFile(filepath.Join(p.fleet.repo, "deploy", p.role+".yaml"))
	if err != nil {
		return err
	}
	text, err := render(string(template), p.fields(bootstrap))
	if err != nil {
		return err
	}
	if err := errors.Join(os.MkdirAll(p.dir, 0o700), os.WriteFile(p.settings, []byte(text), 0o600)); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet.closed.Load() {
		return errors.New("the case has ended")
	}
	command := exec.Command(filepath.Join(p.fleet.binDir, "boragehead-"+p.role), "--settings", p.settings)
	command.Stdout, command.Stderr, command.Dir = log, log, p.fleet.repo
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.exited = command, make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(p.command, p.exited)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	command, exited := p.command, p.exited
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-exited
}

// startAll starts all processes with empty disks.
func (f *fleet) startAll() error {
	for _, p := range f.all() {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

// all returns all processes.
func (f *fleet) all() []*process {
	return slices.Concat(f.controls, f.entries)
}

// close ends all processes.
func (f *fleet) close() {
	f.closed.Store(true)
	for _, p := range f.all() {
		p.kill()
	}
	for _, e := range f.engines {
		e.down()
	}
	for _, listener := range f.listeners {
		_ = listener.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// define sends a desired state to the control instances in turn until one confirms it.
func (f *fleet) define(document map[string]any) error {
	text, err := json.Marshal(document)
	if err != nil {
		return err
	}
	return f.order(http.MethodPut, "/-/config", text)
}

// order sends an order to the control instances in turn until one confirms it.
func (f *fleet) order(method, path string, body []byte) error {
	deadline := time.Now().Add(20 * time.Second)
	for n := 0; time.Now().Before(deadline); n++ {
		status, err := f.call(f.controls[n%len(f.controls)], method, path, body)
		if err == nil && status/100 == 2 {
			f.record.note("operator: %s %s confirmed by %s", method, path, f.controls[n%len(f.controls)].name)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s %s: not confirmed", method, path)
}

// call sends a call of the operator or of an engine to a control instance. It returns the status.
func (f *fleet) call(control *process, method, path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+control.control()+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// isReady reports whether an entry instance says that it is ready.
func (f *fleet) isReady(entry *process) bool {
	response, err := f.client.Get("http://" + entry.ready() + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entry instances are ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(25 * time.Second)
	for _, entry := range f.entries {
		for !f.isReady(entry) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", entry.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startSmall starts a small deployment with an engine of the booking application, and of each
// further plain service, in each zone, and waits until it serves.
func (f *fleet) startSmall(services ...string) error {
	if err := f.startAll(); err != nil {
		return err
	}
	for _, service := range append([]string{"desk"}, services...) {
		for _, zone := range zones {
			if _, err := f.newEngine(service, zone, 6); err != nil {
				return err
			}
		}
	}
	if err := f.define(newDocument(7)); err != nil {
		return err
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // the servers are known everywhere
	return nil
}
