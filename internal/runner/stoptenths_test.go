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
		requests.Go(func() {
			status, body := f.post("n1", secret, "/swaps", fmt.Sprint("late-", tenth), header)
			refused := status == 0 && strings.Contains(body, "connection refused")
			assert.Check(t, status == http.StatusOK || refused || errorCode(body) != "", "tenth %d: status %d: %s", tenth, status, body)
		})
		requests.Go(func() {
			status, body := f.post("n1", secret, "/v1/chat/completions", strings.Replace(chatBody, "when", fmt.Sprint("when ", tenth), 1), nil)
			refused := status == 0 && strings.Contains(body, "connection refused")
			ended := strings.Contains(body, "[DONE]") || strings.Contains(body, "event: error")
			assert.Check(t, status == http.StatusOK && ended || refused || errorCode(body) != "", "tenth %d: status %d: %s", tenth, status, body)
		})
		time.Sleep(stopLimit / tenths)
	}
	requests.Wait()
	for body, runs := range f.backends["booking-n"].RunsByBody() {
		assert.Check(t, runs == 1, "%s ran %d times", body, runs)
	}
	f.startGate("n1")
}
