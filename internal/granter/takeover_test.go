package granter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/boragehead/boragehead/internal/granter"
)

// BenchmarkTakeOver removes one instance of a failure domain and reports how many
// others take over its workspaces and which part the busiest of them gets. It
// compares rendezvous hashing over the whole failure domain with overlapping sets:
// each instance is in a few sets of four, and each workspace is assigned to one set.
func BenchmarkTakeOver(b *testing.B) {
	const instanceCount, workspaceCount = 21, 11_000
	instances := make([]granter.Instance, instanceCount)
	for i := range instances {
		instances[i] = granter.Instance{Name: fmt.Sprintf("i%02d", i), Region: "r", FailureDomain: "d"}
	}
	b.Run("rendezvous", func(b *testing.B) {
		for b.Loop() {
			reportTakeOver(b, instances, workspaceCount, func(workspace string, live []granter.Instance) []granter.Instance {
				return granter.Holders(workspace, "", live)
			})
		}
	})
	for _, overlap := range []int{2, 4} {
		b.Run(fmt.Sprintf("overlapping-sets-%d", overlap), func(b *testing.B) {
			sets := overlappingSets(instances, overlap)
			for b.Loop() {
				reportTakeOver(b, instances, workspaceCount, func(workspace string, live []granter.Instance) []granter.Instance {
					var index int
					_, _ = fmt.Sscanf(workspace, "w%d", &index)
					return granter.Holders(workspace, "", intersection(sets[index%len(sets)], live))
				})
			}
		})
	}
}

// overlappingSets returns sets of four instances. Every instance is in up to
// overlap of them; the remainder of each random order that does not fill a set is
// left out.
func overlappingSets(instances []granter.Instance, overlap int) [][]granter.Instance {
	random := rand.New(rand.NewPCG(3, 9))
	var sets [][]granter.Instance
	for range overlap {
		order := random.Perm(len(instances))
		for at := 0; at+4 <= len(order); at += 4 {
			var set []granter.Instance
			for _, i := range order[at : at+4] {
				set = append(set, instances[i])
			}
			sets = append(sets, set)
		}
	}
	return sets
}

// intersection returns the instances of a set that are live.
func intersection(set, live []granter.Instance) []granter.Instance {
	var found []granter.Instance
	for _, instance := range set {
		for _, other := range live {
			if other == instance {
				found = append(found, instance)
			}
		}
	}
	return found
}

// reportTakeOver compares the holders of all workspaces before and after one
// instance is lost, and reports the metrics.
func reportTakeOver(b *testing.B, instances []granter.Instance, workspaceCount int, holders func(string, []granter.Instance) []granter.Instance) {
	lost := instances[7]
	before, after := map[string]int{}, map[string]int{}
	moved := 0
	for i := range workspaceCount {
		workspace := fmt.Sprintf("w%d", i)
		lostHeld := false
		for _, holder := range holders(workspace, instances) {
			before[holder.Name]++
			lostHeld = lostHeld || holder == lost
		}
		if lostHeld {
			moved++
		}
		remaining := append(append([]granter.Instance{}, instances[:7]...), instances[8:]...)
		for _, holder := range holders(workspace, remaining) {
			after[holder.Name]++
		}
	}
	successors, largestIncrease := 0, 0
	for name, count := range after {
		if increase := count - before[name]; increase > 0 {
			successors++
			largestIncrease = max(largestIncrease, increase)
		}
	}
	b.ReportMetric(float64(successors), "takers")
	b.ReportMetric(100*float64(largestIncrease)/float64(max(moved, 1)), "%busiest-taker")
	b.ReportMetric(float64(before[lost.Name]), "grants-of-lost")
	b.ReportMetric(0, "ns/op")
}
