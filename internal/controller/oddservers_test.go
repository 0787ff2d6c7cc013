package controller

import (
	"bytes"
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/registrar"
)

// watchOnce sends a watch as an entry instance does, and returns what a reader that does
// without the odd entries has of it.
func watchOnce(t *testing.T, to *control, query WatchQuery) (WatchAnswer, error) {
	client := messenger.NewPlainClient(certifier.Identity{Name: "a", Role: certifier.RoleGate})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	peer := to.settings.PeerAddress
	return messenger.Call[WatchQuery, WatchAnswer](ctx, client, messenger.Endpoint{Name: peer.String(), Address: peer}, MethodWatch, query)
}

// TestOddServerOfPeerStopsNobody has a control instance of another release pass on what
// cannot be a server, among one that is. No control instance may pass it on, and entry
// instances must be able to read their lists.
func TestOddServerOfPeerStopsNobody(t *testing.T) {
	t.Parallel()
	sound := registrar.Server{
		Name: "sound", Service: "s", FailureDomain: "n", Address: netip.MustParseAddrPort("10.0.0.9:80"), StartedAtMillis: time.Now().UnixMilli(), Counter: 1,
	}
	odd := func(change func(*registrar.Server)) registrar.Server {
		server := sound
		server.Name = "odd"
		change(&server)
		return server
	}
	tests := []struct {
		name string
		odd  registrar.Server
	}{
		{"name not UTF-8", odd(func(s *registrar.Server) { s.Name = "\xff" })},
		{"tombstone not UTF-8", registrar.Server{Name: "\xfe", State: registrar.StateGone, StartedAtMillis: 17}},
		{"unknown state", odd(func(s *registrar.Server) { s.State = 9 })},
		{"start in the future at the address of another", odd(func(s *registrar.Server) { s.StartedAtMillis = math.MaxInt64 })},
		{"announced in the future", odd(func(s *registrar.Server) { s.Age = -time.Hour })},
		{"largest counter of another", odd(func(s *registrar.Server) { s.Name, s.Counter = sound.Name, math.MaxUint64 })},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			client := messenger.NewPlainClient(certifier.Identity{Name: "old", Role: certifier.RoleKeeper})
			defer client.Close()
			peer := f.controls[0].settings.PeerAddress
			_, err := messenger.Call[forwardQuery, forwardAnswer](t.Context(), client, messenger.Endpoint{Name: peer.String(), Address: peer}, methodForward,
				forwardQuery{Servers: registrar.List{test.odd, sound}})
			assert.NilError(t, err)
			for _, c := range f.controls {
				f.eventually(c.settings.Name+" lists the sound server", func() bool {
					answer, err := watchOnce(t, c, WatchQuery{Name: "a", Region: "north"})
					return err == nil && len(answer.Servers) == 1 && answer.Servers[0].Name == sound.Name && answer.Servers[0].Counter == sound.Counter &&
						answer.Servers[0].State == registrar.StateReady
				})
			}
		})
	}
}

// TestOddLogEntryChangesNothing applies log entries that cannot be decoded, as after each
// start. The state stays, and what follows is applied.
func TestOddLogEntryChangesNothing(t *testing.T) {
	encode := func(value any) []byte {
		data, err := cbor.Marshal(value)
		assert.NilError(t, err)
		return data
	}
	tests := []struct {
		name string
		data []byte
	}{
		{"empty", nil},
		{"no map", encode(7)},
		{"nested deeply", bytes.Repeat([]byte{0x81}, 1<<20)},
		{"domain not UTF-8", encode(command{CloseDomain: &closeCommand{FailureDomain: "\xff", Closed: true}})},
		{"version too large", encode(map[string]any{"d": map[string]any{"v": 1e300}})},
		{"document of another type", encode(map[string]any{"d": map[string]any{"v": 9, "d": map[int]int{1: 2}}})},
		{"unknown command", encode(map[string]any{"x": 1})},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := &stateMachine{}
			first, err := encodedDefine("4 a")
			assert.NilError(t, err)
			second, err := encodedDefine("5 b")
			assert.NilError(t, err)
			m.Apply(1, first)
			want := m.state()
			m.Apply(2, test.data)
			assert.DeepEqual(t, m.state(), want)
			m.Apply(3, second)
			assert.Equal(t, string(m.state().Document), "5 b")
		})
	}
}
