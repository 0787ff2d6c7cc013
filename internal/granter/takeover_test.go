package granter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/boragehead/boragehead/internal/granter"
)

// BenchmarkTakeOver loses one instance of a failure domain and reports how
// many others take over its workspaces and how much the busiest gets, for
// rendezvous hashing and for overlapping sets: each instance sits in a few
// sets of four, and a workspace belongs to one set.
func BenchmarkTakeOver(b *testing.B) {
	const instances, workspaces = 21, 11_000
	names := make([]granter.Instance, instances)
	for i := range names {
		names[i] = granter.Instance{Name: fmt.Sprintf("i%02d", i), Region: "r", FailureDomain: "d"}
	}
	b.Run("rendezvous", func(b *testing.B) {
		for b.Loop() {
			reportTakeOver(b, names, workspaces, func(workspace string, live []granter.Instance) []granter.Instance {
				return granter.Holders(workspace, "", live)
			})
		}
	})
	for _, overlap := range []int{2, 4} {
		b.Run(fmt.Sprintf("overlapping-sets-%d", overlap), func(b *testing.B) {
			sets := overlappingSets(names, overlap)
			for b.Loop() {
				reportTakeOver(b, names, workspaces, func(workspace string, live []granter.Instance) []granter.Instance {
					var number int
					_, _ = fmt.Sscanf(workspace, "w%d", &number)
					return granter.Holders(workspace, "", alive(sets[number%len(sets)], live))
				})
			}
		})
	}
}

// overlappingSets puts every instance into as many sets of four.
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

func alive(set, live []granter.Instance) []granter.Instance {
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

func reportTakeOver(b *testing.B, names []granter.Instance, workspaces int, holders func(string, []granter.Instance) []granter.Instance) {
	lost := names[7]
	before, after := map[string]int{}, map[string]int{}
	moved := 0
	for i := range workspaces {
		workspace := fmt.Sprintf("w%d", i)
		held := false
		for _, holder := range holders(workspace, names) {
			before[holder.Name]++
			held = held || holder == lost
		}
		if held {
			moved++
		}
		rest := append(append([]granter.Instance{}, names[:7]...), names[8:]...)
		for _, holder := range holders(workspace, rest) {
			after[holder.Name]++
		}
	}
	takers, most := 0, 0
	for name, count := range after {
		if extra := count - before[name]; extra > 0 {
			takers++
			most = max(most, extra)
		}
	}
	b.ReportMetric(float64(takers), "takers")
	b.ReportMetric(100*float64(most)/float64(max(moved, 1)), "%busiest-taker")
	b.ReportMetric(float64(before[lost.Name]), "grants-of-lost")
	b.ReportMetric(0, "ns/op")
}
