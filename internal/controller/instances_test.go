package controller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/beaconer"
)

// TestInstanceChangesAmountToCompleteList has entry instances start, start anew, fall
// silent and come back. An entry instance that asks for changes now and then must come to
// the list that a complete answer has, and is sent each change once.
func TestInstanceChangesAmountToCompleteList(t *testing.T) {
	cases := []struct {
		name string
		seed uint64
		// instances is how many names there are, and steps how often something happens.
		instances, steps int
	}{
		{"few", 1, 5, 400},
		{"many", 2, 200, 4000},
		{"more dropped than are remembered", 3, 3 * maxRemoved, 20000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(c.seed, 0))
			var table peerTable
			now := time.Now()
			listed, revision, sent := map[string]beaconer.Instance{}, uint64(0), 0
			for step := range c.steps {
				now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
				instance := beaconer.Instance{Name: fmt.Sprint("entry-", random.IntN(c.instances)), Region: "north", Incarnation: int64(random.IntN(2))}
				table.recordBeacon(now, beaconer.Beacon{Instance: instance, State: beaconer.StateReady})
				table.expire(now, "north")
				if step%20 != 0 {
					continue
				}
				changed, removed, known := table.changesSince(revision)
				revision = table.revision
				sent += len(changed)
				if !known {
					clear(listed)
				}
				for _, name := range removed {
					delete(listed, name)
				}
				for _, instance := range changed {
					listed[instance.Name] = instance
				}
				want := map[string]beaconer.Instance{}
				for name, instance := range table.instances {
					want[name] = instance.Instance
				}
				assert.Assert(t, maps.Equal(listed, want), "step %d: %d listed, %d known", step, len(listed), len(want))
			}
			assert.Assert(t, sent <= int(table.revision), "%d descriptions sent for %d changes", sent, table.revision)
		})
	}
}

// TestNoListsWithoutAsking has an entry instance that wants no lists of instances follow a
// control instance that it does not know yet. A complete list to each instance of a large
// fleet, from every control instance, would fill the links when all start.
func TestNoListsWithoutAsking(t *testing.T) {
	c := &Controller{epoch: 7}
	c.peers.recordBeacon(time.Now(), beaconer.Beacon{Instance: beaconer.Instance{Name: "entry-1"}})
	cases := []struct {
		name     string
		revision uint64
		want     int
	}{
		{"wants lists", 0, 1},
		{"wants none", NoPeers, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			query := c.forEpoch(WatchQuery{PeersRevision: test.revision, ServersRevision: 5})
			assert.Equal(t, query.ServersRevision, uint64(0))
			var answer WatchAnswer
			if query.PeersRevision < c.peers.revision+1 {
				c.addInstances(query, &answer)
			}
			assert.Equal(t, len(answer.Instances), test.want)
		})
	}
}
