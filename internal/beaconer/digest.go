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
	// Included is the sequence of the newest beacon of each instance that the sums
	// include, by [NameHash].
	Included map[uint32]uint64 `cbor:"i,omitempty"`
	// Members are the states of the instances that the sender has heard lately, by
	// [NameHash].
	Members map[uint32]State `cbor:"m,omitempty"`
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

// PackLoads returns loads in their packed form.
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
