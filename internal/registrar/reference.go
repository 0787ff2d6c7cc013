package registrar

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reference is a report of a server without its description, for a process that has that or
// can get it elsewhere.
type Reference struct {
	_ struct{} `cbor:",toarray"`
	// Hash is the DescriptionHash of the server. The other fields are those of Server, with
	// times in milliseconds.
	Hash            uint64
	Counter         uint64
	AgeMillis       uint32
	WarmupMillis    uint32
	RemainingMillis uint32
	Silent          bool
}

// DescriptionHash identifies what a start of a server announces about itself, without the
// counter and times.
func (s Server) DescriptionHash() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	address, _ := s.Address.MarshalBinary() // it returns no error
	for _, field := range [][]byte{[]byte(s.Name), []byte(s.Service), []byte(s.FailureDomain), []byte(s.Version), address} {
		_, _ = digest.Write(binary.LittleEndian.AppendUint32(nil, uint32(len(field))))
		_, _ = digest.Write(field)
	}
	numbers := binary.LittleEndian.AppendUint64(nil, uint64(s.StartedAtMillis))
	numbers = binary.LittleEndian.AppendUint64(numbers, uint64(s.Slots))
	_, _ = digest.Write(append(numbers, byte(s.State)))
	return digest.Sum64()
}

// Reference returns a reference to a report.
func (s Server) Reference() Reference {
	return Reference{
		Hash: s.DescriptionHash(), Counter: s.Counter, Silent: s.Silent,
		AgeMillis: toMillis(s.Age), WarmupMillis: toMillis(s.Warmup), RemainingMillis: toMillis(s.Remaining),
	}
}

// Apply returns the report that a reference stands for, given one with the same description.
func (r Reference) Apply(described Server) Server {
	described.Counter, described.Silent = r.Counter, r.Silent
	described.Age, described.Warmup, described.Remaining = fromMillis(r.AgeMillis), fromMillis(r.WarmupMillis), fromMillis(r.RemainingMillis)
	return described
}

func toMillis(duration time.Duration) uint32 {
	return uint32(min(max(duration.Milliseconds(), 0), math.MaxUint32))
}

func fromMillis(millis uint32) time.Duration {
	return time.Duration(millis) * time.Millisecond
}
