package quarantiner

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// Scenarios are short by default; longer ones are run by hand.
var (
	scenarioSeeds    = flag.Uint64("scenario.seeds", 2, "number of seeds for each scenario")
	scenarioDuration = flag.Duration("scenario.duration", time.Minute, "duration of each scenario")
)

// scenario is a fleet of servers with requests that arrive at random. A request
// begins its answer some time after it was sent and works for a few seconds.
type scenario struct {
	name string
	// soundRate and culpritRate are requests in a second, over all instances.
	soundRate   float64
	culpritRate float64
	// sharedPart means that the culprit's requests have the popular first part.
	sharedPart bool
	// repeated means that the culprit is a request that comes again whole, with the parts
	// of a sound one.
	repeated bool
	// crash, unless nil, returns the servers that crash for other reasons.
	crash func(now time.Duration, random *rand.Rand) []int
}

const (
	scenarioStep    = 10 * time.Millisecond
	scenarioServers = 24
	beginDelay      = 150 * time.Millisecond
	workTime        = 3 * time.Second
	restartTime     = 2 * time.Second
	// soundAfter is how long after its begin an answer counts as sound.
	soundAfter = time.Second

	popularPart, culpritPart = 1, 2
	// popularRequest is a sound request that comes again and again.
	popularRequest, culpritRequest = 3, 4
	firstSoundRequest              = 1_000_000
)

type scenarioRequest struct {
	traits      Traits
	server      int
	sent        time.Time
	soundTold   bool
	retriesLeft int
}

// run plays the scenario and returns how many requests with the culprit reached
// servers, how often servers crashed under it until then, and which parts were
// quarantined.
func (s scenario) run(seed uint64) (culprits int, quarantined map[uint64]bool) {
	random, ids := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	var table Table
	quarantined = map[uint64]bool{}
	var running []scenarioRequest
	downUntil := make([]time.Time, scenarioServers)
	starts := make([]int64, scenarioServers)
	isCulprit := func(traits Traits) bool {
		return traits.Request == culpritRequest || slices.Contains(traits.Parts, culpritPart)
	}
	send := func(now time.Time, traits Traits, retries int) {
		admission := table.Admit(now, traits, func(uint64) bool { return false })
		if admission.Level == LevelQuarantined || admission.HeldBack {
			return
		}
		server := random.IntN(scenarioServers)
		if now.Before(downUntil[server]) {
			return
		}
		if isCulprit(traits) {
			culprits++
		}
		running = append(running, scenarioRequest{traits: traits, server: server, sent: now, retriesLeft: retries})
	}
	for elapsed := time.Duration(0); elapsed < *scenarioDuration; elapsed += scenarioStep {
		now := start.Add(elapsed)
		if random.Float64() < s.soundRate*scenarioStep.Seconds() {
			rare, id := 1000+uint64(random.IntN(400)), firstSoundRequest+ids.Uint64N(1<<40)
			if rare%10 == 0 {
				id = popularRequest
			}
			send(now, Traits{Request: id, Parts: []uint64{popularPart, rare}}, 2)
		}
		if random.Float64() < s.culpritRate*scenarioStep.Seconds() {
			traits := Traits{Request: firstSoundRequest + ids.Uint64N(1<<40), Parts: []uint64{culpritPart}}
			switch {
			case s.repeated:
				traits = Traits{Request: culpritRequest, Parts: []uint64{popularPart, 1001}}
			case s.sharedPart:
				traits.Parts = []uint64{popularPart, culpritPart}
			}
			send(now, traits, 2)
		}
		crashed := map[int]bool{}
		if s.crash != nil {
			for _, server := range s.crash(elapsed, random) {
				crashed[server] = true
			}
		}
		for _, r := range running {
			if isCulprit(r.traits) && !now.Before(r.sent.Add(beginDelay)) {
				crashed[r.server] = true
			}
		}
		var broken []scenarioRequest
		kept := running[:0]
		for _, r := range running {
			began := r.sent.Add(beginDelay)
			switch {
			case crashed[r.server]:
				if now.Sub(began) < soundAfter {
					table.RecordCrash(now, NewCrashID(string(rune('a'+r.server)), starts[r.server]), "s", r.traits)
				}
				broken = append(broken, r)
				continue
			case !r.soundTold && now.Sub(began) >= soundAfter:
				table.RecordSoundBegin(began, "s", r.traits)
				r.soundTold = true
			}
			if now.Sub(began) < workTime {
				kept = append(kept, r)
			}
		}
		running = kept
		for server := range crashed {
			downUntil[server] = now.Add(restartTime)
			starts[server]++
		}
		for _, r := range broken {
			if r.retriesLeft > 0 && table.Level(now, r.traits) == LevelClear {
				send(now, r.traits, r.retriesLeft-1)
			}
		}
		if elapsed%verdictLifetime != 0 {
			continue
		}
		for _, finding := range table.Findings(now) {
			if finding.Level == LevelQuarantined && finding.Part < firstSoundRequest {
				quarantined[finding.Part] = true
			}
		}
	}
	return culprits, quarantined
}

