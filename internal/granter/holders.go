package granter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HoldersPerDomain is how many instances of a failure domain hold a grant of
// one workspace. A few, not all, keep grants useful in a large fleet.
const HoldersPerDomain = 2

// Instance is an entry instance as the planner sees it.
type Instance struct {
	Name          string
	Region        string
	FailureDomain string
}

// Holders chooses the instances that hold grants of a workspace: in each
// eligible failure domain the first by rendezvous hash. A bound workspace has
// holders only in its home region. Every instance computes the same answer.
func Holders(workspace, homeRegion string, instances []Instance) []Instance {
	byDomain := map[string][]Instance{}
	for _, instance := range instances {
		if homeRegion != "" && instance.Region != homeRegion {
			continue
		}
		byDomain[instance.FailureDomain] = append(byDomain[instance.FailureDomain], instance)
	}
	var holders []Instance
	for _, members := range byDomain {
		holders = append(holders, Rank(workspace, members)[:min(HoldersPerDomain, len(members))]...)
	}
	slices.SortFunc(holders, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return holders
}

// Rank orders instances by rendezvous hash for a workspace.
func Rank(workspace string, instances []Instance) []Instance {
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b Instance) int {
		byHash := cmp.Compare(score(workspace, b.Name), score(workspace, a.Name))
		return cmp.Or(byHash, cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

func score(workspace, instance string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(workspace)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(instance)
	return digest.Sum64()
}
