package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet holds the processes of the demonstration and what its steps learned.
type fleet struct {
	binaries    string
	example     string
	folder      string
	secret      string
	keyID       string
	instanceURL string

	processes []*process
}

// process is one running process of the fleet.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
}

func newFleet(binaries, example, folder string) (*fleet, error) {
	if err := os.RemoveAll(folder); err != nil {
		return nil, err
	}
	settings := filepath.Join(folder, "settings")
	if err := os.MkdirAll(settings, 0o700); err != nil {
		return nil, err
	}
	if err := os.CopyFS(settings, os.DirFS(filepath.Join(example, "settings"))); err != nil {
		return nil, err
	}
	return &fleet{binaries: binaries, example: example, folder: folder}, nil
}

// settingsNames returns the base names of the settings files with a prefix.
func (f *fleet) settingsNames(prefix string) []string {
	paths, _ := filepath.Glob(filepath.Join(f.folder, "settings", prefix+"-*.yaml"))
	var names []string
	for _, path := range paths {
		names = append(names, strings.TrimSuffix(filepath.Base(path), ".yaml"))
	}
	return names
}

func (f *fleet) makeCertificates(ctx context.Context) error {
	arguments := []string{"certificates", "--folder", filepath.Join(f.folder, "certificates"), "operator:operator"}
	for _, name := range f.settingsNames("gate") {
		arguments = append(arguments, "gate:"+name)
	}
	for _, name := range f.settingsNames("keeper") {
		arguments = append(arguments, "keeper:"+name)
	}
	out, err := f.clientOutput(ctx, arguments...)
	fmt.Printf("%d certificates\n", bytes.Count(out, []byte("\n")))
	return err
}

func (f *fleet) start(context.Context) error {
	kinds := []struct{ prefix, binary string }{
		{"keeper", "boragehead-keeper"},
		{"gate", "boragehead-gate"},
		{"engine", "boragehead-standin"},
		{"booking", "boragehead-standin"},
	}
	for _, kind := range kinds {
		for _, name := range f.settingsNames(kind.prefix) {
			if err := f.startProcess(name, kind.binary); err != nil {
				return err
			}
		}
	}
	fmt.Printf("%d processes, logs in %s\n", len(f.processes), f.folder)
	return nil
}

func (f *fleet) startProcess(name, binary string) error {
	log, err := os.Create(filepath.Join(f.folder, name+".log"))
	if err != nil {
		return err
	}
	settings := filepath.Join(f.folder, "settings", name+".yaml")
	cmd := exec.Command(filepath.Join(f.binaries, binary), "--settings", settings, "--verbosity", "2")
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	f.processes = append(f.processes, &process{name: name, cmd: cmd, log: log})
	return nil
}

// stop terminates all processes gracefully and waits for them.
func (f *fleet) stop() error {
	var wait sync.WaitGroup
	failures := make([]error, len(f.processes))
	for i, p := range f.processes {
		wait.Go(func() { failures[i] = p.stop() })
	}
	wait.Wait()
	return errors.Join(failures...)
}

// stopTimeout is how long a process may take to stop before it is killed.
const stopTimeout = 20 * time.Second

func (p *process) stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	killTimer := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
	defer killTimer.Stop()
	err := p.cmd.Wait()
	if err != nil {
		err = fmt.Errorf("%s: %w", p.name, err)
	}
	return errors.Join(err, p.log.Close())
}

// client runs the command-line client and prints its output.
func (f *fleet) client(ctx context.Context, arguments ...string) error {
	fmt.Println("$ boragehead " + strings.Join(arguments, " "))
	out, err := f.clientOutput(ctx, arguments...)
	fmt.Print(string(out))
	return err
}

func (f *fleet) clientOutput(ctx context.Context, arguments ...string) ([]byte, error) {
	settings := filepath.Join(f.folder, "settings", "operator.yaml")
	all := append([]string{"--settings", settings}, arguments...)
	cmd := exec.CommandContext(ctx, filepath.Join(f.binaries, "boragehead"), all...)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, stderr.String())
	}
	return out, err
}

// clientJSON runs the command-line client and decodes its JSON output.
func (f *fleet) clientJSON(ctx context.Context, into any, arguments ...string) error {
	out, err := f.clientOutput(ctx, append([]string{"--output", "json"}, arguments...)...)
	if err != nil {
		return err
	}
	return json.Unmarshal(out, into)
}

// retry repeats a step until it succeeds or the context ends. It then returns the
// last error of the step.
func retry(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(200 * time.Millisecond):
		}
	}
}
