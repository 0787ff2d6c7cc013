package registrar

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// soundServer returns a server that passes Check at the time start.
func soundServer(name string) Server {
	return Server{
		Name: name, Service: "s", Address: addressA, FailureDomain: "z", Version: "v1", Slots: 64,
		Warmup: 3 * time.Second, StartedAtMillis: start.UnixMilli() - 1000, Counter: 3,
	}
}

// TestImpossibleServerIsInvalid checks every field of a server for values that no server
// can have, and for the extreme ones that it can.
func TestImpossibleServerIsInvalid(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *Server)
		// want is in the error; empty if the server is valid.
		want string
	}{
		{"sound", func(*Server) {}, ""},
		{"start not known", func(s *Server) { s.StartedAtMillis = 0 }, ""},
		{"clock ahead", func(s *Server) { s.StartedAtMillis = start.Add(MaxClockError).UnixMilli() }, "counter"},
		{"clock ahead, first announcement", func(s *Server) { s.StartedAtMillis, s.Counter = start.Add(MaxClockError).UnixMilli(), 0 }, ""},
		{"start in the future", func(s *Server) { s.StartedAtMillis = start.Add(MaxClockError).UnixMilli() + 1 }, "start"},
		{"largest start", func(s *Server) { s.StartedAtMillis = math.MaxInt64 }, "start"},
		{"smallest start", func(s *Server) { s.StartedAtMillis = math.MinInt64 }, "start"},
		{"largest counter", func(s *Server) { s.Counter = math.MaxUint64 }, "counter"},
		{"largest counter, start not known", func(s *Server) { s.StartedAtMillis, s.Counter = 0, math.MaxUint64 }, "counter"},
		{"many announcements", func(s *Server) { s.Counter = 61_000 }, ""},
		{"no name", func(s *Server) { s.Name = "" }, "name"},
		{"name not UTF-8", func(s *Server) { s.Name = "\xff" }, "name: not UTF-8"},
		{"line break in the name", func(s *Server) { s.Name = "a\nb" }, "name: has control"},
		{"name in another script", func(s *Server) { s.Name = "сервер-1" }, ""},
		{"long name", func(s *Server) { s.Name = strings.Repeat("n", MaxTextBytes+1) }, "name: 257 bytes"},
		{"longest name", func(s *Server) { s.Name = strings.Repeat("n", MaxTextBytes) }, ""},
		{"service not UTF-8", func(s *Server) { s.Service = "\xff" }, "service: not UTF-8"},
		{"no service", func(s *Server) { s.Service = "" }, "service"},
		{"no failure domain", func(s *Server) { s.FailureDomain = "" }, "failure domain"},
		{"long version", func(s *Server) { s.Version = strings.Repeat("v", 60<<10) }, "version"},
		{"negative slots", func(s *Server) { s.Slots = math.MinInt }, "slots"},
		{"too many slots", func(s *Server) { s.Slots = math.MaxInt }, "slots"},
		{"no slots", func(s *Server) { s.Slots = 0 }, ""},
		{"negative warm-up", func(s *Server) { s.Warmup = math.MinInt64 }, "warm-up"},
		{"long warm-up", func(s *Server) { s.Warmup = math.MaxInt64 }, "warm-up"},
		{"long remaining time", func(s *Server) { s.Remaining = math.MaxInt64 }, "remaining"},
		{"negative age", func(s *Server) { s.Age = math.MinInt64 }, "age"},
		{"unknown state", func(s *Server) { s.State = 7 }, "state"},
		{"no address", func(s *Server) { s.Address = netip.AddrPort{} }, "address"},
		{"port 0", func(s *Server) { s.Address = netip.MustParseAddrPort("10.0.0.1:0") }, "address"},
		{"unspecified", func(s *Server) { s.Address = netip.MustParseAddrPort("0.0.0.0:80") }, "address"},
		{"multicast", func(s *Server) { s.Address = netip.MustParseAddrPort("224.0.0.1:80") }, "address"},
		{"broadcast", func(s *Server) { s.Address = netip.MustParseAddrPort("255.255.255.255:80") }, "address"},
		{"zone", func(s *Server) { s.Address = netip.MustParseAddrPort("[fe80::1%zone]:80") }, "address"},
		{"IPv4-mapped", func(s *Server) { s.Address = netip.MustParseAddrPort("[::ffff:10.0.0.1]:80") }, "address"},
		{"IPv6", func(s *Server) { s.Address = netip.MustParseAddrPort("[2001:db8::1]:80") }, ""},
		{"gone, known by its name alone", func(s *Server) { *s = Server{Name: "a", State: StateGone} }, ""},
		{"gone, in the future", func(s *Server) { *s = Server{Name: "a", State: StateGone, StartedAtMillis: math.MaxInt64} }, "start"},
		{"gone, not UTF-8", func(s *Server) { *s = Server{Name: "\xff", State: StateGone} }, "name"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := soundServer("a")
			test.change(&server)
			err := server.Check(start)
			if test.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, ErrInvalid)
			assert.ErrorContains(t, err, test.want)
			assert.Assert(t, len(err.Error()) < 2*MaxTextBytes, "the error has %d bytes", len(err.Error()))
		})
	}
}

