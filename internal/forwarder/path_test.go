package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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
		assert.Equal(t, string(body), target)
		assert.NilError(t, conn.Close())
	}
}
