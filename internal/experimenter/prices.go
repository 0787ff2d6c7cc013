package experimenter

import "math"

// prices is a state of the search for the least bound. Whatever the prices of engine
// time are, the worth of all engine time at these prices, plus what the requests are
// worth beyond the price of their work, is at least the worth of any schedule (weak
// duality). The search lowers that sum and can be stopped at any time.
type prices struct {
	*boundModel
	// values holds the worth of all of a resource; unitPrices are that divided by the
	// capacity, and tokenPrices the prices of prefilling a token.
	values, unitPrices []resources
	tokenPrices        []float64
	// used is what the requests' best options use.
	used []resources
	// cheapest holds, by region and window, the window until then in which prefilling
	// costs least.
	cheapest []int
}

func newPrices(m *boundModel) *prices {
	n := len(m.capacity)
	return &prices{
		boundModel: m, values: make([]resources, n), unitPrices: make([]resources, n), tokenPrices: make([]float64, n),
		used: make([]resources, n), cheapest: make([]int, n),
	}
}

// priceAt returns the price of work in a window of a region.
func (p *prices) priceAt(w *work, at int) float64 {
	return w[0]*p.unitPrices[at][0] + w[1]*p.unitPrices[at][1]
}

// prepare derives the other prices from the values, and clears used.
func (p *prices) prepare() {
	token := p.prefillTime(1)
	for at, capacity := range p.capacity {
		p.used[at] = resources{}
		for i := range capacity {
			p.unitPrices[at][i] = p.values[at][i] / capacity[i]
		}
		p.tokenPrices[at] = p.priceAt(&token, at)
		p.cheapest[at] = at
		if at%p.windows > 0 && p.tokenPrices[p.cheapest[at-1]] <= p.tokenPrices[at] {
			p.cheapest[at] = p.cheapest[at-1]
		}
	}
}

// placement holds the indices at which the work of an option costs least. The answer
// has begun by the end of the window at begun.
type placement struct{ own, shared, decoding, begun int }

// cheapestPlacement returns where the work of an option costs least, and the price.
func (p *prices) cheapestPlacement(r *boundRequest, option *boundOption) (placement, float64) {
	offset := option.region * p.windows
	first, lastPrefill, lastToken := offset+option.from, offset+min(option.lastPrefill, p.windows-1), offset+min(option.lastToken, p.windows-1)
	found := placement{own: first, shared: p.cheapest[lastPrefill], decoding: first, begun: lastPrefill}
	for at := first + 1; at <= lastPrefill; at++ {
		if p.tokenPrices[at] < p.tokenPrices[found.own] {
			found.own = at
		}
	}
	decoding, holding := p.priceAt(&r.decoding, first), 0.0
	for at := first + 1; at <= lastToken; at++ {
		if at > lastPrefill {
			holding += p.unitPrices[at-1][slots]
		}
		if price := p.priceAt(&r.decoding, at) + holding; price < decoding {
			found.decoding, decoding = at, price
		}
	}
	return found, r.ownTokens*p.tokenPrices[found.own] + r.sharedTokens*p.tokenPrices[found.shared] + decoding
}

// evaluate returns the bound at these prices. It sets used to what the best options
// of the requests use, and chosen to the worth of these options, by request.
func (p *prices) evaluate(requests []boundRequest, chosen []float64) float64 {
	p.prepare()
	bound := 0.0
	for _, value := range p.values {
		bound += sum(value[:])
	}
	for n := range requests {
		r := &requests[n]
		gain := 0.0
		chosen[n] = 0
		var best placement
		for i := range r.options {
			option := &r.options[i]
			if option.value <= gain {
				continue
			}
			if found, price := p.cheapestPlacement(r, option); option.value-price > gain {
				gain, chosen[n], best = option.value-price, option.value, found
			}
		}
		if gain <= 0 {
			continue
		}
		bound += gain
		for i := range r.own {
			p.used[best.own][i] += r.own[i]
			p.used[best.shared][i] += r.shared[i]
			p.used[best.decoding][i] += r.decoding[i]
		}
		for at := best.begun; at < best.decoding; at++ {
			p.used[at][slots]++
		}
	}
	return bound
}

// The search aims below the best bound by a fraction that starts at firstAim and is
// halved after patience rounds without a better bound. It ends when the fraction is
// below lastAim, or after maxRounds.
const (
	firstAim  = 0.1
	lastAim   = 0.0005
	patience  = 6
	maxRounds = 150
)

// search returns the least bound that it finds for the requests. mix holds, by
// request, the mean worth of its options: those of the rounds, weighted by their
// steps, approach a best schedule. It is scaled down to the bound where the rounds on
// average still use more than there is.
func (p *prices) search(requests []boundRequest) (best float64, mix []float64) {
	best, mix = p.searchRounds(requests)
	if total := sum(mix); total > best {
		for n := range mix {
			mix[n] *= best / total
		}
	}
	return best, mix
}

func (p *prices) searchRounds(requests []boundRequest) (best float64, mix []float64) {
	best, aim, since := math.Inf(1), firstAim, 0
	chosen, weights := make([]float64, len(requests)), 0.0
	mix = make([]float64, len(requests))
	for round := 0; round < maxRounds && aim >= lastAim; round++ {
		bound := p.evaluate(requests, chosen)
		if since++; bound < best {
			best, since = bound, 0
		} else if since >= patience {
			aim, since = aim/2, 0
		}
		step := p.step(bound - (1-aim)*best)
		if step == 0 {
			return best, chosen // at these prices, the best options fit
		}
		// Forgets the first rounds, whose prices are far off.
		const kept = 0.97
		weights = weights*kept + step
		for n := range mix {
			mix[n] += (chosen[n] - mix[n]) * step / weights
		}
	}
	return best, mix
}

// step moves the prices along the subgradient by the distance at which the bound
// would fall by excess if it were linear. It returns 0 if the options in use fit.
func (p *prices) step(excess float64) float64 {
	square := 0.0
	for at, capacity := range p.capacity {
		for i, used := range p.used[at] {
			if free := 1 - used/capacity[i]; free < 0 || p.values[at][i] > 0 {
				square += free * free
			}
		}
	}
	if square == 0 {
		return 0
	}
	step := excess / square
	for at, capacity := range p.capacity {
		for i, used := range p.used[at] {
			p.values[at][i] = max(p.values[at][i]-step*(1-used/capacity[i]), 0)
		}
	}
	return step
}
