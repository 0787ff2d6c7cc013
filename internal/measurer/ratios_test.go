package measurer

import (
	"fmt"
	"math"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRatiosByService guards against values out of range that are lost, and against a
// histogram for each of ever new names.
func TestRatiosByService(t *testing.T) {
	m := New()
	for _, ratio := range []float64{0.5, 1, 1, 4, math.Inf(1), 0} {
		m.ObserveRatio("r", "engines", ratio)
	}
	for i := range 300 {
		m.ObserveRatio("r", fmt.Sprintf("service-%d", i), 1)
	}
	recorder := httptest.NewRecorder()
	m.ServeHTTP(recorder, nil)
	text := recorder.Body.String()
	assert.Assert(t, strings.Contains(text, "r-count{service=\"engines\"} 6\n"), text)
	assert.Assert(t, strings.Contains(text, "r{service=\"engines\",quantile=\"0.5\"} 1.0"), text)
	assert.Assert(t, strings.Contains(text, "r-count{service=\"other\"} 237\n"), text)
	assert.Equal(t, strings.Count(text, "r-count"), maxRatioServices+1)
}
