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

// propagationLimit is the longest time that a change may take to apply on all
// instances.
const propagationLimit = 6 * time.Second

// TestWithdrawalEndsOpenStreams withdraws a key that has open streams in its home
// region and in another. Both streams end and new requests are refused. The
// secret must not appear in what backend servers received, the logs, or the
// metrics.
func TestWithdrawalEndsOpenStreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	secret, id := f.createKey("roaming", "north")
	other, _ := f.createKey("roaming", "north")
	releaseNorth, releaseSouth := f.backends["engine-n"].PauseStreams(), f.backends["engine-s"].PauseStreams()
	defer releaseNorth()
	defer releaseSouth()
	streams := map[string]openStream{}
	for _, gate := range []string{"n1", "s1"} {
		f.eventually("stream opened", func() error {
			stream, err := f.openStream(gate, secret)
			streams[gate] = stream
			return err
		})
		assert.NilError(t, <-streams[gate].firstLine)
	}
	withdrawnAt := time.Now()
	outcome, err := f.client.WithdrawKey(context.Background(), "withdraw", id)
	assert.NilError(t, err)
	assert.Assert(t, outcome.Accepted, "%+v", outcome)
	for gate, stream := range streams {
		overdue := time.AfterFunc(propagationLimit, stream.cancel)
		rest := <-stream.rest
		overdue.Stop()
		assert.NilError(t, rest.err)
		assert.Assert(t, strings.Contains(rest.text, "key-withdrawn"), "%s: %s", gate, rest.text)
		assert.Assert(t, !strings.Contains(rest.text, "[DONE]"))
		status, body := f.post(gate, secret, "/v1/chat/completions", chatBody, nil)
		assert.Equal(t, status, http.StatusUnauthorized)
		assert.Equal(t, errorCode(body), "key-withdrawn")
	}
	assert.Assert(t, time.Since(withdrawnAt) < propagationLimit, "took %s", time.Since(withdrawnAt))
	releaseNorth()
	releaseSouth()
	status, _ := f.post("n1", other, "/v1/chat/completions", chatBody, nil)
	assert.Equal(t, status, http.StatusOK)
	f.checkSecretNotExposed(secret)
}

// openStream is a response with status 200. How the read of its first line ended is sent
// first, and its rest when it has ended.
type openStream struct {
	firstLine <-chan error
	rest      <-chan streamRest
	cancel    context.CancelFunc
}

type streamRest struct {
	text string
	err  error
}

// openStream sends a streamed chat request and waits for the head of its response.
func (f *testFleet) openStream(gate, secret string) (openStream, error) {
	ctx, cancel := context.WithCancel(f.t.Context())
	opened, firstLine, rest := make(chan error, 1), make(chan error, 1), make(chan streamRest, 1)
	go func() {
		defer cancel()
		response, err := f.startRequestContext(ctx, gate, secret, "/v1/chat/completions", chatBody, nil)
		if err != nil {
			opened <- err
			return
		}
		if response.StatusCode != http.StatusOK {
			_ = response.Body.Close()
			opened <- fmt.Errorf("status %d", response.StatusCode)
			return
		}
		opened <- nil
		reader := bufio.NewReader(response.Body)
		_, err = reader.ReadString('\n')
		firstLine <- err
		text, err := io.ReadAll(reader)
		if closeErr := response.Body.Close(); err == nil {
			err = closeErr
		}
		rest <- streamRest{text: string(text), err: err}
	}()
	return openStream{firstLine: firstLine, rest: rest, cancel: cancel}, <-opened
}

