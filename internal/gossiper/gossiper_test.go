package gossiper_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/gossiper"
)

var start = time.Unix(1000, 0)

// newTables returns the tables of instances, each of which knows only itself and
// the first instance.
func newTables(size, regions int) []*gossiper.Table {
	var tables []*gossiper.Table
	for i := range size {
		tables = append(tables, gossiper.NewTable(gossiper.Entry{
			Name: fmt.Sprintf("instance-%03d", i), Region: fmt.Sprintf("region-%d", i%regions),
			FailureDomain: fmt.Sprintf("domain-%02d", i%15), CallerAddress: netip.MustParseAddrPort("127.0.0.1:7001"),
			PeerAddress: netip.MustParseAddrPort("127.0.0.1:7003"), Incarnation: 1, State: gossiper.StateReady,
			Pools: []gossiper.PoolSummary{{Pool: "drafting-region", Servers: 50, FreeSlots: 100}, {Pool: "booking-region", Servers: 3, FreeSlots: 9}},
		}, uint64(i)))
	}
	for _, table := range tables[1:] {
		table.Merge(start, []gossiper.Entry{tables[0].SelfEntry()})
	}
	return tables
}

// runRound runs one gossip round for every instance, as the processes do, and
// returns the number of bytes sent. cut reports whether a pair is disconnected.
func runRound(now time.Time, tables []*gossiper.Table, cut func(a, b gossiper.Entry) bool) int {
	byName := map[string]*gossiper.Table{}
	for _, table := range tables {
		byName[table.SelfEntry().Name] = table
	}
	sent := 0
	for _, table := range tables {
		table.UpdateSelf(func(*gossiper.Entry) {})
		for _, partner := range table.Partners(now) {
			if cut(table.SelfEntry(), partner) {
				continue
			}
			digest := table.Digest(now)
			other := byName[partner.Name]
			other.Merge(now, []gossiper.Entry{table.SelfEntry()})
			newer := other.NewerThan(now, digest)
			table.Merge(now, newer)
			for _, part := range []any{table.SelfEntry(), digest, newer} {
				data, _ := cbor.Marshal(part)
				sent += len(data)
			}
		}
	}
	return sent
}

func neverCut(gossiper.Entry, gossiper.Entry) bool { return false }

// TestMembershipConvergesAfterLossAndPartition checks that all instances learn
// of each other, that an instance that has gone is no longer live, and that an
// isolated region sees only itself until the partition heals.
func TestMembershipConvergesAfterLossAndPartition(t *testing.T) {
	tables := newTables(14, 3)
	now := start
	run := func(rounds int, cut func(a, b gossiper.Entry) bool) {
		for range rounds {
			now = now.Add(gossiper.RoundInterval)
			runRound(now, tables, cut)
		}
	}
	run(12, neverCut)
	for _, table := range tables {
		assert.Equal(t, len(table.Live(now)), 13, "%s", table.SelfEntry().Name)
	}
	gone := tables[5].SelfEntry().Name
	tables = slices.Delete(tables, 5, 6)
	run(14, func(_, b gossiper.Entry) bool { return b.Name == gone })
	for _, table := range tables {
		for _, entry := range table.Live(now) {
			assert.Assert(t, entry.Name != gone, "%s still uses %s", table.SelfEntry().Name, gone)
		}
	}
	isGone := func(_, b gossiper.Entry) bool { return b.Name == gone }
	run(12, func(a, b gossiper.Entry) bool {
		return isGone(a, b) || (a.Region == "region-1") != (b.Region == "region-1")
	})
	for _, table := range tables {
		for _, entry := range table.Live(now) {
			assert.Equal(t, entry.Region == "region-1", table.SelfEntry().Region == "region-1")
		}
	}
	run(12, isGone)
	for _, table := range tables {
		assert.Equal(t, len(table.Live(now)), 12, "%s after healing", table.SelfEntry().Name)
	}
}

// TestNewerEntriesWin merges entries out of order and twice each.
func TestNewerEntriesWin(t *testing.T) {
	table := gossiper.NewTable(gossiper.Entry{Name: "self"}, 1)
	entry := func(incarnation int64, sequence uint64, state gossiper.State) gossiper.Entry {
		return gossiper.Entry{Name: "a", Incarnation: incarnation, Sequence: sequence, State: state}
	}
	for _, heard := range []gossiper.Entry{
		entry(1, 5, gossiper.StateReady), entry(1, 9, gossiper.StateStopping), entry(1, 7, gossiper.StateReady),
		entry(2, 1, gossiper.StateDraining), entry(1, 99, gossiper.StateReady),
	} {
		table.Merge(start, []gossiper.Entry{heard, heard})
	}
	assert.Equal(t, table.Live(start)[0].State, gossiper.StateDraining)
}

// BenchmarkExchange measures the gossip traffic in bytes per instance and second
// for several fleet sizes.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{7, 40, 80, 320} {
		b.Run(fmt.Sprintf("instances-%d", size), func(b *testing.B) {
			tables := newTables(size, 6)
			now := start
			sent, rounds := 0, 0
			for b.Loop() {
				now = now.Add(gossiper.RoundInterval)
				bytes := runRound(now, tables, neverCut)
				if rounds++; rounds > 15 {
					sent += bytes
				}
			}
			if rounds > 15 {
				b.ReportMetric(float64(sent)/float64(rounds-15)/float64(size), "B/instance/s")
			}
		})
	}
}
