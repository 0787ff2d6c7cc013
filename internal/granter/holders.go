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
	hash := xxhash.Sum64String(workspace)
	domains := make(map[string]*topTwo, HoldersPerDomain)
	for _, instance := range instances {
		if homeRegion != "" && instance.Region != homeRegion {
			continue
		}
		top, known := domains[instance.FailureDomain]
		if !known {
			top = &topTwo{}
			domains[instance.FailureDomain] = top
		}
		top.offer(instance, score(hash, instance.Name))
	}
	holders := make([]Instance, 0, HoldersPerDomain*len(domains))
	for _, top := range domains {
		holders = append(holders, top.instances[:top.count]...)
	}
	slices.SortFunc(holders, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return holders
}

// topTwo keeps the instances of the highest scores, the highest first.
type topTwo struct {
	instances [HoldersPerDomain]Instance
	scores    [HoldersPerDomain]uint64
	count     int
}

func (t *topTwo) offer(instance Instance, score uint64) {
	at := t.count
	for at > 0 && score > t.scores[at-1] {
		at--
	}
	if at == HoldersPerDomain {
		return
	}
	t.count = min(t.count+1, HoldersPerDomain)
	copy(t.instances[at+1:], t.instances[at:])
	copy(t.scores[at+1:], t.scores[at:])
	t.instances[at] = instance
	t.scores[at] = score
}

// Rank orders instances by rendezvous hash for a workspace.
func Rank(workspace string, instances []Instance) []Instance {
	hash := xxhash.Sum64String(workspace)
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b Instance) int {
		byHash := cmp.Compare(score(hash, b.Name), score(hash, a.Name))
		return cmp.Or(byHash, cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// score mixes the hashes of a workspace and an instance.
func score(workspace uint64, instance string) uint64 {
	x := workspace ^ xxhash.Sum64String(instance)*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
