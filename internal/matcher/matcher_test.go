package matcher_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/matcher"
)

// TestMatch sends requests over one kept connection and checks what each of them knows of
// those before it.
func TestMatch(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	transport := &http.Transport{DialContext: matcher.Remember((&net.Dialer{}).DialContext)}
	t.Cleanup(transport.CloseIdleConnections)
	steps := []struct {
		id                string
		answered, discard bool
		reused, repeated  bool
	}{
		{id: "a", answered: true},
		{id: "a", reused: true},                                 // it was answered
		{id: "b", reused: true},                                 // a is open
		{id: "a", answered: true, reused: true, repeated: true}, // an answer does not settle the earlier one
		{id: "a", reused: true, repeated: true},
		{id: "b", reused: true, repeated: true, discard: true},
		{id: "a"}, // a new connection
	}
	for _, step := range steps {
		match := &matcher.Match{}
		assert.Assert(t, !match.Connected())
		request, err := http.NewRequestWithContext(match.Follow(t.Context(), step.id), http.MethodGet, server.URL, nil)
		assert.NilError(t, err)
		response, err := transport.RoundTrip(request)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Assert(t, match.Connected())
		assert.Equal(t, match.Reused(), step.reused, "%+v", step)
		assert.Equal(t, match.Repeated(), step.repeated, "%+v", step)
		if step.answered {
			match.Answered()
		}
		if step.discard {
			match.Discard()
		}
	}
}
