package logger

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
)

// TestRateLimiterLimitsRate checks that far more lines of one kind than the limit are
// suppressed, and that every suppressed line is counted.
func TestRateLimiterLimitsRate(t *testing.T) {
	var limiter RateLimiter
	now := time.Unix(1_000_000, 0)
	passed, reported := 0, 0
	for range 10_000 {
		if suppressed, ok := limiter.Allow(now); ok {
			passed++
			reported += suppressed
		}
	}
	assert.Assert(t, passed < 2000, "%d lines in one moment", passed)
	suppressed, ok := limiter.Allow(now.Add(time.Minute))
	assert.Assert(t, ok)
	assert.Equal(t, reported+suppressed+passed, 10_000)
}

func TestReasonIsOneLine(t *testing.T) {
	cause := trace.Wrap(trace.Wrap(errors.New("operation was canceled"), "unreachable"), "no quorum\n of control instances")
	reason := ErrorText(cause)
	assert.Assert(t, !strings.Contains(reason, "\n"), reason)
	for _, part := range []string{"operation was canceled", "unreachable", "no quorum"} {
		assert.Assert(t, strings.Contains(reason, part), reason)
	}
	assert.Equal(t, ErrorText(nil), "")
}
