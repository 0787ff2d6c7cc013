package placer

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/throttler"
)

// server is a backend server of this region with its load and health as far as
// they are known here.
type server struct {
	registrar.Server
	// manySenders means that so many instances send requests to the server that its
	// queue is predicted from their rates.
	manySenders bool
	// isEngine means that the server is an engine, which prefills prompts. All
	// other servers belong to plain services.
	isEngine  bool
	nameHash  uint64
	coldUntil time.Time
	// ownLoad is the load that this instance has placed on the server, and peerLoad
	// what the other instances have reported.
	ownLoad  Load
	peerLoad Load
	// loadChanged means that ownLoad or an ejection has changed since the last call
	// of FullLoads.
	loadChanged bool
	// lastSent is when this instance last placed a request on the server.
	lastSent time.Time
	// prefillRate measures the tokens that this instance sends to be prefilled.
	prefillRate rateMeter
	// latencyRatio is the moving average of the observed time to the first event
	// over the one that is predicted for a ratio of 1, and for the slowdown if the server
	// reports it.
	latencyRatio float64
	cache        prefixCache
	// cacheCapacity is how many tokens of earlier prompts the server is expected to
	// keep cached.
	cacheCapacity int64
	notice        notice
	slowdowns     slowdowns
	// turnedAwayUntil is until when a brittle server gets no requests because it turned one
	// away.
	turnedAwayUntil time.Time
	// speed is the learned speed of the service; nil for plain services.
	speed *serviceSpeed
	// eventTokens is the number of tokens in an event of a stream.
	eventTokens int64

	health
}

// Assumed performance of a server. The figures for engines are those of one
// engine in the data sheets of the installations; latencyRatio corrects them once
// answers of a server have been observed.
const (
	// decodeStepTime is the time of one decoding step for an empty batch, and
	// decodeTimePerRequest what each running request adds to it.
	decodeStepTime       = 4340 * time.Microsecond
	decodeTimePerRequest = 151 * time.Microsecond
	// prefillChunkTokens is how many tokens are prefilled between two decoding
	// steps, and prefillTokensPerMs how many in a millisecond.
	prefillChunkTokens = 2048
	prefillTokensPerMs = 36.7
	// firstEventOverhead is the part of the time to the first event that does not
	// depend on the prompt.
	firstEventOverhead = 22 * time.Millisecond
	// meanSlotTime is how long a request holds its slot on average. It predicts how
	// soon a slot of a full batch becomes free.
	meanSlotTime = 3 * time.Second
	// maxMemoryShare is the share of an engine's memory that running requests may
	// take. An engine whose memory runs out preempts some of them and prefills them
	// again later.
	maxMemoryShare = 0.8
	// memoryFullPenalty is added to the predicted wait if a request would exceed
	// maxMemoryShare.
	memoryFullPenalty = time.Second
	// meanPrefillTokens is the mean number of uncached tokens of a prompt, and
	// maxQueueUtilization the highest utilization for which a queue is predicted.
	// Queues are predicted from rates in regions with manyInstances instances or more.
	meanPrefillTokens   = 3000
	maxQueueUtilization = 0.95
	manyInstances       = 8
	// plainRequestTime is the time that a plain service takes for one request.
	plainRequestTime = 15 * time.Millisecond
)

// prefillTime predicts how long an engine whose speed is not known takes to prefill some
// tokens while it also decodes a batch of running requests.
func prefillTime(tokens int64, running int32) time.Duration {
	if tokens <= 0 {
		return 0
	}
	step := decodeStepTime + time.Duration(running)*decodeTimePerRequest
	perToken := 1/prefillTokensPerMs + step.Seconds()*1000/prefillChunkTokens
	return time.Duration(float64(tokens) * perToken * float64(time.Millisecond))
}

// totalLoad returns the load of all instances.
func (s *server) totalLoad() Load {
	total := s.ownLoad
	total.add(s.peerLoad)
	return total
}

// firstEventWait predicts the time to the first event of a request that has some
// uncached tokens to prefill.
func (s *server) firstEventWait(now time.Time, uncached int64) time.Duration {
	total := s.totalLoad()
	if !s.isEngine {
		rounds := float64(total.Running+1) / float64(max(s.Slots, 1))
		return time.Duration(max(rounds, 1) * float64(plainRequestTime) * s.timeFactor(now))
	}
	wait := s.firstEventOverhead() + s.prefillTime(max(total.PrefillTokens, s.expectedQueueTokens(now))+uncached, total.Running)
	if excess := int(total.Running) + 1 - s.Slots; excess > 0 && s.Slots > 0 {
		wait += time.Duration(excess) * meanSlotTime / time.Duration(s.Slots)
	}
	return time.Duration(float64(wait) * s.timeFactor(now))
}

// expectedQueueTokens returns the mean number of tokens that are queued for
// prefill before a new prompt, derived from the rate at which all instances send
// prompts. It is used where there are many instances: the queue changes faster
// than they report it. It returns 0 elsewhere.
func (s *server) expectedQueueTokens(now time.Time) int64 {
	if !s.manySenders {
		return 0
	}
	utilization := min(s.prefillUtilization(now), maxQueueUtilization)
	return int64(utilization / (1 - utilization) * meanPrefillTokens / 2)
}

// cold reports whether a server is still warming up.
func (s *server) cold(now time.Time) bool {
	return now.Before(s.coldUntil)
}

// latencyRatioWeight is the weight of one observation in the latency ratio, which stays
// from minLatencyRatio to maxLatencyRatio.
const (
	latencyRatioWeight = 0.1
	// minPredictedLatency is the shortest predicted time that is compared with the
	// observed one.
	minPredictedLatency = 20 * time.Millisecond
	minLatencyRatio     = 0.7
	maxLatencyRatio     = 3
)

