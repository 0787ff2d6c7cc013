package runner_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/granter"
)

// The rate and the burst of the workspace in TestFrozenInstanceKeepsToItsFloor.
const (
	tightRate  = 200
	tightBurst = 3000
)

// startGateProcess runs an entry instance as a real process, which can be
// frozen.
func (f *testFleet) startGateProcess(name string) *exec.Cmd {
	binary := filepath.Join(f.folder, "boragehead-gate")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/boragehead-gate").CombinedOutput()
	assert.NilError(f.t, err, string(out))
	gate := f.gates[name]
	text := &strings.Builder{}
	_, _ = fmt.Fprintf(text, "name: %s\nregion: %s\nfailure-domain: %s\nstop-linger: 50ms\n", name, gate.Region, gate.FailureDomain)
	_, _ = fmt.Fprintf(text, "caller-address: %s\nbackend-address: %s\npeer-address: %s\n", gate.CallerAddress, gate.BackendAddress, gate.PeerAddress)
	_, _ = fmt.Fprintf(text, "tls: {authority: authority.pem, certificate: %s.pem, key: %s.key}\nkeepers:\n", name, name)
	for _, k := range f.keepers {
		text.WriteString(keeperLine(k.Name, k.Region, k.Address))
	}
	text.WriteString("peers:\n")
	for _, peer := range f.peers {
		_, _ = fmt.Fprintf(text, "  - {name: %s, address: %q}\n", peer.Name, peer.Address.String())
	}
	settings := filepath.Join(f.folder, name+".yaml")
	assert.NilError(f.t, os.WriteFile(settings, []byte(text.String()), 0o600))
	cmd := exec.Command(binary, "--settings", settings)
	assert.NilError(f.t, cmd.Start())
	f.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

// drain asks an instance until it refuses, and returns the tokens let through.
func (f *testFleet) drain(gate, secret string) int64 {
	body := strings.Replace(question, `"stream":true,"max_tokens":5`, `"max_tokens":60`, 1)
	var used int64
	for {
		status, text := f.ask(gate, secret, "/v1/chat/completions", body, nil)
		if status == http.StatusTooManyRequests {
			return used
		}
		if codeOf(text) == "no-server" {
			// An instance that was frozen has to hear its servers again.
			<-time.After(time.Millisecond)
			continue
		}
		assert.Equal(f.t, status, http.StatusOK, text)
		var answer struct {
			Usage struct {
				TotalTokens int64 `json:"total_tokens"`
			} `json:"usage"`
		}
		assert.NilError(f.t, json.Unmarshal([]byte(text), &answer))
		used += answer.Usage.TotalTokens
	}
}

// TestFrozenInstanceKeepsToItsFloor freezes an entry instance for longer than
// its lease, while the ledger gives its leased part to others, and lets it go
// on: all instances together stay within rate x window + burst.
func TestFrozenInstanceKeepsToItsFloor(t *testing.T) {
	t.Parallel()
	tight := fmt.Sprintf("  - {name: tight, rate: %d, burst: %d}\n", tightRate, tightBurst)
	f := newFleetWith(t, testTables+tight, map[string]string{})
	secret, _ := f.give("tight", "north")
	f.stops["n1"]()
	frozen := f.startGateProcess("n1")
	for gate := range f.gates {
		f.eventually("key works at "+gate, func() error { return f.wants(gate, secret, http.StatusOK, "") })
	}
	<-time.After(tightBurst / tightRate * time.Second) // all buckets are full
	assert.NilError(t, frozen.Process.Signal(syscall.SIGSTOP))
	<-time.After(granter.Lease + granter.Drift + 4*time.Second)
	begun := time.Now()
	used := f.drain("n2", secret) + f.drain("s1", secret)
	assert.NilError(t, frozen.Process.Signal(syscall.SIGCONT))
	used += f.drain("n1", secret) + f.drain("n2", secret) + f.drain("s1", secret)
	bound := tightBurst + tightRate*time.Since(begun).Seconds()
	assert.Assert(t, float64(used) <= bound, "%d tokens, allowed %.0f", used, bound)
	assert.Assert(t, used > tightBurst/2, "only %d tokens", used)
	t.Logf("%d tokens, allowed %.0f", used, bound)
}