// checkSecretNotExposed checks that a secret does not appear in what backend
// servers received, the logs, or the metrics.
func (f *testFleet) checkSecretNotExposed(secret string) {
	for name, server := range f.backends {
		assert.Assert(f.t, !strings.Contains(server.Received(), secret), "%s received the key", name)
	}
	klog.Flush()
	assert.Assert(f.t, logs.contains(`"request"`), "nothing was logged")
	assert.Assert(f.t, !logs.contains(secret), "the logs contain the key")
	for name, gate := range f.gates {
		response, err := http.Get("http://" + gate.CallerAddress.String() + "/v1/metrics")
		assert.NilError(f.t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(f.t, err)
		assert.NilError(f.t, response.Body.Close())
		assert.Assert(f.t, !strings.Contains(string(text), secret), "the metrics of %s contain the key", name)
	}
}

// TestWithdrawalInIsolatedRegion withdraws a key at the keeper of an isolated
// region. The key is refused there at once, and the answer says that the
// withdrawal is pending. The other region refuses the key because it has no
// contact with the key's home region. After the partition the withdrawal is in
// the log.
func TestWithdrawalInIsolatedRegion(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	secret, id := f.createKey("roaming", "south")
	for _, gate := range []string{"s1", "n1"} {
		f.eventually("key works at "+gate, func() error { return f.checkChat(gate, secret, http.StatusOK, "") })
	}
	f.links.isolate("south")
	assert.NilError(t, f.client.Only("k3"))
	outcome, err := f.client.WithdrawKey(context.Background(), "withdraw", id)
	assert.NilError(t, err)
	assert.Assert(t, !outcome.Accepted)
	assert.Assert(t, !outcome.Quorum)
	f.eventually("key refused in its home region", func() error { return f.checkChat("s1", secret, http.StatusUnauthorized, "key-withdrawn") })
	f.eventually("key refused in the other region", func() error {
		return f.checkChat("n1", secret, http.StatusServiceUnavailable, "key-home-unreachable")
	})
	f.links.heal()
	f.eventually("withdrawal known in the other region", func() error { return f.checkChat("n1", secret, http.StatusUnauthorized, "key-withdrawn") })
	f.eventually("withdrawal in the log", func() error {
		status, err := f.client.Status(context.Background())
		if err == nil && len(status.Pending) > 0 {
			err = fmt.Errorf("pending: %v", status.Pending)
		}
		return err
	})
}

// checkChat sends a chat request and checks the status and the error code of its
// answer.
func (f *testFleet) checkChat(gate, secret string, status int, code string) error {
	got, body := f.post(gate, secret, "/v1/chat/completions", chatBody, nil)
	if got != status || errorCode(body) != code {
		return fmt.Errorf("%s: status %d: %s", gate, got, body)
	}
	return nil
}

// TestKeyAuthorization checks which requests are served for which keys, and that
// backend servers get the workspace of the key.
func TestKeyAuthorization(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	member, _ := f.createKey("members", "")
	f.eventually("key works", func() error { return f.checkChat("n1", member, http.StatusOK, "") })
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
			status, body := f.post(test.gate, test.secret, test.path, chatBody, nil)
			assert.Equal(t, status, test.status, body)
			assert.Equal(t, errorCode(body), test.code)
		})
	}
	assert.Assert(t, strings.Contains(f.backends["engine-n"].Received(), "Boragehead-Workspace: members"))
	assert.Assert(t, !strings.Contains(f.backends["engine-s"].Received(), "Boragehead-Workspace: members"))
}

// TestWithdrawalFailsAtLaggingKeeper withdraws a key in its isolated home region,
// whose keeper was cut off before the key was created.
func TestWithdrawalFailsAtLaggingKeeper(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.links.cutWhere(func(from, to endpoint) bool { return from.name == "k3" && strings.HasPrefix(to.name, "k") })
	secret, id := f.createKey("roaming", "south")
	f.eventually("key works at s1", func() error { return f.checkChat("s1", secret, http.StatusOK, "") })
	f.links.isolate("south")
	assert.NilError(t, f.client.Only("k3"))
	outcome, err := f.client.WithdrawKey(context.Background(), "withdraw", id)
	assert.NilError(t, err)
	assert.Assert(t, !outcome.Accepted)
	f.eventually("key refused in its home region", func() error { return f.checkChat("s1", secret, http.StatusUnauthorized, "key-withdrawn") })
	f.links.heal()
	f.eventually("withdrawal known in the other region", func() error { return f.checkChat("n1", secret, http.StatusUnauthorized, "key-withdrawn") })
}
