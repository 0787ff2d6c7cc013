package conductor

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseCheckInterval is how often a process notes that it runs.
	pauseCheckInterval = 100 * time.Millisecond
	// minPause is the shortest time without a note that counts as a pause.
	minPause = 500 * time.Millisecond
)

// Pauses tells when a process did not run: it was suspended, or got no processor. The zero
// value has seen no pause. It is safe for concurrent use.
type Pauses struct {
	mu sync.Mutex
	// last is when the process last noted that it runs, and resumed the end of its last
	// pause.
	last, resumed time.Time
}

// Run notes that the process runs until the context ends. It always returns nil.
func (p *Pauses) Run(ctx context.Context) error {
	p.note(time.Now())
	return RunEvery(ctx, pauseCheckInterval, func(context.Context) { p.note(time.Now()) })
}

func (p *Pauses) note(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.last.IsZero() && Elapsed(p.last, now) >= minPause {
		p.resumed = now
	}
	p.last = now
}

// PausedWithin reports whether the process has paused within a time before now. A pause
// counts from its end, also if it has not been noted yet.
func (p *Pauses) PausedWithin(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.last.IsZero() && Elapsed(p.last, now) >= minPause {
		return true
	}
	return !p.resumed.IsZero() && now.Sub(p.resumed) < limit
}
