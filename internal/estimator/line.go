package estimator

import (
	"cmp"
	"math"
	"slices"
)

const (
	// window is how many of the newest samples a line is fitted to. A service with some
	// requests a second fills it within a minute.
	window = 128
	// fitEvery is how many samples pass between two fits.
	fitEvery = 8
	// minSpread is the least mean difference of two samples, as a share of their mean, for
	// which a slope is fitted.
	minSpread = 0.2
	// minPairs is the least effective number of pairs for which a slope is fitted: with fewer
	// of them, some outliers among the few samples of another size would decide it.
	minPairs = 8
)

// point is one observation of y at x.
type point struct {
	x, y float64
}

// line is the line y = intercept + slope*x through the newest samples. It is fitted with
// medians: up to a quarter of the samples may be arbitrarily wrong. The zero value has no
// samples.
type line struct {
	// points are the newest samples, the next one at next.
	points []point
	next   int
	// count counts all samples. The line is fitted from minCount on, or from MinSamples if
	// that is 0.
	count, minCount int
	// fitted means that slope, which is positive, and intercept are known.
	fitted           bool
	slope, intercept float64
	medianX, medianY float64
}

// observe adds a sample and fits the line when that is due.
func (l *line) observe(x, y float64) {
	if len(l.points) < window {
		l.points = append(l.points, point{x, y})
	} else {
		l.points[l.next] = point{x, y}
	}
	l.next = (l.next + 1) % window
	l.count++
	if first := cmp.Or(l.minCount, MinSamples); l.count >= first && (l.count-first)%fitEvery == 0 {
		l.fit()
	}
}

// fit fits the line. Without enough spread the slope stays as it is and only the intercept
// is fitted.
func (l *line) fit() {
	l.medianX = median(l.values(func(p point) float64 { return p.x }))
	l.medianY = median(l.values(func(p point) float64 { return p.y }))
	slope, gap, ok := l.slopeByPairs()
	if ok {
		residuals := l.values(func(p point) float64 { return p.y - slope*p.x })
		center := median(residuals)
		for i := range residuals {
			residuals[i] = math.Abs(residuals[i] - center)
		}
		// A slope whose effect is lost in the noise could have any value.
		if slope*gap >= median(residuals) {
			l.slope, l.intercept, l.fitted = slope, center, true
			return
		}
	}
	if l.fitted {
		l.intercept = median(l.values(func(p point) float64 { return p.y - l.slope*p.x }))
	}
}

// slopeByPairs returns the median of the slopes between samples of the lower and of the
// upper half by x, weighted by the difference of x, and the mean difference. It returns
// false if x differs too little or the slope is not positive.
func (l *line) slopeByPairs() (slope, gap float64, ok bool) {
	type pair struct{ slope, weight float64 }
	sorted := slices.Clone(l.points)
	// Equal sizes keep their order: sorting them by y would pair high values with low ones.
	slices.SortStableFunc(sorted, func(a, b point) int { return cmp.Compare(a.x, b.x) })
	half := len(sorted) / 2
	pairs := make([]pair, 0, half)
	weights, squares, sum := 0.0, 0.0, 0.0
	for i, upper := range sorted[len(sorted)-half:] {
		lower := sorted[i]
		sum += lower.x + upper.x
		if difference := upper.x - lower.x; difference > 0 {
			pairs = append(pairs, pair{slope: (upper.y - lower.y) / difference, weight: difference})
			weights += difference
			squares += difference * difference
		}
	}
	gap = weights / float64(half)
	if len(pairs) == 0 || weights*weights < minPairs*squares || gap < minSpread*sum/float64(2*half) {
		return 0, 0, false
	}
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(a.slope, b.slope) })
	left := weights / 2
	for _, p := range pairs {
		if left -= p.weight; left <= 0 {
			return p.slope, gap, p.slope > 0
		}
	}
	return 0, 0, false
}

// values returns a value of each sample.
func (l *line) values(of func(point) float64) []float64 {
	values := make([]float64, 0, len(l.points))
	for _, p := range l.points {
		values = append(values, of(p))
	}
	return values
}

// median returns the median of some values, which it sorts. There must be at least one.
func median(values []float64) float64 {
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
