package registrar

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start = time.Unix(1_000_000, 0)
	here  = netip.MustParseAddrPort("10.0.0.1:80")
	there = netip.MustParseAddrPort("10.0.0.2:80")
)

func ready(name string, address netip.AddrPort, born int64, counter uint64) Server {
	return Server{Name: name, Service: "s", Address: address, Born: born, Counter: counter}
}

func leaving(name string, address netip.AddrPort, born int64, counter uint64) Server {
	said := ready(name, address, born, counter)
	said.State = StateLeaving
	return said
}

func TestNewestWordCounts(t *testing.T) {
	tests := []struct {
		name  string
		said  []Server
		state State
		stale int
	}{
		{"late heartbeat after leaving", []Server{ready("a", here, 5, 1), leaving("a", here, 5, 3), ready("a", here, 5, 2)}, StateLeaving, 1},
		{"same name, born again", []Server{leaving("a", here, 5, 9), ready("a", here, 6, 1)}, StateReady, 0},
		{"late word of an earlier birth", []Server{ready("a", here, 6, 1), leaving("a", here, 5, 9)}, StateReady, 1},
		{"doubled heartbeat", []Server{ready("a", here, 5, 1), ready("a", here, 5, 1)}, StateReady, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var table Table
			stale := 0
			for _, said := range test.said {
				if table.Announce(start, said) != nil {
					stale++
				}
			}
			got, known := table.Lookup(start, "a")
			assert.Assert(t, known)
			assert.Equal(t, got.State, test.state)
			assert.Equal(t, stale, test.stale)
		})
	}
}

func TestGoodbyeEndsABirthForGood(t *testing.T) {
	var table Table
	assert.NilError(t, table.Announce(start, ready("a", here, 5, 1)))
	table.Leave(start, "a", 0)
	assert.ErrorIs(t, table.Announce(start, ready("a", here, 5, 100)), ErrStale)
	assert.NilError(t, table.Announce(start, ready("a", here, 6, 1)))
	table.Leave(start, "a", 5)
	got, _ := table.Lookup(start, "a")
	assert.Equal(t, got.State, StateReady, "a late goodbye of an earlier birth ended a later one")
}

func TestYoungerServerTakesTheAddress(t *testing.T) {
	var table Table
	assert.NilError(t, table.Announce(start, ready("old", here, 5, 1)))
	assert.NilError(t, table.Announce(start, ready("new", here, 6, 1)))
	got, _ := table.Lookup(start, "old")
	assert.Equal(t, got.State, StateGone)
	assert.ErrorIs(t, table.Announce(start, ready("older", here, 4, 50)), ErrStale)
	assert.NilError(t, table.Announce(start, ready("other", there, 4, 1)))
}

func TestSilence(t *testing.T) {
	var table Table
	assert.NilError(t, table.Announce(start, ready("a", here, 5, 1)))
	revision := table.Revision()
	table.Tick(start.Add(Silence))
	assert.Equal(t, table.Revision(), revision)
	table.Tick(start.Add(Silence + time.Millisecond))
	got, _ := table.Lookup(start, "a")
	assert.Assert(t, got.Silent)
	assert.Equal(t, len(table.Since(start, revision)), 1)
	assert.NilError(t, table.Announce(start.Add(2*Silence), ready("a", here, 5, 2)))
	got, _ = table.Lookup(start, "a")
	assert.Assert(t, !got.Silent)
	table.Tick(start.Add(2*Silence + memory + time.Millisecond))
	_, known := table.Lookup(start, "a")
	assert.Assert(t, !known)
}

// TestTablesAgree feeds two tables the same words in different orders.
func TestTablesAgree(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var words []Server
		for range 30 {
			said := ready([]string{"a", "b"}[random.IntN(2)], here, int64(random.IntN(3)), uint64(random.IntN(6)))
			said.Address = netip.AddrPortFrom(here.Addr(), uint16(said.Name[0]))
			said.State = State(random.IntN(2))
			said.Slots = int(said.Born)*10 + int(said.Counter)*2 + int(said.State)
			words = append(words, said)
		}
		// One process never says two things under one counter.
		said := map[Server]bool{}
		unique := words[:0]
		for _, word := range words {
			key := Server{Name: word.Name, Born: word.Born, Counter: word.Counter}
			if !said[key] {
				said[key] = true
				unique = append(unique, word)
			}
		}
		var first, second Table
		for _, word := range unique {
			_ = first.Announce(start, word)
		}
		for _, i := range random.Perm(len(unique)) {
			_ = second.Announce(start, unique[i])
		}
		for _, name := range []string{"a", "b"} {
			a, _ := first.Lookup(start, name)
			b, _ := second.Lookup(start, name)
			assert.Equal(t, a, b, "seed %d", seed)
		}
	}
}
