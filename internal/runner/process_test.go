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

// keeperProcesses are three keepers that run as separate processes, which can be
// killed and stopped by signals.
type keeperProcesses struct {
	t       *testing.T
	folder  string
	binary  string
	keepers []loader.Keeper
	running map[string]*exec.Cmd
	client  *operator.Client
	// lastAccepted is the newest revision that a keeper has confirmed to the client.
	lastAccepted tabler.Revision
	changes      int
}

func newKeeperProcesses(t *testing.T) *keeperProcesses {
	p := &keeperProcesses{t: t, folder: t.TempDir(), running: map[string]*exec.Cmd{}}
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
		p.writeSettings(k)
		p.start(k.Name)
	}
	file := func(name string) string { return filepath.Join(p.folder, name) }
	p.client, err = operator.NewClient(loader.Client{Keepers: p.keepers, TLS: loader.TLS{
		Authority: file("authority.pem"), Certificate: file("operator.pem"), Key: file("operator.key"),
	}})
	assert.NilError(t, err)
	p.eventually("founded", func() error { return p.client.FoundGroups(context.Background()) })
	return p
}

// writeSettings writes the settings file of a keeper.
func (p *keeperProcesses) writeSettings(k loader.Keeper) {
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

func (p *keeperProcesses) start(name string) {
	cmd := exec.Command(p.binary, "--settings", filepath.Join(p.folder, name+".yaml"))
	log, err := os.OpenFile(p.logPath(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.t, err)
	defer func() { assert.Check(p.t, log.Close() == nil) }()
	cmd.Stderr = log
	assert.NilError(p.t, cmd.Start())
	p.running[name] = cmd
}

// kill ends a process with SIGKILL, which is like a crash.
func (p *keeperProcesses) kill(name string) {
	cmd := p.running[name]
	delete(p.running, name)
	_ = cmd.Process.Signal(syscall.SIGCONT)
	assert.Check(p.t, cmd.Process.Kill() == nil)
	_ = cmd.Wait()
}

func (p *keeperProcesses) logPath(name string) string {
	return filepath.Join(p.folder, name+".log")
}

// killAll kills all processes. If the test has failed, it first logs the end of
// each keeper's log.
func (p *keeperProcesses) killAll() {
	for _, k := range p.keepers {
		if text, err := os.ReadFile(p.logPath(k.Name)); err == nil && p.t.Failed() {
			p.t.Logf("%s:\n%s", k.Name, text[max(len(text)-4000, 0):])
		}
	}
	for name := range p.running {
		p.kill(name)
	}
}

func (p *keeperProcesses) signal(name string, signal syscall.Signal) {
	assert.NilError(p.t, p.running[name].Process.Signal(signal))
}

func (p *keeperProcesses) eventually(what string, check func() error) {
	p.t.Helper()
	(&testFleet{t: p.t}).eventually(what, check)
}

// acceptChange makes a change, resending it under the same ID until it is
// accepted, and checks that the revision increases.
func (p *keeperProcesses) acceptChange() {
	p.t.Helper()
	p.changes++
	id := fmt.Sprintf("change-%d", p.changes)
	p.eventually(id, func() error {
		result, err := p.client.SetDraining(context.Background(), id, "gate", p.changes%2 == 1)
		if err == nil {
			assert.Assert(p.t, result.Revision > p.lastAccepted, "revision %d after %d", result.Revision, p.lastAccepted)
			p.lastAccepted = result.Revision
		}
		return err
	})
}

// leader waits until the keepers report a leader and returns its name.
func (p *keeperProcesses) leader() string {
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

// countVoters returns the number of voting members, or 0 if the status is not
// available.
func (p *keeperProcesses) countVoters() (voters int) {
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

// TestKeeperCrashesLoseNoAcceptedChange kills keepers with SIGKILL between
// changes, stops the leader with SIGSTOP for longer than any election, and
// deletes one data folder and, right after that keeper is readmitted, a second
// one. No accepted change may be lost.
func TestKeeperCrashesLoseNoAcceptedChange(t *testing.T) {
	t.Parallel()
	p := newKeeperProcesses(t)
	for round := range 6 {
		victim := p.keepers[round%3].Name
		if round%2 == 0 {
			victim = p.leader()
		}
		p.acceptChange()
		p.kill(victim)
		p.acceptChange()
		p.start(victim)
		p.acceptChange()
	}
	frozen := p.leader()
	p.signal(frozen, syscall.SIGSTOP)
	p.acceptChange()
	p.acceptChange()
	<-time.After(3 * time.Second)
	p.signal(frozen, syscall.SIGCONT)
	p.acceptChange()
	p.loseDisk("k1")
	p.acceptChange()
	p.loseDisk("k2")
	p.acceptChange()
	_, revision, err := p.client.Tables(context.Background(), false)
	assert.NilError(t, err)
	assert.Equal(t, revision, p.lastAccepted)
}

// loseDisk kills a keeper, deletes its data folder, starts it again, readmits it
// and waits until it has its vote again.
func (p *keeperProcesses) loseDisk(name string) {
	p.kill(name)
	assert.NilError(p.t, os.RemoveAll(filepath.Join(p.folder, "data-"+name)))
	p.acceptChange()
	p.start(name)
	p.eventually(name+" is readmitted", func() error { return p.client.Readmit(context.Background(), name, true) })
	p.eventually(name+" has its vote again", func() error {
		if voters := p.countVoters(); voters != 3 {
			return fmt.Errorf("%d voters", voters)
		}
		return nil
	})
}
