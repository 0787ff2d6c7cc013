package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragehead/boragehead/internal/definer"
)

// Costs that are added to the wait when servers are compared, which decide among
// servers that are all fast enough, and limits of the reserved servers, which
// keep capacity free for long outputs.
const (
	// prefillCostPerToken is charged for a token that is computed again although
	// another server has it cached, and copyCostPerToken for one that is copied from
	// there. A token that the server itself has cached costs nothing.
	prefillCostPerToken = 70 * time.Microsecond
	copyCostPerToken    = 15 * time.Microsecond
	// minCopyTokens is the fewest tokens that are worth copying.
	minCopyTokens = 256
	// copyLatency is the time that a copy adds to the wait.
	copyLatency = 12 * time.Millisecond
	// interferenceWeight is the weight of the delay that prefilling the prompt
	// causes to each running request. outputTimeWeight is the weight of the time
	// that the request's own output takes.
	interferenceWeight = 0.06
	outputTimeWeight   = 0.06

	// With more than reservedMaxRunning running requests a reserved server takes
	// only requests that are expected to produce longOutput tokens or more. With
	// more than reservedPrefillMaxRunning it takes none that has more than
	// reservedMaxPrefill tokens to prefill.
	reservedMaxRunning        = 28
	reservedPrefillMaxRunning = 20
	reservedMaxPrefill        = 1500
	longOutput                = 450
	// minServersForReserve is the fewest servers of a service of which some are
	// reserved, and reservedShare the share that is: at least one.
	minServersForReserve = 3
	reservedShare        = 0.4
)

// comparisonBasis holds what all candidates for one request are compared by.
type comparisonBasis struct {
	// cacheHolder is the server that is known to have the most of the prompt cached:
	// heldTokens. It is nil if none has any of it.
	cacheHolder *server
	heldTokens  int64
	// prefillTarget, unless nil, is the server that should prefill the shared parts
	// of the prompt, which no server is known to have cached as a whole.
	prefillTarget *server
	sharedTokens  int64
	// reserved are the servers that keep capacity for long outputs.
	reserved []*server
	// waitFloor is the wait below which all waits count as equal.
	waitFloor time.Duration
}

func (p *Placer) newComparisonBasis(now time.Time, request Request) comparisonBasis {
	basis := comparisonBasis{waitFloor: time.Duration(float64(request.Objective.Sub(now)) * localWaitShare)}
	if !p.sharesOverflow(now, request) { // headroom on all servers keeps none apart
		basis.reserved = p.reservedServers(now, request.Service)
	}
	basis.cacheHolder, basis.heldTokens = p.longestCached(now, request)
	basis.prefillTarget, basis.sharedTokens = p.prefillTarget(now, request, basis.heldTokens)
	return basis
}

// bestLocal returns the server of this region with the lowest sum of wait and
// cost. The result has no server if none is eligible.
func (p *Placer) bestLocal(now time.Time, request Request) candidate {
	var best, fallback candidate
	if !request.mayRunIn(p.Region) || !p.reaches(request) && !p.handsOver(request) {
		return best
	}
	basis := p.newComparisonBasis(now, request)
	count := 0
	for _, s := range p.serversByName {
		if !p.eligible(now, s, request) {
			continue
		}
		count++
		option := p.evaluate(now, s, request, basis)
		if !request.goesOn() && slices.Contains(basis.reserved, s) && s.withheldFrom(request.Work, request.Work.Prompt-option.cachedTokens) {
			if fallback.server == nil || option.betterThan(fallback, basis.waitFloor) {
				fallback = option // used if no other server is eligible
			}
			continue
		}
		if best.server == nil || option.betterThan(best, basis.waitFloor) {
			best = option
		}
	}
	if best.server == nil {
		best = fallback
	}
	best.usableServers = count
	return best
}

// eligible reports whether a server may be given a request now.
func (p *Placer) eligible(now time.Time, s *server, request Request) bool {
	if s.Service != request.Service.Name || slices.Contains(request.TriedServers, s.Name) || !p.usable(now, s) {
		return false
	}
	if !request.allowsVersion(s.Version) || p.lacksRoom(now, s) {
		return false
	}
	if !p.limits.MaySend(now, s.start().throttled(), request.isUrgent()) {
		return false
	}
	return !s.cold(now) || p.mayWarmUp(now, s, request.Service)
}

