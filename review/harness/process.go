//go:build review

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// process is an entry or control instance that runs as a process of its own.
type process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
}

// startProcess starts a program with a settings file, as the deploy file does. Its
// output goes to a log in the folder.
func startProcess(folder, program, name, settings string) (*process, error) {
	path := filepath.Join(folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p := &process{name: name, command: exec.Command(program, "--settings", path), exited: make(chan struct{})}
	p.command.Dir = os.Getenv("REVIEW_ROOT")
	p.command.Stdout, p.command.Stderr = log, log
	// The kernel ends the process if the harness is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() { _ = p.command.Wait(); close(p.exited) }()
	return p, nil
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(sig syscall.Signal) error {
	if !p.running() {
		return fmt.Errorf("%s has ended", p.name)
	}
	return p.command.Process.Signal(sig)
}

// end stops the process for good.
func (p *process) end() {
	_ = p.signal(syscall.SIGCONT)
	_ = p.signal(syscall.SIGKILL)
	select {
	case <-p.exited:
	case <-time.After(5 * time.Second):
	}
}

// programPath returns the path of a program that the deploy file's build has made.
func programPath(name string) (string, error) {
	root := os.Getenv("REVIEW_ROOT")
	path := filepath.Join(root, "target", name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("%w; run the build of the deploy file first", err)
	}
	return path, nil
}

func joinLines(lines ...string) string {
	return strings.Join(lines, "\n") + "\n"
}
