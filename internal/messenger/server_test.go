package messenger

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/certifier"
)

// TestServerEndsThoughAPeerGreetsLate lets a peer say who it is after the server
// has closed the connections that it knew.
func TestServerEndsThoughAPeerGreetsLate(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewPlainServer(listener, &Mux{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	// A second connection that is served shows that the first was accepted.
	other, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	_, err = greet(ctx, other, certifier.Identity{Name: "b", Role: certifier.RoleKeeper})
	assert.NilError(t, err)
	for held := 0; held == 0; {
		server.mu.Lock()
		held = len(server.conns)
		server.mu.Unlock()
	}
	cancel()
	server.close()
	_, err = greet(context.Background(), conn, certifier.Identity{Name: "a", Role: certifier.RoleKeeper})
	assert.NilError(t, err)
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the server does not end")
	}
}
