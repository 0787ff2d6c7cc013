// Package picker chooses the backend server for a request.
//
// It estimates the time to the first token for each candidate, and picks the one
// with the lowest. The estimate covers the prompts that the server has yet to
// prefill and the part of this prompt that is not in its prefix cache. A prefix is
// expected in the cache of its preferred server, which rendezvous hashing
// determines, so that all instances of a failure domain send the same prefix to
// the same server without coordination.
package picker

import (
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/tracker"
)

// Assumptions and limits for the choice of a server. The assumed times hold for a
// server whose speed has not been measured yet. For others they are scaled by how
// much slower the server is than the fastest of its pool.
const (
	// assumedPrefillSpeed is in tokens per second.
	assumedPrefillSpeed = 8000.0
	// fullBatchDelay is how much a full batch delays a first token, in seconds.
	fullBatchDelay = 0.1
	// maxPendingPrefill is the number of prompt tokens that a server may have
	// yet to prefill and still get a request. Other requests wait in the queue,
	// from where they can still go to another server.
	maxPendingPrefill = 8000
	// cachedPrefillCost is the cost of prefilling a cached token, relative to one
	// that is not cached.
	cachedPrefillCost = 0.1
)

// Parameters of ejection and slow start.
const (
	// failuresToEject is how many failures in a row eject a server.
	failuresToEject = 3
	// firstEjectionTime is how long the first ejection lasts. Each further
	// failure doubles it.
	firstEjectionTime = 2 * time.Second
	// maxEjectionTime limits the doubling.
	maxEjectionTime = time.Minute
	// maxEjectedShare is the largest share of a pool that may be ejected at the
	// same time.
	maxEjectedShare = 0.34
	// slowStartTime is the time over which the slots of a new server are ramped
	// up.
	slowStartTime = 10 * time.Second
)

// Request describes a request as far as the choice of a server depends on it.
type Request struct {
	// Prefix is a hash of the part of the prompt that is likely to be cached, or
	// 0 if there is none.
	Prefix uint64
	// PromptTokens is the size of the prompt, and PrefixTokens that of its part
	// that may be cached.
	PromptTokens int64
	PrefixTokens int64
	// Tried holds the names of servers that must not be chosen again.
	Tried []string
}

// Picker chooses servers. The zero value is ready to use.
type Picker struct {
	// ReportedCached, if set, reports whether a cache event named the prefix on
	// a server. Events may be late or missing, so they only lower the expected
	// time and are never required.
	ReportedCached func(server string, prefix uint64) bool
}

// Pick returns the server with the lowest expected time to the first token among
// those that have a free slot and have not been tried, or nil if there is none.
func (p *Picker) Pick(now time.Time, servers []*tracker.Server, request Request) *tracker.Server {
	var best *tracker.Server
	bestTime := 0.0
	preferred := preferredServer(servers, request.Prefix)
	fastest := highestSpeed(servers)
	for _, server := range servers {
		if assignableSlots(now, server) <= 0 || slices.Contains(request.Tried, server.Name) {
			continue
		}
		expected := p.timeToFirstToken(server, request, server == preferred, fastest)
		if best == nil || expected < bestTime {
			best = server
			bestTime = expected
		}
	}
	return best
}

// timeToFirstToken returns the expected time to the first token, in seconds.
func (p *Picker) timeToFirstToken(server *tracker.Server, request Request, preferred bool, fastest float64) float64 {
	cached := preferred || p.ReportedCached != nil && p.ReportedCached(server.Name, request.Prefix)
	prefill := float64(server.Own.Prefill + prefillTokens(request, cached))
	batch := float64(server.Own.Requests+server.WorkOfOthers().Requests) / float64(max(server.MaxRunning, 1))
	slowness := 1.0
	if server.Speed > 0 {
		slowness = fastest / server.Speed
	}
	return slowness * (prefill/assumedPrefillSpeed + batch*fullBatchDelay)
}

