package conductor

import (
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
