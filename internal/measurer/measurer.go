// Package measurer counts what a process does and keeps histograms of how long
// it takes, and serves both as text.
package measurer

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// The range and precision of a histogram.
const (
	longest = 5 * time.Minute
	digits  = 2
)

// Measurer holds the counters and histograms of a process. It is safe for
// concurrent use.
type Measurer struct {
	registry metrics.Registry

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// New returns an empty measurer.
func New() *Measurer {
	return &Measurer{registry: metrics.NewRegistry(), histograms: map[string]*hdrhistogram.Histogram{}}
}

// Count adds one to a counter.
func (m *Measurer) Count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// Observe records a duration in a histogram.
func (m *Measurer) Observe(name string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	histogram, known := m.histograms[name]
	if !known {
		histogram = hdrhistogram.New(1, longest.Microseconds(), digits)
		m.histograms[name] = histogram
	}
	// Longer ones are recorded as the longest.
	_ = histogram.RecordValue(min(max(took.Microseconds(), 1), longest.Microseconds()))
}

// ServeHTTP implements http.Handler: a line for each counter, and one for each
// quantile of a histogram, in milliseconds.
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
}