// betterThan reports whether a candidate is better than another one. Waits below
// waitFloor count as equal; ties are broken by the exact wait, then by the hash.
func (c candidate) betterThan(other candidate, waitFloor time.Duration) bool {
	a, b := max(c.wait, waitFloor)+c.cost, max(other.wait, waitFloor)+other.cost
	if a != b {
		return a < b
	}
	if c.wait != other.wait {
		return c.wait < other.wait
	}
	return c.server.nameHash < other.server.nameHash
}

// evaluate predicts how one server would serve a request. If another server has
// more of the prompt cached and the engines can copy it, the prediction includes
// the copy.
func (p *Placer) evaluate(now time.Time, s *server, request Request, basis comparisonBasis) candidate {
	engine := request.Service.Engine
	option := candidate{server: s, cachedTokens: s.cache.cachedTokens(request.Work.Parts)}
	if basis.prefillTarget != nil && s != basis.prefillTarget {
		option.cost = time.Duration(basis.sharedTokens) * copyCostPerToken
	}
	switch missing := basis.heldTokens - option.cachedTokens; {
	case basis.cacheHolder == nil || missing < minCopyTokens:
	case engine != nil && engine.Moves:
		option.cachedTokens, option.copySource = basis.heldTokens, basis.cacheHolder
		option.cost += time.Duration(missing) * copyCostPerToken
		option.wait = copyLatency
	default:
		option.cost += time.Duration(missing) * prefillCostPerToken
	}
	option.ownPrefill = time.Duration(float64(s.prefillTime(request.Work.Prompt-option.cachedTokens, s.totalLoad().Running)) * s.timeFactor(now))
	option.wait += s.firstEventWait(now, request.Work.Prompt-option.cachedTokens)
	if engine == nil {
		option.completion = option.wait
		return option
	}
	option.cost += s.interferenceCost(request.Work.Prompt-option.cachedTokens) + time.Duration(outputTimeWeight*float64(s.outputTime(now, request.Work)))
	if memory := float64(s.totalLoad().MemoryTokens + request.Work.memoryTokens()); memory > maxMemoryShare*float64(engine.Memory) {
		option.wait += memoryFullPenalty
	}
	option.completion = option.wait + s.outputTime(now, request.Work)
	option.tokenTime = s.outputTime(now, Work{Output: 1})
	option.overrun = max(option.completion-request.Deadline.Sub(now), 0)
	option.wait += option.overrun
	return option
}

// interferenceCost returns the cost of the delay that prefilling a prompt causes
// to the running requests.
func (s *server) interferenceCost(uncached int64) time.Duration {
	return time.Duration(interferenceWeight * float64(s.totalLoad().Running) * float64(s.prefillTime(uncached, 0)))
}

// reservedServers returns the servers of a service that are given fewer prompts to
// prefill than the others, so that long outputs can end in time while the other
// servers carry the load: a share of those that are warm, which is the same for all
// instances. It returns none if the service has too few of them or no engines.
func (p *Placer) reservedServers(now time.Time, service *definer.Service) []*server {
	if service.Engine == nil {
		return nil
	}
	var warm []*server
	for _, s := range p.serversByName {
		if s.Service == service.Name && p.usable(now, s) && !s.cold(now) && !p.isLimited(s) {
			warm = append(warm, s)
		}
	}
	if len(warm) < minServersForReserve {
		return nil
	}
	slices.SortFunc(warm, func(a, b *server) int { return cmp.Compare(b.nameHash, a.nameHash) })
	return warm[:max(int(reservedShare*float64(len(warm))+0.5), 1)]
}

// withheldFrom reports whether s, as a reserved server, keeps its remaining
// capacity free of a request that has some uncached tokens to prefill.
func (s *server) withheldFrom(work Work, uncached int64) bool {
	running := s.totalLoad().Running
	if uncached > reservedMaxPrefill && running > reservedPrefillMaxRunning {
		return true
	}
	return work.expectedOutput() < longOutput && running > reservedMaxRunning
}

