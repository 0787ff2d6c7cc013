// Package picker chooses the backend server for a request.
//
// The one idea: every candidate gets an expected time to the first token, the
// prompts that it has yet to read before this one and what of this one its
// cache does not save, and the lowest goes. A prefix is expected in the cache of the server that
// rendezvous hashing gives it, so that all instances of a failure domain send
// it to the same place without talking to each other.
package picker

import (
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/tracker"
)

// What is assumed of a server until it has been seen at work.
const (
	// prefillSpeed is in tokens per second.
	prefillSpeed = 8000.0
	// fullBatchDrag is what a full batch adds to a first token, in seconds.
	fullBatchDrag = 0.1
	// maxPrefill is the most that is sent to a server before it has read what
	// it was sent, in tokens. The rest waits here, where it can still be
	// given to another.
	maxPrefill = 8000
	// cachedShare is what a prefill costs when the prefix is cached.
	cachedShare = 0.1
)

// Times and bounds of ejection.
const (
	// ejectAfter is how many failures in a row eject a server.
	ejectAfter = 3
	// ejectTime is how long the first ejection lasts; it doubles.
	ejectTime = 2 * time.Second
	// maxEjectTime bounds the doubling.
	maxEjectTime = time.Minute
	// maxEjectedShare is the part of a pool that may be ejected at once.
	maxEjectedShare = 0.34
	// slowStart is how long a new server's slots are ramped up.
	slowStart = 10 * time.Second
)

// Request is what the choice depends on.
type Request struct {
	// Prefix is a hash of the part of the prompt that is likely cached.
	Prefix uint64
	// PromptTokens is the prompt's size; PrefixTokens of them may be cached.
	PromptTokens int64
	PrefixTokens int64
	// Tried are servers that must not be chosen again.
	Tried []string
}

// Picker chooses servers. The zero value is ready to use.
type Picker struct {
	// Hints, if set, tells whether a cache event named the prefix on a
	// server. Events are late and have gaps: they only lower the cost.
	Hints func(server string, prefix uint64) bool
}

// Pick returns the best server with room, or nil when none has any.
func (p *Picker) Pick(now time.Time, servers []*tracker.Server, request Request) *tracker.Server {
	var best *tracker.Server
	bestScore := 0.0
	home := affine(servers, request.Prefix)
	fastest := fastest(servers)
	for _, server := range servers {
		if slots(now, server) <= 0 || slices.Contains(request.Tried, server.Name) {
			continue
		}
		score := p.score(server, request, server == home, fastest)
		if best == nil || score < bestScore {
			best = server
			bestScore = score
		}
	}
	return best
}

// score is the expected time to the first token, in seconds.
func (p *Picker) score(server *tracker.Server, request Request, home bool, fastest float64) float64 {
	cached := home || p.Hints != nil && p.Hints(server.Name, request.Prefix)
	prefill := float64(server.Own.Prefill + prefillOf(request, cached))
	batch := float64(server.Own.Requests+server.Others().Requests) / float64(max(server.MaxRunning, 1))
	slowness := 1.0
	if server.Speed > 0 {
		slowness = fastest / server.Speed
	}
	return slowness * (prefill/prefillSpeed + batch*fullBatchDrag)
}

// WorthwhilePrefix is the prefix that is worth waiting for its server, in
// tokens.
const WorthwhilePrefix = 500

// HomeHasRoom reports whether the server that has a request's prefix may take
// it now.
func HomeHasRoom(now time.Time, servers []*tracker.Server, request Request) bool {
	home := affine(servers, request.Prefix)
	return home != nil && slots(now, home) > 0 && !slices.Contains(request.Tried, home.Name)
}

// Prefill returns how much of a prompt a server will have to read.
func Prefill(servers []*tracker.Server, server *tracker.Server, request Request) int64 {
	return prefillOf(request, affine(servers, request.Prefix) == server)
}

func prefillOf(request Request, cached bool) int64 {
	if !cached {
		return request.PromptTokens
	}
	saved := (1 - cachedShare) * float64(request.PrefixTokens)
	return request.PromptTokens - int64(saved)
}

// fastest returns the highest speed seen of any server.
func fastest(servers []*tracker.Server) float64 {
	highest := 0.0
	for _, server := range servers {
		highest = max(highest, server.Speed)
	}
	return highest
}

// affine returns the server that rendezvous hashing gives a prefix.
func affine(servers []*tracker.Server, prefix uint64) *tracker.Server {
	if prefix == 0 {
		return nil
	}
	var best *tracker.Server
	var bestHash uint64
	for _, server := range servers {
		hash := mix(server.Hash ^ prefix)
		if best == nil || hash > bestHash {
			best = server
			bestHash = hash
		}
	}
	return best
}

// mix spreads the bits of a combined hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// slots returns how many requests a server may take now. A new server's are
// ramped, and one that comes back from an ejection is probed with one.
func slots(now time.Time, server *tracker.Server) int {
	free := server.Free()
	if server.Own.Prefill >= maxPrefill {
		return 0
	}
	if now.Before(server.EjectedUntil) {
		return 0
	}
	if server.Failures >= ejectAfter {
		return min(free, 1-server.Own.Requests)
	}
	age := now.Sub(server.Since)
	if age < slowStart {
		allowed := 1 + int(float64(server.MaxRunning)*float64(age)/float64(slowStart))
		return min(free, allowed-server.Own.Requests)
	}
	return free
}

// Room returns how many requests a pool's servers may take now.
func Room(now time.Time, servers []*tracker.Server) int {
	room := 0
	for _, server := range servers {
		room += max(slots(now, server), 0)
	}
	return room
}

// Failed notes a failure of a server, and ejects it when it has failed often
// in a row and its pool can spare it.
func Failed(now time.Time, server *tracker.Server, pool []*tracker.Server) {
	server.Failures++
	if server.Failures < ejectAfter {
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
	doublings := min(server.Failures-ejectAfter, 5)
	server.EjectedUntil = now.Add(min(ejectTime<<doublings, maxEjectTime))
}

// Succeeded notes that a server answered.
func Succeeded(server *tracker.Server) {
	server.Failures = 0
	server.EjectedUntil = time.Time{}
}
