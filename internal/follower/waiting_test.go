package follower

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// TestWaitingRequest guards against waiting requests that are lost: each gets one decision
// when a server is free, when its time is up or when its caller leaves, and leaves
// nothing behind.
func TestWaitingRequest(t *testing.T) {
	cases := []struct {
		name       string
		freed      bool
		leaves     bool
		wantPlaced bool
	}{
		{"placed once a server is there", true, false, true},
		{"refused when its time is up", false, false, false},
		{"caller leaves", false, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, north, _ := newFollower(t)
			service, known := f.View().Service("s")
			assert.Assert(t, known)
			now := time.Now()
			request := placer.Request{ID: 1, Service: service, Objective: now.Add(10 * time.Second), Deadline: now.Add(10 * time.Second)}
			refusal := placer.Decision{RefusalReason: placer.ReasonOverloaded, RetryAfter: time.Second, WaitUntil: now.Add(10 * time.Second)}
			if !c.freed && !c.leaves {
				refusal.WaitUntil = now.Add(50 * time.Millisecond)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			decided := make(chan placer.Decision)
			go func() { decided <- f.Await(ctx, request, "w", refusal) }()
			assert.Assert(t, waitFor(func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.waiting.room.Len() == 1
			}))
			f.mu.Lock()
			if c.freed {
				f.receiveReports(time.Now(), north, server(registrar.StateReady, 1))
			}
			f.mu.Unlock()
			if c.leaves {
				cancel()
			}
			decision := <-decided
			assert.Equal(t, decision.Server != nil, c.wantPlaced)
			if !c.wantPlaced {
				assert.Equal(t, decision.RefusalReason, refusal.RefusalReason)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Equal(t, f.waiting.room.Len(), 0)
			assert.Equal(t, len(f.waiting.requests), 0)
		})
	}
}

// waitFor waits up to 5 s for a condition.
func waitFor(condition func() bool) bool {
	for range 500 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return condition()
}
