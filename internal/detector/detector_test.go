package detector

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSignOfEnd tries addresses where no server answers any more, and such where
// one may.
func TestSignOfEnd(t *testing.T) {
	listen := func(handle func(net.Conn)) netip.AddrPort {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				handle(conn)
			}
		}()
		return netip.MustParseAddrPort(listener.Addr().String())
	}
	var mu sync.Mutex
	var accepted []net.Conn
	keep := func(conn net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		accepted = append(accepted, conn)
	}
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range accepted {
			_ = conn.Close()
		}
	})
	reset := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	full := true
	resetFirst := func(conn net.Conn) {
		if full {
			full = false
			reset(conn)
			return
		}
		keep(conn)
	}
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, nobody.Close())
	tests := []struct {
		name    string
		address netip.AddrPort
		want    endSign
	}{
		{"nobody listens", netip.MustParseAddrPort(nobody.Addr().String()), signRefused},
		{"all connections are reset", listen(reset), signResets},
		{"connections stay open", listen(keep), signNone},
		{"a full server resets a connection", listen(resetFirst), signNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, signOfEnd(test.address), test.want)
		})
	}
}
