package experimenter

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragehead/boragehead/internal/emulator"
)

// arrival is one request of the generated load. at is the time since the start;
// regionIndex and kindIndex are indices into the
// pattern.
type arrival struct {
	at          time.Duration
	regionIndex int
	kindIndex   int
	// workspaceIndex is the index of the hot workspace that sends the request, or their
	// number for all other workspaces.
	workspaceIndex int
	parts          []emulator.PromptPart
	outputTokens   int64
	// maxOutputTokens is the caller's limit on the response, and expectedOutputTokens
	// the caller's estimate.
	maxOutputTokens      int64
	expectedOutputTokens int64
	// weight scales the worth of the request: it grows with the request's cost relative
	// to the mean of its kind.
	weight float64
}

// sample returns a random value of the distribution.
func (a Distribution) sample(random *rand.Rand) float64 {
	value := a.Mean * math.Exp(a.Spread*random.NormFloat64()-a.Spread*a.Spread/2)
	return min(max(value, 1), a.Max)
}

// generator generates the requests of a pattern.
type generator struct {
	pattern Pattern
	random  *rand.Rand
	// sharedParts holds the parts by kind and level.
	sharedParts [][][]emulator.PromptPart
	// cumulativeWeights holds, by kind and level, the running sums of the parts'
	// weights.
	cumulativeWeights [][][]float64
}

func newGenerator(pattern Pattern, seed uint64) *generator {
	g := &generator{pattern: pattern, random: rand.New(rand.NewPCG(seed, xxhash.Sum64String("arrivals")))}
	for k, kind := range pattern.Kinds {
		var partsByLevel [][]emulator.PromptPart
		var sumsByLevel [][]float64
		for level, shared := range kind.SharedLevels {
			parts := make([]emulator.PromptPart, shared.Count)
			sums := make([]float64, shared.Count)
			total := 0.0
			for i := range parts {
				id := uint64(k+1)<<56 | uint64(level+1)<<48 | uint64(i+1)
				parts[i] = emulator.PromptPart{ID: id, Tokens: int64(shared.Tokens.sample(g.random))}
				total += math.Pow(float64(i+1), -shared.Skew)
				sums[i] = total
			}
			partsByLevel, sumsByLevel = append(partsByLevel, parts), append(sumsByLevel, sums)
		}
		g.sharedParts, g.cumulativeWeights = append(g.sharedParts, partsByLevel), append(g.cumulativeWeights, sumsByLevel)
	}
	return g
}

// arrivals returns all requests in the order of their times.
func (g *generator) arrivals() []arrival {
	var all []arrival
	for region := range g.pattern.Regions {
		all = append(all, g.arrivalsIn(region)...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	g.setWeights(all)
	return all
}

// rateInterval is the time during which the arrival rate is taken as constant.
const rateInterval = 100 * time.Millisecond

func (g *generator) arrivalsIn(region int) []arrival {
	var all []arrival
	r := g.pattern.Regions[region]
	for at := time.Duration(0); at < g.pattern.Duration; at += rateInterval {
		weights, growth := g.pattern.shares(at)
		workspaces := g.pattern.workspaceShares(at)
		mean := r.Rate * r.loadFactor(at) * growth * sum(workspaces) * rateInterval.Seconds()
		for used := g.random.ExpFloat64(); used < mean; used += g.random.ExpFloat64() {
			when := at + time.Duration(used/mean*float64(rateInterval))
			a := g.newArrival(when, region, weights)
			if len(workspaces) > 1 {
				a.workspaceIndex = g.sampleIndex(workspaces)
			}
			all = append(all, a)
		}
	}
	return all
}

func (g *generator) newArrival(at time.Duration, region int, weights []float64) arrival {
	k := g.sampleIndex(weights)
	kind := g.pattern.Kinds[k]
	a := arrival{at: at, regionIndex: region, kindIndex: k, parts: g.sampleSharedParts(k)}
	own := emulator.PromptPart{ID: g.random.Uint64(), Tokens: int64(kind.OwnTokens.sample(g.random))}
	a.parts = append(a.parts, own)
	tokensPerEvent := float64(g.pattern.Engine.TokensPerEvent)
	a.outputTokens = int64(kind.Events.sample(g.random) * tokensPerEvent)
	a.maxOutputTokens = int64(kind.Events.Max * tokensPerEvent)
	a.expectedOutputTokens = int64(float64(a.outputTokens) * math.Exp(kind.HintSpread*g.random.NormFloat64()))
	return a
}

// sampleIndex returns a random index, drawn in proportion to the weights.
func (g *generator) sampleIndex(weights []float64) int {
	target := g.random.Float64() * sum(weights)
	for i, weight := range weights {
		if target -= weight; target < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// sampleSharedParts chooses a part of the last level at random; its index
// determines the parts of the levels before it.
func (g *generator) sampleSharedParts(k int) []emulator.PromptPart {
	levels := g.sharedParts[k]
	parts := make([]emulator.PromptPart, len(levels))
	index := 0
	for level := len(levels) - 1; level >= 0; level-- {
		if level == len(levels)-1 {
			sums := g.cumulativeWeights[k][level]
			target := g.random.Float64() * sums[len(sums)-1]
			index, _ = slices.BinarySearch(sums, target)
		} else {
			index %= len(levels[level])
		}
		parts[level] = levels[level][index]
	}
	return parts
}

// outputWeight is the cost of a response token relative to a prompt token. The
// others bound the weight of a request.
const (
	outputWeight = 10
	minWeight    = 0.3
	maxWeight    = 4
)

// setWeights sets the weights from the costs of the requests of each kind.
func (g *generator) setWeights(all []arrival) {
	sums := make([]float64, len(g.pattern.Kinds))
	counts := make([]float64, len(g.pattern.Kinds))
	for i := range all {
		sums[all[i].kindIndex] += all[i].cost()
		counts[all[i].kindIndex]++
	}
	for i := range all {
		mean := sums[all[i].kindIndex] / counts[all[i].kindIndex]
		all[i].weight = min(minWeight+(1-minWeight)*all[i].cost()/mean, maxWeight)
	}
}

func (a arrival) cost() float64 {
	return float64(a.promptTokens() + outputWeight*a.outputTokens)
}

func (a arrival) promptTokens() int64 {
	total := int64(0)
	for _, part := range a.parts {
		total += part.Tokens
	}
	return total
}
