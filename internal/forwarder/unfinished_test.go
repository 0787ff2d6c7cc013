package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
)

// unfinishedTimeout is the route's timeout in the tests of unfinished bodies, and
// finalAnswerLimit is how much later the final answer must be there.
const (
	unfinishedTimeout = 400 * time.Millisecond
	finalAnswerLimit  = 500 * time.Millisecond
)

// unfinishedBodies are beginnings of requests whose bodies do not go on.
var unfinishedBodies = []struct {
	name, text string
}{
	{"chunk header due", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"},
	{"within a chunk", "Transfer-Encoding: chunked\r\n\r\n50\r\nhello"},
	{"no chunk", "Transfer-Encoding: chunked\r\n\r\n"},
	{"within a length", "Content-Length: 50\r\n\r\nhello"},
	{"nothing of a length", "Content-Length: 50\r\n\r\n"},
}

// exchangeUnfinished sends a request whose body does not go on, and returns the answer
// and how long it took to be complete.
func exchangeUnfinished(t *testing.T, address, path, key, rest string) (status int, body string, took time.Duration) {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	started := time.Now()
	_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: gateway\r\nId: r1\r\nKey: "+key+"\r\n"+rest)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(started.Add(3*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error(), time.Since(started)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(text), time.Since(started)
}

func TestUnfinishedBodyIsAnsweredAtTheTimeout(t *testing.T) {
	g := newTestGateway(t, definer.Route{Timeout: unfinishedTimeout}, respond(http.StatusOK, "never"))
	for _, c := range unfinishedBodies {
		t.Run(c.name, func(t *testing.T) {
			status, body, took := exchangeUnfinished(t, g.server.Listener.Addr().String(), "/", "key-one", c.text)
			assert.Equal(t, status, http.StatusRequestTimeout, body)
			assert.Assert(t, strings.Contains(body, "body-late"), body)
			assert.Assert(t, took < unfinishedTimeout+finalAnswerLimit, "after %v", took)
		})
	}
}

func TestUnfinishedBodyWithholdsRefusal(t *testing.T) {
	g := newTestGateway(t, definer.Route{Timeout: unfinishedTimeout}, respond(http.StatusOK, "never"))
	for _, c := range unfinishedBodies {
		t.Run(c.name, func(t *testing.T) {
			status, body, took := exchangeUnfinished(t, g.server.Listener.Addr().String(), "/", "key-of-nobody", c.text)
			assert.Equal(t, status, http.StatusUnauthorized, body)
			assert.Assert(t, took < finalAnswerLimit, "after %v", took)
		})
	}
}

// TestUnfinishedRelayWithholdsRefusal has an instance refuse a relayed call of another
// region's home before its body is there.
func TestUnfinishedRelayWithholdsRefusal(t *testing.T) {
	fleet := &testFleet{view: newView(definer.Route{})}
	server := httptest.NewServer(New(testDialect{}, fleet, measurer.New(), retryLimit).RelayHandler())
	t.Cleanup(server.Close)
	call := &Call{ID: "r1", Route: &definer.Route{}, Service: &definer.Service{Name: "s"}, Deadline: time.Now().Add(unfinishedTimeout)}
	call.HomeRegions, call.HomeRegionsOnly = []string{"south"}, true
	header, err := encodeRelayedCall(call, "", "", 1)
	assert.NilError(t, err)
	for _, c := range unfinishedBodies {
		t.Run(c.name, func(t *testing.T) {
			status, body, took := exchangeUnfinished(t, server.Listener.Addr().String(), "/", "", headerRelay+": "+header+"\r\n"+c.text)
			assert.Equal(t, status, http.StatusServiceUnavailable, body)
			assert.Assert(t, took < finalAnswerLimit, "after %v", took)
		})
	}
}
