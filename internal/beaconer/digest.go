package beaconer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/boragehead/boragehead/internal/placer"
)

// Digest is what the representative of a failure domain has collected from the
// reports of all its instances, itself included.
type Digest struct {
	// Complete means that the digest holds everything. Any other digest has the loads
	// that have changed since the sender's last complete one, and neither members nor
	// quotas.
	Complete bool `cbor:"c,omitempty"`
	// Loads are the summed loads of all instances, by server name. A zero load in a
	// digest that is not complete means that nothing is left there.
	Loads map[string]PackedLoad `cbor:"l,omitempty"`
	// Slowdowns are the newest slowdowns that servers have reported to any instance, by
	// server name. Every digest has all that are recent.
	Slowdowns map[string]PackedSlowdown `cbor:"s,omitempty"`
	// Included is the sequence of the newest beacon of each instance that the sums
	// include, by [NameHash].
	Included map[uint32]uint64 `cbor:"i,omitempty"`
	// Members are the states of the instances that the sender has heard lately, by
	// [NameHash].
	Members map[uint32]State `cbor:"m,omitempty"`
	// CutOff has the members, by [NameHash], that reach no server of their region.
	CutOff map[uint32]bool `cbor:"o,omitempty"`
	// QuotaSpent and QuotaLeft are as in a beacon, the former summed over all instances.
	QuotaSpent map[string]float64 `cbor:"x,omitempty"`
	QuotaLeft  map[string]float64 `cbor:"e,omitempty"`
}

// NameHash is a short form of an instance's name, for use among the instances of one
// failure domain.
func NameHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// PackedLoad is a [placer.Load] that is encoded without field names.
type PackedLoad struct {
	_             struct{} `cbor:",toarray"`
	Running       int32
	PrefillTokens int64
	MemoryTokens  int64
	PrefillRate   int64
	EjectedBy     int32
}

// PackedSlowdown is the slowdown of a [placer.Load]. It is apart from [PackedLoad] because
// earlier releases reject arrays of another length.
type PackedSlowdown struct {
	_         struct{} `cbor:",toarray"`
	Percent   int32
	AgeMillis int32
}

// SplitSlowdowns returns loads without the slowdowns, and the slowdowns. Servers without
// load are left out of the loads.
func SplitSlowdowns(loads map[string]placer.Load) (map[string]placer.Load, map[string]PackedSlowdown) {
	rest, slowdowns := make(map[string]placer.Load, len(loads)), map[string]PackedSlowdown{}
	for name, load := range loads {
		if load.Slowdown > 0 {
			slowdowns[name] = PackedSlowdown{Percent: load.Slowdown, AgeMillis: load.SlowdownAge}
			if load = load.WithoutSlowdown(); load == (placer.Load{}) {
				continue
			}
		}
		rest[name] = load
	}
	return rest, slowdowns
}

// SlowdownLoads returns the slowdowns of the digest as loads without anything else.
func (d *Digest) SlowdownLoads() map[string]placer.Load {
	loads := make(map[string]placer.Load, len(d.Slowdowns))
	for name, slowdown := range d.Slowdowns {
		loads[name] = placer.Load{Slowdown: slowdown.Percent, SlowdownAge: slowdown.AgeMillis}
	}
	return loads
}

// PackLoads returns loads in their packed form, without the slowdowns.
func PackLoads(loads map[string]placer.Load) map[string]PackedLoad {
	packed := make(map[string]PackedLoad, len(loads))
	for name, load := range loads {
		packed[name] = PackedLoad{
			Running: load.Running, PrefillTokens: load.PrefillTokens, MemoryTokens: load.MemoryTokens,
			PrefillRate: load.PrefillRate, EjectedBy: load.EjectedBy,
		}
	}
	return packed
}

// Load returns the load.
func (l PackedLoad) Load() placer.Load {
	return placer.Load{
		Running: l.Running, PrefillTokens: l.PrefillTokens, MemoryTokens: l.MemoryTokens,
		PrefillRate: l.PrefillRate, EjectedBy: l.EjectedBy,
	}
}
