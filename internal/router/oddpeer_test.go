package router_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/router"
	"github.com/boragehead/boragehead/internal/tabler"
)

// TestOddFreeSlotsOfPeerEndRequests has peers report numbers of free slots that no servers
// have. The choice among peers failed with the router locked, so that an instance served
// nothing any more.
func TestOddFreeSlotsOfPeerEndRequests(t *testing.T) {
	pools := []tabler.Pool{{Name: "here", Region: "a"}}
	tests := []struct {
		name  string
		slots []int
	}{
		{"one of the largest", []int{math.MaxInt}},
		{"several of the largest", []int{math.MaxInt, math.MaxInt, 1}},
		{"below 0", []int{-1, -1}},
		{"smallest", []int{math.MinInt, 3}},
		{"large beside small", []int{math.MaxInt - 1, 0, 5}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			load := router.LoadView{Region: "a"}
			for _, slots := range test.slots {
				load.Peers = append(load.Peers, gossiper.Entry{Name: "peer", Region: "a", State: gossiper.StateReady,
					Pools: []gossiper.PoolSummary{{Pool: "here", Servers: 1, FreeSlots: slots}}})
			}
			decider := router.NewDecider(1)
			for range 100 {
				assert.Equal(t, decider.Decide(time.Unix(100, 0), load, pools).Peer.Name, "peer")
			}
		})
	}
}