// recordLatency updates the latency ratio with the observed and the predicted
// time to a first event. Very short predictions are skipped: their ratio says
// little about the server.
func (s *server) recordLatency(observed, predicted time.Duration) {
	if predicted < minPredictedLatency {
		return
	}
	ratio := observed.Seconds() / predicted.Seconds() * s.latencyRatio
	s.latencyRatio += latencyRatioWeight * (min(max(ratio, 0.5), 4) - s.latencyRatio)
	s.latencyRatio = min(max(s.latencyRatio, minLatencyRatio), maxLatencyRatio)
}

// SetServers replaces the list of the servers of this region. It keeps the load of
// servers that are still listed, and servers that have left until the requests of
// this instance there have ended. A server that was started again keeps nothing
// but that load.
func (p *Placer) SetServers(now time.Time, view *definer.View, servers []registrar.Server) {
	if p.serversByName == nil {
		p.serversByName = map[string]*server{}
	}
	seen := map[string]bool{}
	for _, announced := range servers {
		seen[announced.Name] = true
		p.updateServer(now, view, announced)
	}
	maps.DeleteFunc(p.serversByName, func(name string, s *server) bool {
		return !seen[name] && s.ownLoad.Running == 0
	})
	for name, s := range p.serversByName {
		if !seen[name] {
			s.State = registrar.StateGone
		}
	}
	p.updateSpeeds()
	p.Refresh(now)
}

// Refresh forgets what has become too old. It must be called a few times a second while
// SetServers is not.
func (p *Placer) Refresh(now time.Time) {
	p.dropOldNotices(now)
	p.dropOldKinds(now)
	p.limits.Forget(now, func(start throttler.Server) bool {
		s, listed := p.serversByName[start.Name]
		return listed && s.StartedAtMillis == start.StartedAtMillis
	})
	p.dropStalePeers(now)
	p.sumPeerLoads(now)
	p.readmitLast(now)
}

// updateServer takes over what a server announced of itself and the settings of
// its service.
func (p *Placer) updateServer(now time.Time, view *definer.View, announced registrar.Server) {
	s, exists := p.serversByName[announced.Name]
	if !exists || s.StartedAtMillis != announced.StartedAtMillis {
		previous := s
		s = &server{nameHash: xxhash.Sum64String(announced.Name), latencyRatio: 1, slowdowns: slowdowns{since: now}}
		if previous != nil {
			s.ownLoad = previous.ownLoad
		}
		s.notice = p.noticesByStart[serverStart{name: announced.Name, atMillis: announced.StartedAtMillis}]
		p.serversByName[announced.Name] = s
	}
	if until := now.Add(announced.Warmup - announced.Age); announced.Warmup > 0 && until.After(s.coldUntil) {
		s.coldUntil = until
	}
	s.Server = announced
	s.manySenders = p.RegionInstances >= manyInstances
	if service, defined := view.Service(announced.Service); defined {
		s.isEngine = service.Engine != nil
		s.cacheCapacity = expectedCacheCapacity(service)
		if s.isEngine {
			s.speed, s.eventTokens = p.speedOf(service.Name), int64(service.Engine.EventTokens)
		}
		if reopened := p.reopenedAt[announced.FailureDomain]; !reopened.IsZero() {
			if until := reopened.Add(service.Warmup); until.After(s.coldUntil) {
				s.coldUntil = until
			}
		}
	}
}

// SetClosedDomains replaces the set of failure domains whose servers are given no
// requests. From the next call of SetServers on, the servers of a domain that was
// reopened count as cold, as after a start.
func (p *Placer) SetClosedDomains(now time.Time, domains []string) {
	closed := map[string]bool{}
	for _, domain := range domains {
		closed[domain] = true
	}
	for domain := range p.closedDomains {
		if !closed[domain] {
			if p.reopenedAt == nil {
				p.reopenedAt = map[string]time.Time{}
			}
			p.reopenedAt[domain] = now
		}
	}
	p.closedDomains = closed
}

// usable reports whether a server may be given requests now, warm or cold.
func (p *Placer) usable(now time.Time, s *server) bool {
	return p.listedAsUsable(now, s) && !now.Before(s.notice.backoffUntil)
}

// listedAsUsable reports whether nothing but its own request for a pause keeps a
// server from being given requests.
func (p *Placer) listedAsUsable(now time.Time, s *server) bool {
	return p.isInUse(s) && !s.ejected(now)
}

// isInUse reports whether a server takes requests unless it is ejected, limited or has asked
// for a pause.
func (p *Placer) isInUse(s *server) bool {
	return s.State == registrar.StateReady && !s.notice.leaving && !s.Silent && !p.closedDomains[s.FailureDomain]
}

// ServerConditions returns the condition of every server of this region by name:
// ready, or the reason why it is given no or fewer requests, which is cold,
// limited, ejected, backing-off, closed, silent, leaving or gone.
func (p *Placer) ServerConditions(now time.Time) map[string]string {
	conditions := make(map[string]string, len(p.serversByName))
	for name, s := range p.serversByName {
		switch {
		case s.State != registrar.StateReady:
			conditions[name] = s.State.String()
		case s.notice.leaving:
			conditions[name] = registrar.StateLeaving.String()
		case s.Silent:
			conditions[name] = "silent"
		case p.closedDomains[s.FailureDomain]:
			conditions[name] = "closed"
		case s.ejected(now):
			conditions[name] = "ejected"
		case now.Before(s.notice.backoffUntil):
			conditions[name] = "backing-off"
		case p.isLimited(s):
			conditions[name] = "limited"
		case s.cold(now):
			conditions[name] = "cold"
		default:
			conditions[name] = "ready"
		}
	}
	return conditions
}
