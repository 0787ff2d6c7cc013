package measurer

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioScale is the resolution of a ratio: a thousandth. Ratios are limited to the range
	// from that to maxRatio.
	ratioScale = 1000
	maxRatio   = 1000
	// maxRatioServices bounds the services that have histograms of their own under one name.
	// Definitions may name ever new ones.
	maxRatioServices = 64
	// otherServices is the service that the others are counted under.
	otherServices = "other"
)

// ratioName identifies a histogram of ratios.
type ratioName struct {
	name, service string
}

// ObserveRatio records a ratio in the histogram of a service, which is created at its first
// use. From 64 services on, the others share one histogram.
func (m *Measurer) ObserveRatio(name, service string, ratio float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := ratioName{name, service}
	if _, known := m.ratios[key]; !known && m.ratioServices(name) >= maxRatioServices {
		key.service = otherServices
	}
	histogram, known := m.ratios[key]
	if !known {
		histogram = hdrhistogram.New(1, maxRatio*ratioScale, significantDigits)
		m.ratios[key] = histogram
	}
	// RecordValue fails only for values out of range, so they are clamped.
	_ = histogram.RecordValue(int64(min(max(ratio, 1.0/ratioScale), maxRatio) * ratioScale))
}

// ratioServices returns how many services have a histogram under a name. m.mu must be held.
func (m *Measurer) ratioServices(name string) int {
	count := 0
	for key := range m.ratios {
		if key.name == name {
			count++
		}
	}
	return count
}

// writeRatios writes the histograms of ratios. m.mu must be held.
func (m *Measurer) writeRatios(w io.Writer) {
	for key, histogram := range m.ratios {
		_, _ = fmt.Fprintf(w, "%s-count{service=%q} %d\n", key.name, key.service, histogram.TotalCount())
		for _, quantile := range []float64{5, 50, 95} {
			_, _ = fmt.Fprintf(w, "%s{service=%q,quantile=%q} %.3f\n", key.name, key.service, fmt.Sprintf("%g", quantile/100),
				float64(histogram.ValueAtQuantile(quantile))/ratioScale)
		}
	}
}
