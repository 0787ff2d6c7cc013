package registrar

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start    = time.Unix(1_000_000, 0)
	addressA = netip.MustParseAddrPort("10.0.0.1:80")
	addressB = netip.MustParseAddrPort("10.0.0.2:80")
)

func readyServer(name string, address netip.AddrPort, startedAtMillis int64, counter uint64) Server {
	return Server{Name: name, Service: "s", Address: address, StartedAtMillis: startedAtMillis, Counter: counter}
}

func leavingServer(name string, address netip.AddrPort, startedAtMillis int64, counter uint64) Server {
	server := readyServer(name, address, startedAtMillis, counter)
	server.State = StateLeaving
	return server
}

// TestNewestAnnouncementWins checks that late and duplicate announcements neither
// change a server nor replace its restart.
func TestNewestAnnouncementWins(t *testing.T) {
	tests := []struct {
		name          string
		announcements []Server
		wantState     State
		wantStale     int
	}{
		{"late heartbeat after leaving", []Server{readyServer("a", addressA, 5, 1), leavingServer("a", addressA, 5, 3), readyServer("a", addressA, 5, 2)}, StateLeaving, 1},
		{"restart under the same name", []Server{leavingServer("a", addressA, 5, 9), readyServer("a", addressA, 6, 1)}, StateReady, 0},
		{"late announcement of an earlier start", []Server{readyServer("a", addressA, 6, 1), leavingServer("a", addressA, 5, 9)}, StateReady, 1},
		{"duplicate heartbeat", []Server{readyServer("a", addressA, 5, 1), readyServer("a", addressA, 5, 1)}, StateReady, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var table Table
			stale := 0
			for _, announcement := range test.announcements {
				if table.Announce(start, announcement) != nil {
					stale++
				}
			}
			got, known := table.Lookup(start, "a")
			assert.Assert(t, known)
			assert.Equal(t, got.State, test.wantState)
			assert.Equal(t, stale, test.wantStale)
		})
	}
}

// TestDepartureIsFinalUntilRestart checks that no announcement revives a departed
// start, and that a late departure does not end a later start.
func TestDepartureIsFinalUntilRestart(t *testing.T) {
	var table Table
	assert.NilError(t, table.Announce(start, readyServer("a", addressA, 5, 1)))
	table.RecordDeparture(start, "a", 0)
	assert.ErrorIs(t, table.Announce(start, readyServer("a", addressA, 5, 100)), ErrStale)
	assert.NilError(t, table.Announce(start, readyServer("a", addressA, 6, 1)))
	table.RecordDeparture(start, "a", 5)
	got, _ := table.Lookup(start, "a")
	assert.Equal(t, got.State, StateReady, "the late departure of an earlier start ended a later one")
}

// TestServerThatClaimsAddressEndsNoOther checks that a server stays in the table while another
// one claims its address: the claim may be odd. Which of them gets requests is checked where
// they are sent.
func TestServerThatClaimsAddressEndsNoOther(t *testing.T) {
	var table Table
	assert.NilError(t, table.Announce(start, readyServer("old", addressA, 5, 1)))
	assert.NilError(t, table.Announce(start, readyServer("new", addressA, 6, 1)))
	assert.NilError(t, table.Announce(start, readyServer("old", addressA, 5, 2)))
	for _, name := range []string{"old", "new"} {
		got, _ := table.Lookup(start, name)
		assert.Equal(t, got.State, StateReady)
	}
}

// TestOddEntryUnderServersNameLeavesTable checks that a server is known again once an entry
// with its name and a later start has not been announced for long.
func TestOddEntryUnderServersNameLeavesTable(t *testing.T) {
	var table Table
	now := start
	assert.NilError(t, table.Announce(now, readyServer("a", addressA, 5, 1)))
	assert.NilError(t, table.Announce(now, readyServer("a", addressB, 6, 1)))
	for counter := uint64(2); ; counter++ {
		now = now.Add(time.Second)
		table.ExpireSilent(now)
		if table.Announce(now, readyServer("a", addressA, 5, counter)) == nil {
			break
		}
		assert.Assert(t, now.Sub(start) <= Retention, "not known again after %v", now.Sub(start))
	}
	got, _ := table.Lookup(now, "a")
	assert.Equal(t, got.Address, addressA)
}

// TestManyEntriesKeepServerOut announces more entries than a table holds. Servers that go on
// announcing themselves stay, and one that starts afterwards gets in once some are silent.
func TestManyEntriesKeepServerOut(t *testing.T) {
	var table Table
	assert.NilError(t, table.Announce(start, readyServer("a", addressA, 5, 1)))
	full := 0
	for i := range maxServers + 100 {
		if err := table.Announce(start, readyServer(fmt.Sprint("odd-", i), addressB, 5, 1)); err != nil {
			assert.ErrorIs(t, err, ErrFull)
			full++
		}
	}
	assert.Equal(t, full, 101)
	assert.Equal(t, len(table.entries), maxServers)
	later := start.Add(fullRetention)
	assert.NilError(t, table.Announce(later, readyServer("a", addressA, 5, 2)))
	assert.ErrorIs(t, table.Announce(later, readyServer("b", addressB, 6, 1)), ErrFull)
	later = later.Add(fullInterval)
	assert.NilError(t, table.Announce(later, readyServer("b", addressB, 6, 1)))
	assert.Equal(t, len(table.entries), 2)
	_, known := table.Lookup(later, "a")
	assert.Assert(t, known)
}

