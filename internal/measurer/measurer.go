// Package measurer keeps the counters and latency histograms of a process and
// serves them as text.
package measurer

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// The upper end of the range of a histogram and its precision in significant
// decimal digits. The lower end is 1 µs.
const (
	maxDuration       = 5 * time.Minute
	significantDigits = 2
)

// Measurer holds counters and histograms by name. It is an http.Handler, and it is
// safe for concurrent use.
type Measurer struct {
	registry metrics.Registry

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	ratios     map[ratioName]*hdrhistogram.Histogram
}

// New returns a Measurer without counters and histograms.
func New() *Measurer {
	return &Measurer{registry: metrics.NewRegistry(), histograms: map[string]*hdrhistogram.Histogram{}, ratios: map[ratioName]*hdrhistogram.Histogram{}}
}

// Count adds one to a counter, which is created at its first use.
func (m *Measurer) Count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// Observe records a duration in a histogram, which is created at its first use.
// Durations are recorded in microseconds and limited to the range of 1 µs to
// 5 min.
func (m *Measurer) Observe(name string, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	histogram, known := m.histograms[name]
	if !known {
		histogram = hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)
		m.histograms[name] = histogram
	}
	// RecordValue fails only for values out of range, so they are clamped.
	_ = histogram.RecordValue(min(max(duration.Microseconds(), 1), maxDuration.Microseconds()))
}

// ServeHTTP implements http.Handler. It writes a line for each counter and, for
// each histogram, one with the number of values and one for each quantile, in
// milliseconds, or as a ratio. The order of the lines varies.
func (m *Measurer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok {
			_, _ = fmt.Fprintf(w, "%s %d\n", name, counter.Count())
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, histogram := range m.histograms {
		_, _ = fmt.Fprintf(w, "%s-count %d\n", name, histogram.TotalCount())
		for _, quantile := range []float64{50, 90, 99, 100} {
			_, _ = fmt.Fprintf(w, "%s-ms{quantile=%q} %.1f\n", name, fmt.Sprintf("%g", quantile/100),
				float64(histogram.ValueAtQuantile(quantile))/1000)
		}
	}
	m.writeRatios(w)
}
