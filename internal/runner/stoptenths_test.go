package runner_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestSentLateInStopEndsWithoutAnswer sends streams and bookings, which may not run twice,
// in each tenth of a stop whose limit the streams outlast.
func TestRequestSentLateInStopEndsWithoutAnswer(t *testing.T) {
	t.Parallel()
	const stopLimit, tenths = 2 * time.Second, 10
	f := newFleet(t)
	secret, _ := f.createKey("roaming", "north")
	f.stopByName["n1"]()
	gate := f.gates["n1"]
	gate.StopLimit, gate.StopLinger = stopLimit, stopLimit
	f.gates["n1"] = gate
	f.startGate("n1")
	f.eventually("n1 is back", func() error { return f.checkChat("n1", secret, http.StatusOK, "") })
	f.backends["engine-n"].TokenInterval = 300 * time.Millisecond
	var requests sync.WaitGroup
	requests.Go(f.stopByName["n1"])
	for tenth := range tenths {
		header := http.Header{"Idempotency-Key": {fmt.Sprint(tenth)}}
		for path, body := range map[string]string{"/swaps": fmt.Sprint("late-", tenth), "/v1/chat/completions": strings.Replace(chatBody, "when", fmt.Sprint(tenth), 1)} {
			requests.Go(func() {
				status, answer := f.post("n1", secret, path, body, header)
				refused := errorCode(answer) != "" || status == 0 && strings.Contains(answer, "connection refused")
				whole := path == "/swaps" || strings.Contains(answer, "[DONE]") || strings.Contains(answer, "event: error")
				assert.Check(t, refused || status == http.StatusOK && whole, "%s in tenth %d: status %d: %s", path, tenth, status, answer)
			})
		}
		time.Sleep(stopLimit / tenths)
	}
	requests.Wait()
	for body, runs := range f.backends["booking-n"].RunsByBody() {
		assert.Check(t, runs == 1, "%s ran %d times", body, runs)
	}
	f.startGate("n1")
}
