package placer

import (
	"math"
	"time"
)

// meterTime is over which a meter averages.
const meterTime = 2 * time.Second

// meter averages a rate over time, with recent amounts counting most. The zero
// value has seen nothing.
type meter struct {
	value float64
	last  time.Time
}

func (m *meter) add(now time.Time, amount float64) {
	m.value = m.rate(now) + amount/meterTime.Seconds()
	m.last = now
}

// rate returns the amount a second.
func (m *meter) rate(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.last).Seconds()/meterTime.Seconds())
}