// outputTime predicts how long an engine takes to generate the output of a
// request while it also serves the running batch and prefills incoming prompts.
func (s *server) outputTime(now time.Time, work Work) time.Duration {
	step := s.stepTime(s.totalLoad().Running + 1)
	return time.Duration(float64(work.expectedOutput()) * float64(step) / s.decodingShare(now) * s.outputFactor(now))
}

// prefillUtilization returns the share of an engine's time that prefilling the
// prompts of all instances takes. It exceeds 1 if more arrive than the engine can
// prefill.
func (s *server) prefillUtilization(now time.Time) float64 {
	return (s.prefillRate.rate(now) + float64(s.peerLoad.PrefillRate)) / (s.prefillTokensPerMs() * 1000)
}

// decodingShare returns the share of an engine's time that prefills leave for decoding.
func (s *server) decodingShare(now time.Time) float64 {
	return 1 - min(s.prefillUtilization(now), maxPrefillUtilization)
}

// maxPrefillUtilization bounds the share of an engine's time that is assumed to go
// to prefills: decoding always gets a share.
const maxPrefillUtilization = 0.85

// prefillTarget returns the server that should prefill the shared parts of a
// prompt if no server is known to have all of them cached, and their size in
// tokens. Rendezvous hashing of the last shared part selects the server.
func (p *Placer) prefillTarget(now time.Time, request Request, heldTokens int64) (*server, int64) {
	shared := sharedTokens(request.Work.Parts)
	if heldTokens >= shared {
		return nil, 0
	}
	return p.rendezvousServer(now, request), shared
}

// longestCached returns the server that is expected to have the most of a prompt
// cached, and how many tokens that is.
func (p *Placer) longestCached(now time.Time, request Request) (best *server, tokens int64) {
	for _, s := range p.serversByName {
		if s.Service != request.Service.Name || !p.usable(now, s) {
			continue
		}
		cached := s.cache.cachedTokens(request.Work.Parts)
		if cached > tokens || cached > 0 && cached == tokens && s.nameHash < best.nameHash {
			best, tokens = s, cached
		}
	}
	return best, tokens
}

// mayWarmUp reports whether a cold server may be given a request by this instance.
// Only one instance of the server's failure domain may send it requests, so that
// the warm-up rate holds for all instances together.
func (p *Placer) mayWarmUp(now time.Time, s *server, service *definer.Service) bool {
	if service.WarmupRate <= 0 {
		return true
	}
	if s.FailureDomain != p.FailureDomain || now.Before(p.NeighboursKnownAt) {
		return false
	}
	return p.warmupOwner(now, s) == p.InstanceName && now.Sub(s.lastSent) >= service.WarmupInterval()
}

// warmupOwner returns the name of the live instance of this failure domain that
// may warm a server up. Rendezvous hashing selects it.
func (p *Placer) warmupOwner(now time.Time, s *server) string {
	best := p.InstanceName
	highest := mixBits(xxhash.Sum64String(p.InstanceName) ^ s.nameHash)
	for name, heard := range p.neighbours {
		if now.Sub(heard) > peerLoadTTL {
			continue
		}
		if rank := mixBits(xxhash.Sum64String(name) ^ s.nameHash); rank > highest {
			best, highest = name, rank
		}
	}
	return best
}

// rendezvousServer returns the usable server that rendezvous hashing selects for
// the last shared part of a prompt, so that all instances of the region send that
// part to the same server. It returns nil if the prompt has no shared part or the
// service no usable server.
func (p *Placer) rendezvousServer(now time.Time, request Request) *server {
	parts := request.Work.Parts
	if len(parts) < 2 {
		return nil
	}
	key := parts[len(parts)-2].ID
	var best *server
	var highest uint64
	for _, s := range p.serversByName {
		if s.Service != request.Service.Name || !p.usable(now, s) || p.isLimited(s) {
			continue
		}
		if rank := mixBits(s.nameHash ^ key); best == nil || rank > highest {
			best, highest = s, rank
		}
	}
	return best
}

// mixBits spreads the bits of a combined hash. It is the finalizer of MurmurHash3.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// sharedTokens returns the tokens of all parts but the last one, which is not
// shared with other requests.
func sharedTokens(parts []PromptPart) int64 {
	total := int64(0)
	for i := range len(parts) - 1 {
		total += parts[i].Tokens
	}
	return total
}
