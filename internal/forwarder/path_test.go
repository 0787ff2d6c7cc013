package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
)

// echoTarget answers with the path and query that the server was sent.
func echoTarget(w http.ResponseWriter, r *http.Request) {
	signResponse(w, r)
	_, _ = io.WriteString(w, r.RequestURI)
}

// TestPathIsChangedOnTheWay guards against servers that are sent another path than the caller's.
func TestPathIsChangedOnTheWay(t *testing.T) {
	targets := []string{
		"/a/argon-2|kch?x=1",
		"/a/{2}^kch\\b",
		"/a/b%2Fc%20d",
		"/a/\xc3\xa9%C3%A9",
		"/a/b?q=a|b#c",
	}
	g := newTestGateway(t, definer.Route{Prefix: "/a/", Kind: definer.KindIdempotent, Attempts: 1}, echoTarget, echoTarget, echoTarget, echoTarget, echoTarget)
	for _, target := range targets {
		conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: gateway\r\nId: r1\r\nKey: key-one\r\nConnection: close\r\n\r\n", target)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, string(body), target)
		assert.NilError(t, conn.Close())
	}
}

// TestEncodedSlashSelectsRoute guards against routes that are chosen by a decoded path: an encoded
// slash is no slash between two segments, and a prefix may be encoded itself.
func TestEncodedSlashSelectsRoute(t *testing.T) {
	view := definer.NewView(definer.Definition{Routes: []definer.Route{
		{Name: "stock", Host: "gateway", Prefix: "/stock/"}, {Name: "kch", Host: "gateway", Prefix: "/stock/kch/"},
		{Name: "argon", Host: "gateway", Prefix: "/argon%20gas/"},
	}})
	cases := []struct{ target, route string }{
		{"/stock/kch/17", "kch"},
		{"/stock/kch%2F17", "stock"},
		{"http://gateway/stock/kch%2F17?x=/", "stock"},
		{"/argon%20gas/1", "argon"},
		{"/argon%2520gas/1", ""},
	}
	for _, c := range cases {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + c.target + " HTTP/1.1\r\nHost: gateway\r\n\r\n")))
		assert.NilError(t, err)
		route, err := view.Route("gateway", sentPath(request))
		assert.Assert(t, err == nil && route.Name == c.route || err != nil && c.route == "", "%s: %v", c.target, err)
	}
}
