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

// fleet returns the tables of instances that know only the first of them.
func fleet(size, regions int) []*gossiper.Table {
	var tables []*gossiper.Table
	for i := range size {
		tables = append(tables, gossiper.NewTable(gossiper.Entry{
			Name: fmt.Sprintf("instance-%03d", i), Region: fmt.Sprintf("region-%d", i%regions),
			FailureDomain: fmt.Sprintf("domain-%02d", i%15), Public: netip.MustParseAddrPort("127.0.0.1:7001"),
			Peer: netip.MustParseAddrPort("127.0.0.1:7003"), Incarnation: 1, State: gossiper.StateReady,
			Pools: []gossiper.PoolSummary{{Pool: "drafting-region", Servers: 50, Free: 100}, {Pool: "booking-region", Servers: 3, Free: 9}},
		}, uint64(i)))
	}
	for _, table := range tables[1:] {
		table.Merge(start, []gossiper.Entry{tables[0].Own()})
	}
	return tables
}

// round lets every instance exchange once, as the processes do, and returns
// the bytes that were sent. Cut tells which pairs cannot exchange.
func round(now time.Time, tables []*gossiper.Table, cut func(a, b gossiper.Entry) bool) int {
	byName := map[string]*gossiper.Table{}
	for _, table := range tables {
		byName[table.Own().Name] = table
	}
	sent := 0
	for _, table := range tables {
		table.Self(func(*gossiper.Entry) {})
		for _, partner := range table.Partners(now) {
			if cut(table.Own(), partner) {
				continue
			}
			digest := table.Digest(now)
			other := byName[partner.Name]
			other.Merge(now, []gossiper.Entry{table.Own()})
			newer := other.Newer(now, digest)
			table.Merge(now, newer)
			for _, part := range []any{table.Own(), digest, newer} {
				data, _ := cbor.Marshal(part)
				sent += len(data)
			}
		}
	}
	return sent
}

func never(gossiper.Entry, gossiper.Entry) bool { return false }

// TestEveryoneIsKnownAndForgotten lets news spread, silences an instance, and
// cuts and heals a region.
func TestEveryoneIsKnownAndForgotten(t *testing.T) {
	tables := fleet(14, 3)
	now := start
	run := func(rounds int, cut func(a, b gossiper.Entry) bool) {
		for range rounds {
			now = now.Add(gossiper.Interval)
			round(now, tables, cut)
		}
	}
	run(12, never)
	for _, table := range tables {
		assert.Equal(t, len(table.Live(now)), 13, "%s", table.Own().Name)
	}
	gone := tables[5].Own().Name
	tables = slices.Delete(tables, 5, 6)
	run(14, func(_, b gossiper.Entry) bool { return b.Name == gone })
	for _, table := range tables {
		for _, entry := range table.Live(now) {
			assert.Assert(t, entry.Name != gone, "%s still uses %s", table.Own().Name, gone)
		}
	}
	isGone := func(_, b gossiper.Entry) bool { return b.Name == gone }
	run(12, func(a, b gossiper.Entry) bool {
		return isGone(a, b) || (a.Region == "region-1") != (b.Region == "region-1")
	})
	for _, table := range tables {
		for _, entry := range table.Live(now) {
			assert.Equal(t, entry.Region == "region-1", table.Own().Region == "region-1")
		}
	}
	run(12, isGone)
	for _, table := range tables {
		assert.Equal(t, len(table.Live(now)), 12, "%s after healing", table.Own().Name)
	}
}

// TestNewerEntriesWin hears entries late and twice.
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

// BenchmarkExchange measures the bytes of membership for each instance and
// second, by the size of the fleet.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{7, 40, 80, 320} {
		b.Run(fmt.Sprintf("instances-%d", size), func(b *testing.B) {
			tables := fleet(size, 6)
			now := start
			sent, rounds := 0, 0
			for b.Loop() {
				now = now.Add(gossiper.Interval)
				bytes := round(now, tables, never)
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
