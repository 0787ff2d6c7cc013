package detector

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
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

// crashCounter is a Quarantine that counts crashes, and a Reach with fixed answers.
type crashCounter struct {
	crashes            atomic.Int32
	reaches, announced bool
}

func (c *crashCounter) RecordCrash(time.Time, registrar.Server, quarantiner.Traits) { c.crashes.Add(1) }

func (*crashCounter) RecordSoundBegin(time.Time, registrar.Server, quarantiner.Traits) {}

func (*crashCounter) Count(string) {}

func (c *crashCounter) ReachesOther(registrar.Server) bool { return c.reaches }

func (c *crashCounter) AnnouncedSince(registrar.Server, time.Time) bool { return c.announced }

// TestPromptsAreBlamedForCut guards against requests that are taken to crash servers because
// the instance is cut off from all of them, and against servers that all crash and are taken
// to be cut off.
func TestPromptsAreBlamedForCut(t *testing.T) {
	cases := []struct {
		name               string
		reaches, announced bool
		want               int32
	}{
		{"server ended", true, false, 1},
		{"server ended, not known yet", true, true, 1},
		{"instance cut off", false, true, 0},
		{"all servers ended", false, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			nobody, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			assert.NilError(t, nobody.Close())
			server := registrar.Server{Name: "a", StartedAtMillis: 1, Address: netip.MustParseAddrPort(nobody.Addr().String())}
			counter := &crashCounter{reaches: c.reaches, announced: c.announced}
			d := &Detector{Quarantine: counter, Metrics: counter, Reach: counter}
			d.Finish(d.Observe(server, quarantiner.Traits{Request: 1}), false, false, EndedByReset)
			time.Sleep(announcementTime + 500*time.Millisecond)
			assert.Equal(t, counter.crashes.Load(), c.want)
		})
	}
}
