package runner_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/operator"
	"github.com/boragehead/boragehead/internal/tabler"
)

// processes are keepers as real processes, which can be killed and frozen.
type processes struct {
	t       *testing.T
	folder  string
	binary  string
	keepers []loader.Keeper
	running map[string]*exec.Cmd
	client  *operator.Client
	// accepted is the newest revision that an operator was told of.
	accepted tabler.Revision
	changes  int
}

func newProcesses(t *testing.T) *processes {
	p := &processes{t: t, folder: t.TempDir(), running: map[string]*exec.Cmd{}}
	p.binary = filepath.Join(p.folder, "boragehead-keeper")
	build := exec.Command("go", "build", "-o", p.binary, "../../cmd/boragehead-keeper")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
	authority, err := certifier.OpenAuthority(p.folder)
	assert.NilError(t, err)
	assert.NilError(t, authority.Issue(p.folder, "operator", certifier.RoleOperator, nil))
	for _, name := range []string{"k1", "k2", "k3"} {
		assert.NilError(t, authority.Issue(p.folder, name, certifier.RoleKeeper, nil))
		p.keepers = append(p.keepers, loader.Keeper{Name: name, Region: "r-" + name, Address: freePort(), Operator: freePort()})
	}
	t.Cleanup(p.killAll)
	for _, k := range p.keepers {
		p.write(k)
		p.start(k.Name)
	}
	files := func(name string) string { return filepath.Join(p.folder, name) }
	p.client, err = operator.NewClient(loader.Client{Keepers: p.keepers, TLS: loader.TLS{
		Authority: files("authority.pem"), Certificate: files("operator.pem"), Key: files("operator.key"),
	}})
	assert.NilError(t, err)
	p.eventually("founded", func() error { return p.client.Found(context.Background()) })
	return p
}

// write writes a keeper's settings file.
func (p *processes) write(k loader.Keeper) {
	text := fmt.Sprintf("name: %s\nregion: %s\nfailure-domain: %s\npeer-address: %s\noperator-address: %s\ndata-folder: data-%s\n",
		k.Name, k.Region, k.Region, k.Address, k.Operator, k.Name)
	text += fmt.Sprintf("tls: {authority: authority.pem, certificate: %s.pem, key: %s.key}\nkeepers:\n", k.Name, k.Name)
	for _, other := range p.keepers {
		text += keeperLine(other.Name, other.Region, other.Address)
	}
	assert.NilError(p.t, os.WriteFile(filepath.Join(p.folder, k.Name+".yaml"), []byte(text), 0o600))
}

func keeperLine(name, region string, address netip.AddrPort) string {
	return fmt.Sprintf("  - {name: %s, region: %s, address: %q}\n", name, region, address.String())
}

func (p *processes) start(name string) {
	cmd := exec.Command(p.binary, "--settings", filepath.Join(p.folder, name+".yaml"))
	log, err := os.OpenFile(p.log(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.t, err)
	defer func() { assert.Check(p.t, log.Close() == nil) }()
	cmd.Stderr = log
	assert.NilError(p.t, cmd.Start())
	p.running[name] = cmd
}

// kill ends a process as a crash does.
func (p *processes) kill(name string) {
	cmd := p.running[name]
	delete(p.running, name)
	_ = cmd.Process.Signal(syscall.SIGCONT)
	assert.Check(p.t, cmd.Process.Kill() == nil)
	_ = cmd.Wait()
}

func (p *processes) log(name string) string {
	return filepath.Join(p.folder, name+".log")
}

// killAll ends all processes; after a failure it shows what they said last.
func (p *processes) killAll() {
	for _, k := range p.keepers {
		if text, err := os.ReadFile(p.log(k.Name)); err == nil && p.t.Failed() {
			p.t.Logf("%s:\n%s", k.Name, text[max(len(text)-4000, 0):])
		}
	}
	for name := range p.running {
		p.kill(name)
	}
}

func (p *processes) signal(name string, signal syscall.Signal) {
	assert.NilError(p.t, p.running[name].Process.Signal(signal))
}

func (p *processes) eventually(what string, check func() error) {
	p.t.Helper()
	(&testFleet{t: p.t}).eventually(what, check)
}

// change makes one change, resent under its id until an outcome is known.
func (p *processes) change() {
	p.t.Helper()
	p.changes++
	id := fmt.Sprintf("change-%d", p.changes)
	p.eventually(id, func() error {
		result, err := p.client.Drain(context.Background(), id, "gate", p.changes%2 == 1)
		if err == nil {
			assert.Assert(p.t, result.Revision > p.accepted, "revision %d after %d", result.Revision, p.accepted)
			p.accepted = result.Revision
		}
		return err
	})
}

// leader returns who leads, as the keepers see it.
func (p *processes) leader() string {
	var leader string
	p.eventually("a leader", func() error {
		status, err := p.client.Status(context.Background())
		if err == nil && (!status.Quorum || status.Leader == "") {
			err = fmt.Errorf("no leader")
		}
		leader = status.Leader
		return err
	})
	return leader
}

func (p *processes) voters() (voters int) {
	status, err := p.client.Status(context.Background())
	if err != nil {
		return 0
	}
	for _, member := range status.Members {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// TestKeepersAsProcesses kills keepers with SIGKILL at changing moments,
// freezes the leader for longer than any election, takes a data folder away,
// and a second one right after the repair. No accepted change is lost.
func TestKeepersAsProcesses(t *testing.T) {
	t.Parallel()
	p := newProcesses(t)
	for round := range 6 {
		victim := p.keepers[round%3].Name
		if round%2 == 0 {
			victim = p.leader()
		}
		p.change()
		p.kill(victim)
		p.change()
		p.start(victim)
		p.change()
	}
	frozen := p.leader()
	p.signal(frozen, syscall.SIGSTOP)
	p.change()
	p.change()
	<-time.After(3 * time.Second)
	p.signal(frozen, syscall.SIGCONT)
	p.change()
	p.loseDisk("k1")
	p.change()
	p.loseDisk("k2")
	p.change()
	_, revision, err := p.client.Tables(context.Background(), false)
	assert.NilError(t, err)
	assert.Equal(t, revision, p.accepted)
}

// loseDisk kills a keeper, empties its data folder, and readmits it.
func (p *processes) loseDisk(name string) {
	p.kill(name)
	assert.NilError(p.t, os.RemoveAll(filepath.Join(p.folder, "data-"+name)))
	p.change()
	p.start(name)
	p.eventually(name+" is readmitted", func() error { return p.client.Readmit(context.Background(), name, true) })
	p.eventually(name+" has its vote again", func() error {
		if voters := p.voters(); voters != 3 {
			return fmt.Errorf("%d voters", voters)
		}
		return nil
	})
}
