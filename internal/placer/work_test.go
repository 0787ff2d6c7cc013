package placer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRemainingWork checks what is left of a request of whose output a part is there.
func TestRemainingWork(t *testing.T) {
	tests := []struct {
		name     string
		work     Work
		produced int64
		want     Work
	}{
		{"nothing", Work{Prompt: 100, Output: 1000, Expected: 600}, 0, Work{Prompt: 100, Output: 1000, Expected: 600}},
		{"a part", Work{Prompt: 100, Output: 1000, Expected: 600}, 400, Work{Prompt: 500, Output: 600, Expected: 200}},
		{"a part, nothing expected", Work{Prompt: 100, Output: 1000}, 400, Work{Prompt: 500, Output: 600}},
		{"more than expected", Work{Prompt: 100, Output: 1000, Expected: 600}, 700, Work{Prompt: 800, Output: 300, Expected: 1}},
		{"more than the limit", Work{Prompt: 100, Output: 1000, Expected: 600}, 2000, Work{Prompt: 1100, Expected: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.DeepEqual(t, test.work.Remaining(test.produced), test.want)
		})
	}
}
