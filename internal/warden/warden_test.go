package warden

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOneInstanceProbes checks that all instances choose the same one to let a probe
// through, whatever the order in which they know each other.
func TestOneInstanceProbes(t *testing.T) {
	counts := map[string]int{}
	for part := range uint64(300) {
		prober := proberOf(part, []string{"a", "b", "c"})
		assert.Equal(t, proberOf(part, []string{"c", "a", "b"}), prober)
		counts[prober]++
	}
	assert.Equal(t, len(counts), 3, "%v", counts)
}
