package conductor

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestConnectionsAreQuietOnceAllAreIdle(t *testing.T) {
	const least = time.Second
	cases := []struct {
		name   string
		states []http.ConnState
		after  time.Duration
		quiet  bool
	}{
		{"none", nil, 0, true},
		{"new", []http.ConnState{http.StateNew}, time.Minute, false},
		{"at work", []http.ConnState{http.StateNew, http.StateActive}, time.Minute, false},
		{"idle for a moment", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, least / 2, false},
		{"idle for long", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 2 * least, true},
		{"closed", []http.ConnState{http.StateNew, http.StateActive, http.StateClosed}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var connections Connections
			conn, other := net.Pipe()
			defer func() { _, _ = conn.Close(), other.Close() }()
			for _, state := range c.states {
				connections.Track(conn, state)
			}
			now := time.Now().Add(time.Nanosecond)
			assert.Equal(t, connections.Quiet(now.Add(c.after), now, least), c.quiet)
			assert.Assert(t, connections.Quiet(now, now.Add(-time.Minute), least), "a later connection counts")
		})
	}
}
