package placer

import (
	"math"
	"time"
)

// rateWindow is the time constant of the exponential average of a rateMeter.
const rateWindow = 2 * time.Second

// rateMeter measures a rate as an exponentially weighted moving average. Its zero
// value is ready for use and has a rate of 0.
type rateMeter struct {
	value float64
	last  time.Time
}

// add records an amount that occurs now.
func (m *rateMeter) add(now time.Time, amount float64) {
	m.value = m.rate(now) + amount/rateWindow.Seconds()
	m.last = now
}

// rate returns the current average per second.
func (m *rateMeter) rate(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.last).Seconds()/rateWindow.Seconds())
}
