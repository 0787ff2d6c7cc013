package forwarder

import (
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/measurer"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// TestFullServerHasNotCrashed guards against evidence from servers that reset all
// connections beyond their limit: under load those would accuse the parts of any
// prompt.
func TestFullServerHasNotCrashed(t *testing.T) {
	tests := []struct {
		name string
		// served is how many connections the server keeps before it resets others.
		served int
		// resetAfter is how long a connection stands before it is reset.
		resetAfter time.Duration
		crashes    int
	}{
		{"resets connections at once", 0, 0, 0},
		{"serves another request meanwhile", 1, 200 * time.Millisecond, 0},
		{"ends while it works on its only request", 0, 200 * time.Millisecond, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			q := &fixedQuarantine{}
			g := quarantineGateway(t, q, definer.Route{Kind: definer.KindIdempotent, Attempts: 1, Timeout: 3 * time.Second})
			g.fleet.servers = []registrar.Server{{Name: "s", Address: resettingServer(t, test.served, test.resetAfter)}}
			var requests sync.WaitGroup
			for range test.served + 1 {
				requests.Go(func() { _, _, _ = g.do("POST", "/a", "x", "Parts", "1 2") }) // some are broken off
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			crashes, _ := q.counts()
			assert.Equal(t, crashes, test.crashes)
			requests.Wait()
		})
	}
}

// resettingServer listens and keeps some connections without an answer. It resets
// the next one after a while, and all later ones at once.
func resettingServer(t *testing.T, kept int, resetAfter time.Duration) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var open []net.Conn
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
		for _, conn := range open {
			_ = conn.Close()
		}
	})
	go func() {
		defer close(done)
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			switch {
			case err != nil:
				return
			case number < kept:
				open = append(open, conn)
				continue
			case number == kept:
				time.Sleep(resetAfter)
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestServerLoadsAreCounted guards against malformed loads that nobody sees, and against a
// counter of notices that counts every response of a server that reports its load.
func TestServerLoadsAreCounted(t *testing.T) {
	metrics, load := measurer.New(), placer.ServerLoad{Reported: true, Slowdown: 250}
	f := &Forwarder{fleet: &testFleet{}, metrics: metrics}
	f.recordNotice(1, "s", ResponseInfo{Notice: placer.Notice{Load: load}})
	f.recordNotice(1, "s", ResponseInfo{Notice: placer.Notice{Load: load, Unlimited: true}})
	f.recordNotice(1, "s", ResponseInfo{Notice: placer.Notice{Load: load, Leaving: true}})
	f.recordNotice(1, "s", ResponseInfo{InvalidLoad: "1,2"})
	recorder := httptest.NewRecorder()
	metrics.ServeHTTP(recorder, nil)
	text := recorder.Body.String()
	assert.Assert(t, strings.Contains(text, "invalid-server-loads 1\n") && strings.Contains(text, "server-notices 1\n"), text)
}
