package logger

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
)

// TestKindsAreBounded writes far more lines of one kind than are let through, and
// counts those that were left out.
func TestKindsAreBounded(t *testing.T) {
	var kind Kind
	now := time.Unix(1_000_000, 0)
	passed, told := 0, 0
	for range 10_000 {
		if left, ok := kind.Allow(now); ok {
			passed++
			told += left
		}
	}
	assert.Assert(t, passed < 2000, "%d lines in one moment", passed)
	left, ok := kind.Allow(now.Add(time.Minute))
	assert.Assert(t, ok)
	assert.Equal(t, told+left+passed, 10_000)
}

func TestReasonIsOneLine(t *testing.T) {
	cause := trace.Wrap(trace.Wrap(errors.New("operation was canceled"), "unreachable"), "no quorum\n of control instances")
	reason := Reason(cause)
	assert.Assert(t, !strings.Contains(reason, "\n"), reason)
	for _, part := range []string{"operation was canceled", "unreachable", "no quorum"} {
		assert.Assert(t, strings.Contains(reason, part), reason)
	}
	assert.Equal(t, Reason(nil), "")
}
