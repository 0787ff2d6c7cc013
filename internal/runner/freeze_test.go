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

// The rate and the burst of the workspace in TestFrozenInstanceKeepsRateLimit, in
// tokens per second and in tokens.
const (
	limitedRate  = 200
	limitedBurst = 3000
)

// startGateProcess runs an entry instance as a separate process, which can be
// stopped with SIGSTOP.
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

// useUntilLimited sends requests to an instance until the rate limit refuses one,
// and returns the number of tokens that the others used.
func (f *testFleet) useUntilLimited(gate, secret string) int64 {
	body := strings.Replace(chatBody, `"stream":true,"max_tokens":5`, `"max_tokens":60`, 1)
	var used int64
	for {
		status, text := f.post(gate, secret, "/v1/chat/completions", body, nil)
		if status == http.StatusTooManyRequests {
			return used
		}
		if errorCode(text) == "no-server" {
			// A resumed instance must first receive its servers' announcements again.
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

// TestFrozenInstanceKeepsRateLimit stops an entry instance with SIGSTOP for
// longer than its lease, so that the ledger grants its leased part to others,
// and then resumes it. All instances together must stay within
// rate x window + burst.
func TestFrozenInstanceKeepsRateLimit(t *testing.T) {
	t.Parallel()
	limitedWorkspace := fmt.Sprintf("  - {name: tight, rate: %d, burst: %d}\n", limitedRate, limitedBurst)
	f := newFleetWith(t, testTables+limitedWorkspace, map[string]string{})
	secret, _ := f.createKey("tight", "north")
	f.stopByName["n1"]()
	frozen := f.startGateProcess("n1")
	for gate := range f.gates {
		f.eventually("key works at "+gate, func() error { return f.checkChat(gate, secret, http.StatusOK, "") })
	}
	<-time.After(limitedBurst / limitedRate * time.Second) // until all buckets are full
	assert.NilError(t, frozen.Process.Signal(syscall.SIGSTOP))
	<-time.After(granter.LeaseDuration + granter.MaxClockDrift + 4*time.Second)
	began := time.Now()
	used := f.useUntilLimited("n2", secret) + f.useUntilLimited("s1", secret)
	assert.NilError(t, frozen.Process.Signal(syscall.SIGCONT))
	used += f.useUntilLimited("n1", secret) + f.useUntilLimited("n2", secret) + f.useUntilLimited("s1", secret)
	bound := limitedBurst + limitedRate*time.Since(began).Seconds()
	assert.Assert(t, float64(used) <= bound, "%d tokens, allowed %.0f", used, bound)
	assert.Assert(t, used > limitedBurst/2, "only %d tokens", used)
	t.Logf("%d tokens, allowed %.0f", used, bound)
}
