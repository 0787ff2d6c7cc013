package experimenter

import "slices"

// bounds holds what a pattern's requests of one seed can be worth at most.
type bounds struct {
	kinds, regions, windows []groupBound
	all                     groupBound
}

// groupBound holds the Bound and Mix of a GroupResult.
type groupBound struct{ bound, mix float64 }

// newBounds computes the bounds of a pattern. The bound of a group leaves the whole
// fleet to its requests.
func newBounds(pattern Pattern, seed uint64) bounds {
	m := newBoundModel(pattern, seed, newGenerator(pattern, seed).arrivals())
	best, mix := newPrices(m).search(m.requests)
	b := bounds{all: newGroupBound(best, mix, m.requests)}
	by := func(count int, indexOf func(r *boundRequest) int) []groupBound {
		groups := make([][]boundRequest, count)
		mixes := make([][]float64, count)
		for n := range m.requests {
			group := indexOf(&m.requests[n])
			groups[group] = append(groups[group], m.requests[n])
			mixes[group] = append(mixes[group], mix[n])
		}
		var all []groupBound
		for group, requests := range groups {
			best, _ := newPrices(m).search(requests)
			all = append(all, newGroupBound(best, mixes[group], requests))
		}
		return all
	}
	b.kinds = by(len(pattern.Kinds), func(r *boundRequest) int { return r.kindIndex })
	b.regions = by(len(pattern.Regions), func(r *boundRequest) int { return r.regionIndex })
	b.windows = by(pattern.windowOf(pattern.Duration)+1, func(r *boundRequest) int { return r.window })
	return b
}

// newGroupBound relates a bound and a mix to the worth of requests that are all in
// time.
func newGroupBound(bound float64, mix []float64, requests []boundRequest) groupBound {
	possible := 0.0
	for _, r := range requests {
		possible += r.possible
	}
	if possible == 0 {
		return groupBound{}
	}
	return groupBound{bound: bound / possible, mix: sum(mix) / possible}
}

// addTo sets the bounds in a result.
func (b bounds) addTo(result *Result) {
	set := func(groups []GroupResult, all []groupBound) {
		for i := range all {
			groups[i].Bound, groups[i].Mix = all[i].bound, all[i].mix
		}
	}
	set(result.Kinds, append(slices.Clone(b.kinds), b.all))
	set(result.Regions, b.regions)
	set(result.Windows, b.windows)
}
