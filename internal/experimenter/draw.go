package experimenter

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragehead/boragehead/internal/emulator"
)

// arrival is one request before it is sent.
type arrival struct {
	at     time.Duration
	region int
	kind   int
	parts  []emulator.Part
	output int64
	// most is what the caller allows, and hint what it expects, in tokens.
	most int64
	hint int64
	// weight is what the request counts against the mean of its kind.
	weight float64
}

// draw returns an amount.
func (a Amount) draw(random *rand.Rand) float64 {
	value := a.Mean * math.Exp(a.Spread*random.NormFloat64()-a.Spread*a.Spread/2)
	return min(max(value, 1), a.Most)
}

// drawer draws the requests of a pattern.
type drawer struct {
	pattern Pattern
	random  *rand.Rand
	// shared holds the parts of every kind and level.
	shared [][][]emulator.Part
	// sums are the running sums of the weights of each level's things.
	sums [][][]float64
}

func newDrawer(pattern Pattern, seed uint64) *drawer {
	d := &drawer{pattern: pattern, random: rand.New(rand.NewPCG(seed, xxhash.Sum64String("arrivals")))}
	for k, kind := range pattern.Kinds {
		var parts [][]emulator.Part
		var sums [][]float64
		for level, shared := range kind.Shared {
			things := make([]emulator.Part, shared.Things)
			sum := make([]float64, shared.Things)
			total := 0.0
			for i := range things {
				id := uint64(k+1)<<56 | uint64(level+1)<<48 | uint64(i+1)
				things[i] = emulator.Part{ID: id, Tokens: int64(shared.Tokens.draw(d.random))}
				total += math.Pow(float64(i+1), -shared.Skew)
				sum[i] = total
			}
			parts, sums = append(parts, things), append(sums, sum)
		}
		d.shared, d.sums = append(d.shared, parts), append(d.sums, sums)
	}
	return d
}

// arrivals draws all requests, in the order of their times.
func (d *drawer) arrivals() []arrival {
	var all []arrival
	for region := range d.pattern.Regions {
		all = append(all, d.regional(region)...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	d.weigh(all)
	return all
}

// drawStep is the time for which a rate is taken as constant.
const drawStep = 100 * time.Millisecond

func (d *drawer) regional(region int) []arrival {
	var all []arrival
	r := d.pattern.Regions[region]
	for at := time.Duration(0); at < d.pattern.Duration; at += drawStep {
		mean := r.Rate * r.at(at) * drawStep.Seconds()
		for used := d.random.ExpFloat64(); used < mean; used += d.random.ExpFloat64() {
			when := at + time.Duration(used/mean*float64(drawStep))
			all = append(all, d.request(when, region))
		}
	}
	return all
}

func (d *drawer) request(at time.Duration, region int) arrival {
	k := d.kind()
	kind := d.pattern.Kinds[k]
	a := arrival{at: at, region: region, kind: k, parts: d.subject(k)}
	own := emulator.Part{ID: d.random.Uint64(), Tokens: int64(kind.Own.draw(d.random))}
	a.parts = append(a.parts, own)
	stride := float64(d.pattern.Engine.EventTokens)
	a.output = int64(kind.Events.draw(d.random) * stride)
	a.most = int64(kind.Events.Most * stride)
	a.hint = int64(float64(a.output) * math.Exp(kind.Hint*d.random.NormFloat64()))
	return a
}

func (d *drawer) kind() int {
	total := 0.0
	for _, kind := range d.pattern.Kinds {
		total += kind.Share
	}
	at := d.random.Float64() * total
	for k, kind := range d.pattern.Kinds {
		if at -= kind.Share; at < 0 {
			return k
		}
	}
	return len(d.pattern.Kinds) - 1
}

// subject draws the last shared part; it decides on those before it.
func (d *drawer) subject(k int) []emulator.Part {
	levels := d.shared[k]
	parts := make([]emulator.Part, len(levels))
	thing := 0
	for level := len(levels) - 1; level >= 0; level-- {
		if level == len(levels)-1 {
			sums := d.sums[k][level]
			at := d.random.Float64() * sums[len(sums)-1]
			thing, _ = slices.BinarySearch(sums, at)
		} else {
			thing %= len(levels[level])
		}
		parts[level] = levels[level][thing]
	}
	return parts
}

// What a token of an answer counts against one of the prompt, and the bounds of
// a request's weight.
const (
	outputWeight = 10
	leastWeight  = 0.3
	mostWeight   = 4
)

// weigh sets the weights against the mean of each kind.
func (d *drawer) weigh(all []arrival) {
	sums := make([]float64, len(d.pattern.Kinds))
	counts := make([]float64, len(d.pattern.Kinds))
	for i := range all {
		sums[all[i].kind] += all[i].size()
		counts[all[i].kind]++
	}
	for i := range all {
		mean := sums[all[i].kind] / counts[all[i].kind]
		all[i].weight = min(leastWeight+(1-leastWeight)*all[i].size()/mean, mostWeight)
	}
}

func (a arrival) size() float64 {
	return float64(a.prompt() + outputWeight*a.most)
}

func (a arrival) prompt() int64 {
	total := int64(0)
	for _, part := range a.parts {
		total += part.Tokens
	}
	return total
}
