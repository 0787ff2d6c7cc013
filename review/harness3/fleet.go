//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports that all processes share: each has a loopback address of its own.
const (
	portCallers   = 8221
	portReady     = 8224
	portControl   = 8229
	portDirectory = 8230
	portPeers     = 7600
	portServers   = 8402
)

// memoryMB is the memory of a machine of the small deployments.
const memoryMB = 284

// fleet is a small deployment on loopback addresses.
type fleet struct {
	root, folder string
	prefix       string // the first three numbers of all addresses
	record       *record
	zones        map[string]string // region by failure domain
	seeds        []string
	controls     []*process
	entries      []*process
	nextHost     int
	client       *http.Client
}

// record writes what is sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newFleet finds a free range of loopback addresses.
func newFleet(root, folder string, rec *record, zones map[string]string) (*fleet, error) {
	f := &fleet{root: root, folder: folder, record: rec, zones: zones, client: &http.Client{Timeout: time.Second}}
	for try := range 100 {
		f.prefix = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200+try)%250)
		if l, err := net.Listen("tcp", f.prefix+".1:"+strconv.Itoa(portControl)); err == nil {
			_ = l.Close()
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// host returns the next free address.
func (f *fleet) host() string {
	f.nextHost++
	return fmt.Sprintf("%s.%d", f.prefix, f.nextHost)
}

// process is a program of the project that runs as a process of its own.
type process struct {
	fleet    *fleet
	name, ip string
	program  string
	settings map[string]any
	template string
	path     string
	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	expected bool // whether its end is the script's own doing
}

func (f *fleet) addControl(zone, ip string) *process {
	name := fmt.Sprintf("core-%s-%d", zone, len(f.controls)+1)
	p := &process{fleet: f, name: name, ip: ip, program: "boragehead-control", template: "deploy/control.yaml"}
	p.settings = f.common(name, zone, ip)
	p.settings["listen"] = map[string]any{"control": addr(ip, portControl), "directory": addr(ip, portDirectory)}
	p.settings["data_dir"] = filepath.Join(f.folder, name)
	p.settings["bootstrap"] = true
	f.controls = append(f.controls, p)
	return p
}

func (f *fleet) addEntry(zone, ip string) *process {
	name := fmt.Sprintf("edge-%s-%d", zone, len(f.entries)+1)
	p := &process{fleet: f, name: name, ip: ip, program: "boragehead-entry", template: "deploy/entry.yaml"}
	p.settings = f.common(name, zone, ip)
	p.settings["listen"] = map[string]any{"front": addr(ip, portCallers), "ready": addr(ip, portReady)}
	f.entries = append(f.entries, p)
	return p
}

func addr(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (f *fleet) common(name, zone, ip string) map[string]any {
	zones := map[string]any{}
	for z, r := range f.zones {
		zones[z] = r
	}
	return map[string]any{
		"node_name": name, "ip": ip, "zone": zone, "region": f.zones[zone], "zones": zones,
		"internal_ports": []any{portPeers, portPeers + 15}, "seeds": f.seeds, "data_dir": nil,
		"limits":          map[string]any{"memory_mb": memoryMB, "max_fds": 4100},
		"fault_tolerance": map[string]any{"machines": 1},
		"bounds":          map[string]any{"grace_s": 8, "retry_budget_ratio": 0.2, "retry_budget_slack": 54, "budget_window_s": 10},
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// render fills in a template of the deploy folder.
func (p *process) render() error {
	text, err := os.ReadFile(filepath.Join(p.fleet.root, p.template))
	if err != nil {
		return err
	}
	var missing error
	rendered := placeholder.ReplaceAllFunc(text, func(match []byte) []byte {
		parts := placeholder.FindSubmatch(match)
		var value any = p.settings
		for _, key := range strings.Split(string(parts[1]), ".") {
			switch holder := value.(type) {
			case map[string]any:
				value = holder[key]
			case []any:
				index, _ := strconv.Atoi(key)
				value = holder[index]
			default:
				missing = fmt.Errorf("no value for %s", match)
				return nil
			}
		}
		if len(parts[2]) > 0 {
			encoded, _ := json.Marshal(value)
			return encoded
		}
		return []byte(fmt.Sprint(value))
	})
	p.path = filepath.Join(p.fleet.folder, p.name+".yaml")
	if missing == nil {
		missing = os.WriteFile(p.path, rendered, 0o600)
	}
	return missing
}

func (p *process) start() error {
	if err := p.render(); err != nil {
		return err
	}
	if folder, ok := p.settings["data_dir"].(string); ok {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(p.fleet.folder, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(p.fleet.root, "target", p.program), "--settings", p.path)
	command.Dir = p.fleet.root
	command.Stdout, command.Stderr = log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.command, p.exited, p.expected = command, exited, false
	p.mu.Unlock()
	p.settings["bootstrap"] = false // later starts are not the first
	p.fleet.record.line("%s starts", p.name)
	go func() {
		err := command.Wait()
		_ = log.Close()
		p.mu.Lock()
		expected := p.expected
		p.mu.Unlock()
		if !expected {
			p.fleet.record.line("%s has ended by itself: %v", p.name, err)
		}
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	_ = p.command.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// runs reports whether the process has not ended.
func (p *process) runs() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// status returns a field of the process's status in MB, such as VmHWM.
func (p *process) status(field string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

func (f *fleet) start() error {
	for _, p := range append(append([]*process{}, f.controls...), f.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) close() {
	for _, p := range append(append([]*process{}, f.controls...), f.entries...) {
		if p.command != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			p.kill()
		}
	}
	f.record.line("all processes have ended")
}

// call sends a call to a control instance.
func (f *fleet) call(method, control, path string, body any) (int, []byte) {
	encoded, _ := json.Marshal(body)
	if body == nil {
		encoded = nil
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+control+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, answer
}

// anyControl sends a call to the control instances in turn until one confirms it.
func (f *fleet) anyControl(method, path string, body any, limit time.Duration) bool {
	for until, i := time.Now().Add(limit), 0; time.Now().Before(until); i++ {
		status, _ := f.call(method, addr(f.controls[i%len(f.controls)].ip, portControl), path, body)
		if status/100 == 2 {
			return true
		}
		if status/100 == 4 {
			f.record.line("%s %s is refused: %d", method, path, status)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// awaitReady waits until all entry instances say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range f.entries {
			response, err := f.client.Get("http://" + addr(p.ip, portReady) + "/-/ready")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.entries) {
			return true
		}
	}
	return false
}
