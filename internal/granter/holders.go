package granter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HoldersPerDomain is the number of instances in each failure domain that hold a
// grant of one workspace. With a grant at every instance of a large fleet, each
// would be too small to be useful.
const HoldersPerDomain = 2

// Instance identifies an entry instance and where it runs.
type Instance struct {
	Name          string
	Region        string
	FailureDomain string
}

// Holders returns the instances that hold grants of a workspace, sorted by name:
// the HoldersPerDomain instances of each failure domain with the highest rendezvous
// hashes. If homeRegion is not empty, only instances of that region are eligible.
// The result depends on the arguments alone, so all processes that know the same
// instances agree on the holders.
func Holders(workspace, homeRegion string, instances []Instance) []Instance {
	hash := xxhash.Sum64String(workspace)
	domains := make(map[string]*topInstances, HoldersPerDomain)
	for _, instance := range instances {
		if homeRegion != "" && instance.Region != homeRegion {
			continue
		}
		top, known := domains[instance.FailureDomain]
		if !known {
			top = &topInstances{}
			domains[instance.FailureDomain] = top
		}
		top.insert(instance, rendezvousScore(hash, instance.Name))
	}
	holders := make([]Instance, 0, HoldersPerDomain*len(domains))
	for _, top := range domains {
		holders = append(holders, top.instances[:top.count]...)
	}
	slices.SortFunc(holders, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return holders
}

// topInstances keeps the HoldersPerDomain instances with the highest scores, the
// highest first.
type topInstances struct {
	instances [HoldersPerDomain]Instance
	scores    [HoldersPerDomain]uint64
	count     int
}

// insert adds an instance if its score is among the highest.
func (t *topInstances) insert(instance Instance, score uint64) {
	position := t.count
	for position > 0 && score > t.scores[position-1] {
		position--
	}
	if position == HoldersPerDomain {
		return
	}
	t.count = min(t.count+1, HoldersPerDomain)
	copy(t.instances[position+1:], t.instances[position:])
	copy(t.scores[position+1:], t.scores[position:])
	t.instances[position] = instance
	t.scores[position] = score
}

// Rank returns the instances in descending order of their rendezvous hash for a
// workspace. The argument is not modified.
func Rank(workspace string, instances []Instance) []Instance {
	hash := xxhash.Sum64String(workspace)
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b Instance) int {
		byHash := cmp.Compare(rendezvousScore(hash, b.Name), rendezvousScore(hash, a.Name))
		return cmp.Or(byHash, cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// rendezvousScore mixes the hashes of a workspace and an instance name, with the
// finalizer of MurmurHash3.
func rendezvousScore(workspaceHash uint64, instance string) uint64 {
	x := workspaceHash ^ xxhash.Sum64String(instance)*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