// TestOnlyCulpritIsQuarantined plays culprits with sparse and dense requests, and
// crashes that no part causes.
func TestOnlyCulpritIsQuarantined(t *testing.T) {
	share := func(count int) []int {
		servers := make([]int, count)
		for i := range servers {
			servers[i] = i
		}
		return servers
	}
	isAt := func(now, period time.Duration) bool { return now > 0 && now%period == 0 }
	tests := []scenario{
		{name: "sparse culprit", soundRate: 60, culpritRate: 0.2},
		{name: "sparse culprit with the popular first part", soundRate: 60, culpritRate: 0.2, sharedPart: true},
		{name: "culprit each second", soundRate: 60, culpritRate: 1, sharedPart: true},
		{name: "dense culprit", soundRate: 60, culpritRate: 8, sharedPart: true},
		{name: "little sound traffic", soundRate: 4, culpritRate: 2, sharedPart: true},
		{name: "request repeated now and then", soundRate: 60, culpritRate: 0.2, repeated: true},
		{name: "request repeated each second", soundRate: 60, culpritRate: 1, repeated: true},
		{name: "request repeated all the time", soundRate: 60, culpritRate: 8, repeated: true},
		{name: "request repeated beside little sound traffic", soundRate: 4, culpritRate: 2, repeated: true},
		{name: "zone loses power", soundRate: 60, crash: func(now time.Duration, _ *rand.Rand) []int {
			if isAt(now, 40*time.Second) {
				return share(8)
			}
			return nil
		}},
		{name: "share of the servers crashes again and again", soundRate: 60, crash: func(now time.Duration, random *rand.Rand) []int {
			if isAt(now, 4*time.Second) {
				return random.Perm(scenarioServers)[:8]
			}
			return nil
		}},
		{name: "all servers crash", soundRate: 60, crash: func(now time.Duration, _ *rand.Rand) []int {
			if isAt(now, 20*time.Second) {
				return share(scenarioServers)
			}
			return nil
		}},
		{name: "servers crash one after another", soundRate: 60, crash: func(now time.Duration, random *rand.Rand) []int {
			if isAt(now, 500*time.Millisecond) {
				return []int{random.IntN(scenarioServers)}
			}
			return nil
		}},
		{name: "one server crashes at each start", soundRate: 60, crash: func(now time.Duration, _ *rand.Rand) []int {
			if isAt(now, 3*time.Second) {
				return []int{0}
			}
			return nil
		}},
		{name: "every server crashes again before an answer is sound", soundRate: 60, crash: func(now time.Duration, _ *rand.Rand) []int {
			if now < 10*time.Second || now > 25*time.Second {
				return nil
			}
			// Each server crashes every 720 ms, one of them every 30 ms.
			if now%(30*time.Millisecond) != 0 {
				return nil
			}
			return []int{int(now/(30*time.Millisecond)) % scenarioServers}
		}},
		{name: "culprit and crashes of other servers", soundRate: 60, culpritRate: 1, sharedPart: true, crash: func(now time.Duration, random *rand.Rand) []int {
			if isAt(now, 700*time.Millisecond) {
				return []int{random.IntN(scenarioServers)}
			}
			return nil
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *scenarioSeeds {
				culprits, quarantined := test.run(seed)
				want := map[uint64]bool{}
				switch {
				case test.repeated:
					want[culpritRequest] = true
				case test.culpritRate > 0:
					want[culpritPart] = true
				}
				assert.Check(t, cmp.DeepEqual(quarantined, want), "seed %d", seed)
				limit := 5 + int(test.culpritRate*8) + 8
				if test.repeated {
					limit = quarantiningCrashes + int(test.culpritRate*5) + 3
				}
				assert.Assert(t, culprits <= limit, "seed %d: %d requests with the culprit reached servers, more than %d", seed, culprits, limit)
			}
		})
	}
}
