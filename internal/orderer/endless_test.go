package orderer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/orderer"
)

// TestEndlessAnswerToOrderFillsMemory covers an engine that answers an order with
// bytes without end.
func TestEndlessAnswerToOrderFillsMemory(t *testing.T) {
	const endlessBytes, maxUnreadBytes = 256 << 20, 9 << 20
	tests := []struct {
		name, head, piece string
		// accepted means that the head says that the engine took the order.
		accepted bool
	}{
		{name: "header line", head: "HTTP/1.1 200 OK\r\nX-Long: ", piece: "a"},
		{name: "interim responses", piece: "HTTP/1.1 102 Processing\r\n\r\n"},
		{name: "other protocol", head: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", piece: "a"},
		{name: "status that is none", head: "HTTP/1.1 000 Trouble\r\n\r\n", piece: "a"},
		{name: "blank in a field name", head: "HTTP/1.1 200 OK\r\nX Odd: a\r\n\r\n", piece: "a"},
		{name: "body", head: "HTTP/1.1 200 OK\r\n\r\n", piece: "a", accepted: true},
		{name: "body of a refusal", head: "HTTP/1.1 409 Conflict\r\n\r\n", piece: "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			var sent atomic.Int64
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4<<10))
				_, err = io.WriteString(conn, test.head)
				part := bytes.Repeat([]byte(test.piece), 2000)
				for err == nil && sent.Load() < endlessBytes {
					var n int
					n, err = conn.Write(part)
					sent.Add(int64(n))
				}
			}()
			address := netip.MustParseAddrPort(listener.Addr().String())
			ticket := orderer.Ticket{Order: orderer.Order{Server: "s", Kind: orderer.KindLoadModel}, Number: 1}
			err = (&orderer.Sender{}).Send(context.Background(), address, ticket, time.Now())
			assert.Equal(t, err == nil, test.accepted, "%v", err)
			<-closed
			t.Logf("%d KiB sent", sent.Load()>>10)
			assert.Check(t, sent.Load() < maxUnreadBytes, "%d bytes were sent", sent.Load())
		})
	}
}
