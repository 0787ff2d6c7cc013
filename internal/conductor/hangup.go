package conductor

import (
	"context"

	"golang.org/x/sys/unix"
)

// HasHungUp reports whether the caller of a request has closed its connection. The context is
// that of the request, whose server is part of a [DrainableServer]; otherwise the result is
// whether the context has ended.
//
// The context alone does not say so in time: net/http looks at the connection in another
// goroutine.
func HasHungUp(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, _ := ctx.Value(connKey{}).(*portConn)
	return conn != nil && polls(conn.TCPConn, unix.POLLRDHUP)
}