// TestSilence checks when a server becomes silent, stops being silent, and is
// removed.
func TestSilence(t *testing.T) {
	var table Table
	assert.NilError(t, table.Announce(start, readyServer("a", addressA, 5, 1)))
	revision := table.Revision()
	table.ExpireSilent(start.Add(SilenceTimeout))
	assert.Equal(t, table.Revision(), revision)
	table.ExpireSilent(start.Add(SilenceTimeout + time.Millisecond))
	got, _ := table.Lookup(start, "a")
	assert.Assert(t, got.Silent)
	assert.Equal(t, len(table.Since(start, revision)), 1)
	assert.NilError(t, table.Announce(start.Add(2*SilenceTimeout), readyServer("a", addressA, 5, 2)))
	got, _ = table.Lookup(start, "a")
	assert.Assert(t, !got.Silent)
	table.ExpireSilent(start.Add(2*SilenceTimeout + Retention + time.Millisecond))
	_, known := table.Lookup(start, "a")
	assert.Assert(t, !known)
}

// TestTablesConverge applies the same announcements to two tables in different
// orders, and checks that the tables end up equal.
func TestTablesConverge(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var announcements []Server
		for range 30 {
			announcement := readyServer([]string{"a", "b"}[random.IntN(2)], addressA, int64(random.IntN(3)), uint64(random.IntN(6)))
			announcement.Address = netip.AddrPortFrom(addressA.Addr(), uint16(announcement.Name[0]))
			announcement.State = State(random.IntN(2))
			announcement.Slots = int(announcement.StartedAtMillis)*10 + int(announcement.Counter)*2 + int(announcement.State)
			announcements = append(announcements, announcement)
		}
		// A process never makes two different announcements with the same counter.
		seen := map[Server]bool{}
		unique := announcements[:0]
		for _, announcement := range announcements {
			key := Server{Name: announcement.Name, StartedAtMillis: announcement.StartedAtMillis, Counter: announcement.Counter}
			if !seen[key] {
				seen[key] = true
				unique = append(unique, announcement)
			}
		}
		var first, second Table
		for _, announcement := range unique {
			_ = first.Announce(start, announcement)
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

// TestTimesThatComeNearerAreNoChange announces a server whose warm-up and removal come nearer
// as time passes, late by up to half a second. Only an end that moves by more than that is a
// change: users of the server know the rest.
func TestTimesThatComeNearerAreNoChange(t *testing.T) {
	var table Table
	server := readyServer("a", addressA, 5, 0)
	random := rand.New(rand.NewPCG(1, 1))
	announce := func(elapsed, warmup, remaining time.Duration) uint64 {
		server.Counter++
		server.Warmup, server.Remaining = max(warmup-elapsed, 0), max(remaining-elapsed, 0)
		late := time.Duration(random.Int64N(int64(500 * time.Millisecond)))
		assert.NilError(t, table.Announce(start.Add(elapsed+late), server))
		return table.Revision()
	}
	for elapsed := time.Duration(0); elapsed < 30*time.Second; elapsed += 1200 * time.Millisecond {
		assert.Equal(t, announce(elapsed, 10*time.Second, time.Minute), uint64(1), "after %v", elapsed)
	}
	assert.Equal(t, announce(31*time.Second, 10*time.Second, 50*time.Second), uint64(2), "earlier removal")
	assert.Equal(t, announce(32*time.Second, 10*time.Second, 0), uint64(3), "no removal")
	assert.Equal(t, announce(33*time.Second, 40*time.Second, 0), uint64(4), "another warm-up")
	reported := table.Since(start.Add(34*time.Second), 0)
	assert.Equal(t, len(reported), 1)
	assert.Equal(t, reported[0].Warmup, 7*time.Second)
}

// TestChangesSinceRevision changes servers at random and checks that exactly those that have
// changed since any earlier revision are found.
func TestChangesSinceRevision(t *testing.T) {
	var table Table
	random := rand.New(rand.NewPCG(2, 1))
	now := start
	for step := range 3000 {
		now = now.Add(50 * time.Millisecond)
		name := fmt.Sprint("server-", random.IntN(40))
		_ = table.Announce(now, readyServer(name, addressA, int64(1+random.IntN(step/100+1)), uint64(step)))
		if random.IntN(10) == 0 {
			table.RecordDeparture(now, name, 0)
		}
		table.ExpireSilent(now)
		since := uint64(random.Int64N(int64(table.Revision()) + 1))
		got := map[string]Server{}
		for _, server := range table.Since(now, since) {
			got[server.Name] = server
		}
		for name, e := range table.entries {
			assert.Equal(t, e.revision > since, got[name].Name != "")
			described, _ := table.Described(now, e.DescriptionHash())
			assert.Equal(t, described.Name, name)
		}
	}
}
