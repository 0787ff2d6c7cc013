package runner_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

// promptly is what "within seconds" may take at most.
const promptly = 6 * time.Second

// TestWithdrawnKeyStops withdraws a key whose streams are open at home and
// elsewhere: both end, new requests are refused, and no byte that a backend
// server, the metrics or the status saw holds the key.
func TestWithdrawnKeyStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	secret, id := f.give("roaming", "north")
	other, _ := f.give("roaming", "north")
	releaseNorth, releaseSouth := f.servers["engine-n"].Hold(), f.servers["engine-s"].Hold()
	defer releaseNorth()
	defer releaseSouth()
	streams := map[string]io.ReadCloser{}
	for _, gate := range []string{"n1", "s1"} {
		f.eventually("stream opened", func() error {
			response, err := f.request(gate, secret, "/v1/chat/completions", question, nil) //nolint:bodyclose // closed when the stream has ended
			if err != nil {
				return err
			}
			if response.StatusCode != http.StatusOK {
				return fmt.Errorf("status %d", response.StatusCode)
			}
			streams[gate] = response.Body
			return nil
		})
		_, err := bufio.NewReader(streams[gate]).ReadString('\n')
		assert.NilError(t, err)
	}
	withdrawn := time.Now()
	outcome, err := f.client.Withdraw(context.Background(), "withdraw", id)
	assert.NilError(t, err)
	assert.Assert(t, outcome.Accepted, "%+v", outcome)
	for gate, stream := range streams {
		overdue := time.AfterFunc(promptly, func() { _ = stream.Close() })
		rest, err := io.ReadAll(stream)
		overdue.Stop()
		assert.Check(t, stream.Close() == nil)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(rest), "key-withdrawn"), "%s: %s", gate, rest)
		assert.Assert(t, !strings.Contains(string(rest), "[DONE]"))
		status, body := f.ask(gate, secret, "/v1/chat/completions", question, nil)
		assert.Equal(t, status, http.StatusUnauthorized)
		assert.Equal(t, codeOf(body), "key-withdrawn")
	}
	assert.Assert(t, time.Since(withdrawn) < promptly, "took %s", time.Since(withdrawn))
	releaseNorth()
	releaseSouth()
	status, _ := f.ask("n1", other, "/v1/chat/completions", question, nil)
	assert.Equal(t, status, http.StatusOK)
	f.searchForKey(secret)
}

// searchForKey looks for a key in all that others than its caller saw.
func (f *testFleet) searchForKey(secret string) {
	for name, server := range f.servers {
		assert.Assert(f.t, !strings.Contains(server.Received(), secret), "%s saw the key", name)
	}
	klog.Flush()
	assert.Assert(f.t, logs.contains(`"request"`), "nothing was logged")
	assert.Assert(f.t, !logs.contains(secret), "the logs hold the key")
	for name, gate := range f.gates {
		response, err := http.Get("http://" + gate.CallerAddress.String() + "/v1/metrics")
		assert.NilError(f.t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(f.t, err)
		assert.NilError(f.t, response.Body.Close())
		assert.Assert(f.t, !strings.Contains(string(text), secret), "the metrics of %s hold the key", name)
	}
}

// TestWithdrawalInsideAnIsolatedRegion withdraws a key at the south's keeper
// while the south is cut off: it stops there at once and the answer says that
// it is pending. Elsewhere the key stops counting because its home is silent.
// After healing the withdrawal is in the log.
func TestWithdrawalInsideAnIsolatedRegion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	secret, id := f.give("roaming", "south")
	for _, gate := range []string{"s1", "n1"} {
		f.eventually("key works at "+gate, func() error { return f.wants(gate, secret, http.StatusOK, "") })
	}
	f.links.isolate("south")
	assert.NilError(t, f.client.Only("k3"))
	outcome, err := f.client.Withdraw(context.Background(), "withdraw", id)
	assert.NilError(t, err)
	assert.Assert(t, !outcome.Accepted)
	assert.Assert(t, !outcome.Quorum)
	f.eventually("key stopped at home", func() error { return f.wants("s1", secret, http.StatusUnauthorized, "key-withdrawn") })
	f.eventually("key stopped elsewhere", func() error {
		return f.wants("n1", secret, http.StatusServiceUnavailable, "key-home-unreachable")
	})
	f.links.heal()
	f.eventually("withdrawal heard elsewhere", func() error { return f.wants("n1", secret, http.StatusUnauthorized, "key-withdrawn") })
	f.eventually("withdrawal in the log", func() error {
		status, err := f.client.Status(context.Background())
		if err == nil && len(status.Pending) > 0 {
			err = fmt.Errorf("pending: %v", status.Pending)
		}
		return err
	})
}

// wants checks the status and the code of one request.
func (f *testFleet) wants(gate, secret string, status int, code string) error {
	got, body := f.ask(gate, secret, "/v1/chat/completions", question, nil)
	if got != status || codeOf(body) != code {
		return fmt.Errorf("%s: status %d: %s", gate, got, body)
	}
	return nil
}

// TestKeysAreOfTheirWorkspace checks who may ask for what.
func TestKeysAreOfTheirWorkspace(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	member, _ := f.give("members", "")
	f.eventually("key works", func() error { return f.wants("n1", member, http.StatusOK, "") })
	tests := []struct {
		name   string
		gate   string
		secret string
		path   string
		status int
		code   string
	}{
		{name: "no key", gate: "n1", path: "/v1/chat/completions", status: 401, code: "key-missing"},
		{name: "not a key", gate: "n1", secret: "bh-short", path: "/v1/chat/completions", status: 401, code: "key-malformed"},
		{name: "a key nobody was given", gate: "n1", secret: "bh-AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", path: "/v1/chat/completions", status: 401, code: "key-unknown"},
		{name: "open route", gate: "n1", path: "/hours", status: 200},
		{name: "no such route", gate: "n1", secret: member, path: "/nothing", status: 404, code: "route-unknown"},
		{name: "bound work elsewhere", gate: "s1", secret: member, path: "/v1/chat/completions", status: 307, code: "home-elsewhere"},
		{name: "key in the request", gate: "n1", secret: member, path: "/v1/chat/completions?key=" + member, status: 400, code: "key-in-request"},
		{name: "key in the request, encoded", gate: "n1", secret: member, path: "/v1/chat/completions?key=%62" + member[1:], status: 400, code: "key-in-request"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, body := f.ask(test.gate, test.secret, test.path, question, nil)
			assert.Equal(t, status, test.status, body)
			assert.Equal(t, codeOf(body), test.code)
		})
	}
	assert.Assert(t, strings.Contains(f.servers["engine-n"].Received(), "Boragehead-Workspace: members"))
	assert.Assert(t, !strings.Contains(f.servers["engine-s"].Received(), "Boragehead-Workspace: members"))
}
