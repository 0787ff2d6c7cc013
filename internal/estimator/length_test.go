package estimator

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEstimatesFarOffAreTakenAsTheyAre guards against outputs that are refused, or accepted,
// because their callers' estimates are far off: of the highest estimates most are too high.
func TestEstimatesFarOffAreTakenAsTheyAre(t *testing.T) {
	random, l := rand.New(rand.NewPCG(1, 2)), Length{}
	draw := func() (int64, int64) {
		length := 200 * math.Exp(0.8*random.NormFloat64())
		return max(int64(length*math.Exp(0.6*random.NormFloat64())), 1), max(int64(length), 1)
	}
	assert.Equal(t, l.Correct(800), int64(800))
	for range 2 * window {
		l.Observe(draw())
	}
	l.Observe(0, 5)
	l.Observe(5, 0)
	assert.Equal(t, l.Correct(0), int64(0))
	for _, bounds := range [][2]int64{{1, 100}, {100, 400}, {400, math.MaxInt64}} {
		longer, count := 0.0, 0.0
		for range 10_000 {
			if expected, length := draw(); expected >= bounds[0] && expected < bounds[1] {
				count++
				if length > l.Correct(expected) {
					longer++
				}
			}
		}
		assert.Check(t, longer > 0.35*count && longer < 0.65*count, "%.2f of those from %d on are longer", longer/count, bounds[0])
	}
}
