package experimenter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSlowdownsHaveTheirShareAndBound draws the periods of many engines: as many as
// the pattern says must be slow, none by more than its factor, and not all engines at
// the same time.
func TestSlowdownsHaveTheirShareAndBound(t *testing.T) {
	s := &Slowdowns{Share: 0.15, Factor: 2.5, Period: 600 * time.Millisecond}
	slow, periods := 0, 0
	starts := map[time.Duration]bool{}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		for at := time.Duration(0); at < 10*time.Minute; periods++ {
			factor, next := s.slowdownAt(1, name, at)
			assert.Assert(t, factor >= 1 && factor <= 2.5)
			assert.Assert(t, next > at && next <= at+s.Period)
			if factor > 1 {
				slow++
			}
			if at == 0 {
				starts[next] = true
			}
			at = next
		}
	}
	share := float64(slow) / float64(periods)
	assert.Assert(t, share > 0.13 && share < 0.17, "%.3f", share)
	assert.Equal(t, len(starts), 5)
	lost := 600 - s.engineTime(1, "a", 0, 10*time.Minute, 0)
	assert.Assert(t, lost > 20 && lost < 50, "slowdowns cost %.1f s of 600", lost)
}

// TestSlowdownsCostWorth simulates engines that are slow all the time. It fails if
// the engines of a simulation don't follow the pattern, also after an outage.
func TestSlowdownsCostWorth(t *testing.T) {
	p := pattern(t, "small")
	p.Duration = 4 * time.Second
	p.Outages = []Outage{{Region: "north", Share: 1, At: 100 * time.Millisecond, Duration: 200 * time.Millisecond}}
	normal, err := Run(p, []string{PolicyPlacer}, []uint64{1}, 1)
	assert.NilError(t, err)
	p.Slowdowns = &Slowdowns{Share: 1, Factor: 5, Period: 10 * time.Second}
	slow, err := Run(p, []string{PolicyPlacer}, []uint64{1}, 1)
	assert.NilError(t, err)
	assert.Assert(t, slow[0].Worth < 0.8*normal[0].Worth, "%.3f of %.3f", slow[0].Worth, normal[0].Worth)
}

// TestHotWorkspacesAreTalliedAndSendMore compares a workspace's requests during its
// burst and outside it. Other workspaces must send as much as without it.
func TestHotWorkspacesAreTalliedAndSendMore(t *testing.T) {
	p := pattern(t, "small")
	p.Duration = 8 * time.Second
	p.HotWorkspaces = []HotWorkspace{{Name: "w-1", Share: 0.1, At: 2 * time.Second, Duration: 2 * time.Second, Factor: 6}}
	usual, hot := 0, 0
	for _, a := range newGenerator(p, 1).arrivals() {
		switch burst := a.at >= 2*time.Second && a.at < 4*time.Second; {
		case a.workspaceIndex != 0:
		case burst:
			hot++
		default:
			usual++
		}
	}
	// 2 s at 6 times the rate beside 6 s at the usual one.
	ratio := float64(hot) / float64(usual)
	assert.Assert(t, ratio > 1.4 && ratio < 2.8, "%d and %d", hot, usual)
	results, err := Run(p, []string{PolicyRoundRobin}, []uint64{1}, 1)
	assert.NilError(t, err)
	workspaces := results[0].Workspaces
	assert.Equal(t, len(workspaces), 2)
	assert.Equal(t, workspaces[0].Requests, usual+hot)
	assert.Assert(t, workspaces[1].Requests > 500 && workspaces[1].Requests < 660, "%d", workspaces[1].Requests)
}
