package estimator

import "math"

// Length learns how long outputs are for the lengths that callers expect. Estimates that are
// often far off are too high where they are high, and too low where they are low. The zero
// value has learned nothing and takes each estimate as it is. It is not safe for concurrent
// use.
type Length struct {
	// line is that of the logarithms.
	line line
}

// minLengths is the number of outputs from which on lengths are corrected. The error of a
// few is less than that of the estimates.
const minLengths = 20

// Observe learns from an output: its expected and its real length in tokens.
func (l *Length) Observe(expected, length int64) {
	if expected <= 0 || length <= 0 {
		return
	}
	l.line.minCount = minLengths
	l.line.observe(math.Log(float64(expected)), math.Log(float64(length)))
}

// Correct returns the length that an output with an expected length has at the median.
func (l *Length) Correct(expected int64) int64 {
	if expected <= 0 || !l.line.fitted {
		return expected
	}
	return max(int64(math.Round(math.Exp(l.line.intercept+l.line.slope*math.Log(float64(expected))))), 1)
}
