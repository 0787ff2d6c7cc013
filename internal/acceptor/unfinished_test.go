package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/exchanger"
)

type noObserver struct{}

func (noObserver) Observe(*exchanger.Exchange, *exchanger.Refusal) {}

// TestUnfinishedBodyWithholdsRefusal has a caller stop within its body.
func TestUnfinishedBodyWithholdsRefusal(t *testing.T) {
	server := httptest.NewServer(New(func(context.Context, *exchanger.Exchange) *exchanger.Refusal {
		return exchanger.Refuse(http.StatusNotFound, exchanger.CodeRouteUnknown, "no route has this path")
	}, noObserver{}, nil))
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 50\r\n\r\nhello")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	_ = response.Body.Close()
}