// TestUndecodableEntryHidesOthers decodes a list with an entry in the middle that the
// codec refuses, as one of another release may be. The others must hold.
func TestUndecodableEntryHidesOthers(t *testing.T) {
	encode := func(value any) []byte {
		data, err := cbor.Marshal(value)
		assert.NilError(t, err)
		return data
	}
	notText := soundServer("odd")
	notText.Name = "\xff"
	tests := []struct {
		name string
		odd  []byte
	}{
		{"name not UTF-8", encode(notText)},
		{"field of another type", encode(map[string]any{"n": "odd", "s": 7})},
		{"number too large", encode(map[string]any{"n": "odd", "l": uint64(math.MaxUint64)})},
		{"state too large", encode(map[string]any{"n": "odd", "t": 256})},
		{"address of another type", encode(map[string]any{"n": "odd", "a": []int{1}})},
		{"port out of range", encode(map[string]any{"n": "odd", "a": "10.0.0.1:65536"})},
		{"no map", encode(3)},
		{"null", encode(nil)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data := encode([]cbor.RawMessage{encode(soundServer("a")), test.odd, encode(soundServer("b"))})
			var list List
			assert.NilError(t, cbor.Unmarshal(data, &list))
			skipped := 0
			list = list.Valid(start, func(string, error) { skipped++ })
			assert.Equal(t, skipped, 1)
			assert.Equal(t, len(list), 2)
			assert.Equal(t, list[0], soundServer("a"))
			assert.Equal(t, list[1], soundServer("b"))
		})
	}
}

// TestReaderWithSlowClockHidesServer has a process read what another one has taken, by a
// clock that is as far ahead as clocks may be. It is not sent again until it changes.
func TestReaderWithSlowClockHidesServer(t *testing.T) {
	server := soundServer("a")
	server.StartedAtMillis = start.Add(MaxClockError).UnixMilli()
	server.Counter = 0
	assert.NilError(t, server.Check(start))
	readerNow := start.Add(-MaxClockError)
	assert.Equal(t, len(List{server}.Valid(readerNow, func(string, error) {})), 1)
	server.StartedAtMillis = readerNow.Add(3 * MaxClockError).UnixMilli()
	assert.Equal(t, len(List{server}.Valid(readerNow, func(string, error) {})), 0)
}

// TestDepartureOfLaterStartIsSkipped has a server that has run for days start again under
// its name and leave before its first announcement: other processes must hear that.
func TestDepartureOfLaterStartIsSkipped(t *testing.T) {
	server := soundServer("a")
	server.StartedAtMillis = start.Add(-72 * time.Hour).UnixMilli()
	server.Counter = uint64((72 * time.Hour) / (1200 * time.Millisecond))
	var table Table
	assert.NilError(t, table.Announce(start, server))
	table.RecordDeparture(start, server.Name, start.UnixMilli())
	reported := List(table.Since(start, 0)).Valid(start, func(_ string, err error) { t.Error(err) })
	assert.Equal(t, len(reported), 1)
	assert.Equal(t, reported[0].State, StateGone)
}
