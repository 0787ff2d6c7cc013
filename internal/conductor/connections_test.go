package conductor

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAllIdleOnceEveryConnectionIsIdle(t *testing.T) {
	const minIdle = time.Second
	cases := []struct {
		name    string
		states  []http.ConnState
		elapsed time.Duration
		allIdle bool
	}{
		{"none", nil, 0, true},
		{"new", []http.ConnState{http.StateNew}, time.Minute, false},
		{"active, never idle", []http.ConnState{http.StateNew, http.StateActive}, time.Minute, false},
		{"idle for less than the minimum", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, minIdle / 2, false},
		{"idle for more than the minimum", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 2 * minIdle, true},
		{"closed", []http.ConnState{http.StateNew, http.StateActive, http.StateClosed}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tracker ConnTracker
			conn, other := net.Pipe()
			defer func() { _, _ = conn.Close(), other.Close() }()
			for _, state := range c.states {
				tracker.Track(conn, state)
			}
			now := time.Now().Add(time.Nanosecond)
			assert.Equal(t, tracker.AllIdle(now.Add(c.elapsed), now, minIdle), c.allIdle)
			assert.Assert(t, tracker.AllIdle(now, now.Add(-time.Minute), minIdle), "a connection opened later must not count")
		})
	}
}

// TestCloseIdleSparesConnectionThatSends closes connections at some time after their last
// change of state: none of which a byte has been read or waits to be read.
func TestCloseIdleSparesConnectionThatSends(t *testing.T) {
	const sent = "GET / HTTP/1.1\r\n"
	for _, c := range []struct {
		name   string
		state  http.ConnState
		text   string
		read   bool
		after  time.Duration
		closed bool
	}{
		{"just accepted", http.StateNew, "", false, minNewIdle / 2, false},
		{"nothing sent", http.StateNew, "", false, minNewIdle, true},
		{"head half read", http.StateNew, sent, true, time.Minute, false},
		{"head not read yet", http.StateNew, sent, false, time.Minute, false},
		{"just answered", http.StateIdle, "", false, minCloseIdle / 2, false},
		{"idle", http.StateIdle, "", false, minCloseIdle, true},
		{"next head not read yet", http.StateIdle, sent, false, time.Minute, false},
		{"served", http.StateActive, "", false, time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller, accepted := acceptOne(t)
			var tracker ConnTracker
			tracker.Track(accepted, c.state)
			_, err := io.WriteString(caller, c.text)
			assert.NilError(t, err)
			if c.read {
				_, err = accepted.Read(make([]byte, len(c.text)))
				assert.NilError(t, err)
			}
			time.Sleep(minCloseIdle) // until what was sent has arrived
			others := tracker.CloseIdle(time.Now().Add(c.after-minCloseIdle), minCloseIdle)
			assert.Equal(t, others == 0, c.closed)
		})
	}
}