// MinPrefixToWaitFor is the size of the shortest prefix, in tokens, for which a
// request should wait until its preferred server has a free slot.
const MinPrefixToWaitFor = 500

// PreferredIsAssignable reports whether the request may be assigned to the
// preferred server of its prefix now.
func PreferredIsAssignable(now time.Time, servers []*tracker.Server, request Request) bool {
	preferred := preferredServer(servers, request.Prefix)
	return preferred != nil && assignableSlots(now, preferred) > 0 && !slices.Contains(request.Tried, preferred.Name)
}

// PrefillTokens returns the number of prompt tokens that a server is expected to
// prefill for a request. Cached tokens count at a reduced cost.
func PrefillTokens(servers []*tracker.Server, server *tracker.Server, request Request) int64 {
	return prefillTokens(request, preferredServer(servers, request.Prefix) == server)
}

func prefillTokens(request Request, cached bool) int64 {
	if !cached {
		return request.PromptTokens
	}
	saved := (1 - cachedPrefillCost) * float64(request.PrefixTokens)
	return request.PromptTokens - int64(saved)
}

// highestSpeed returns the highest measured speed of the servers, or 0.
func highestSpeed(servers []*tracker.Server) float64 {
	highest := 0.0
	for _, server := range servers {
		highest = max(highest, server.Speed)
	}
	return highest
}

// preferredServer returns the server that rendezvous hashing selects for a prefix,
// or nil for no prefix.
func preferredServer(servers []*tracker.Server, prefix uint64) *tracker.Server {
	if prefix == 0 {
		return nil
	}
	var best *tracker.Server
	var bestHash uint64
	for _, server := range servers {
		hash := mixBits(server.Hash ^ prefix)
		if best == nil || hash > bestHash {
			best = server
			bestHash = hash
		}
	}
	return best
}

// mixBits is the finalizer of MurmurHash3. It spreads the bits of a combined hash.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// assignableSlots returns how many of a server's free slots may be assigned now;
// it may be negative. It is 0 while the server is ejected or has too much prefill
// pending. The slots of a new server are ramped up, and a server that returns from
// an ejection gets one request at a time as a probe.
func assignableSlots(now time.Time, server *tracker.Server) int {
	free := server.FreeSlots()
	if server.Own.Prefill >= maxPendingPrefill {
		return 0
	}
	if now.Before(server.EjectedUntil) {
		return 0
	}
	if server.Failures >= failuresToEject {
		return min(free, 1-server.Own.Requests)
	}
	age := now.Sub(server.FirstHeard)
	if age < slowStartTime {
		rampedSlots := 1 + int(float64(server.MaxRunning)*float64(age)/float64(slowStartTime))
		return min(free, rampedSlots-server.Own.Requests)
	}
	return free
}

// AssignableSlots returns how many requests may be assigned to the servers now.
func AssignableSlots(now time.Time, servers []*tracker.Server) int {
	slots := 0
	for _, server := range servers {
		slots += max(assignableSlots(now, server), 0)
	}
	return slots
}

// RecordFailure records a failure of a server. It ejects the server after several
// failures in a row, unless too large a share of its pool would be ejected.
func RecordFailure(now time.Time, server *tracker.Server, pool []*tracker.Server) {
	server.Failures++
	if server.Failures < failuresToEject {
		return
	}
	ejected := 0
	for _, other := range pool {
		if other != server && now.Before(other.EjectedUntil) {
			ejected++
		}
	}
	if float64(ejected+1) > maxEjectedShare*float64(len(pool)) {
		return
	}
	doublings := min(server.Failures-failuresToEject, 5)
	server.EjectedUntil = now.Add(min(firstEjectionTime<<doublings, maxEjectionTime))
}

// RecordSuccess records that a server answered a request. It ends an ejection.
func RecordSuccess(server *tracker.Server) {
	server.Failures = 0
	server.EjectedUntil = time.Time{}
}
