package throttler

import "time"

// share is one instance's share of a limit: a token bucket that starts empty.
type share struct {
	// rate is in requests a second; 0 if this instance is no holder.
	rate       float64
	tokens     float64
	lastRefill time.Time
	// urgentTaken counts the requests in a row that were taken by the most urgent.
	urgentTaken int
}

const (
	// urgentReserve is how much of a token less urgent requests leave for the most
	// urgent.
	urgentReserve = 0.75
	// maxTokens is what is saved up at most: no share sends two requests at once.
	maxTokens = 1 + urgentReserve
	// maxUrgentInARow is how many urgent requests are sent in a row before others may
	// use all tokens, too: none are kept out for good.
	maxUrgentInARow = 3
)

func (s *share) refill(now time.Time) {
	if elapsed := now.Sub(s.lastRefill); elapsed > 0 && !s.lastRefill.IsZero() {
		s.tokens = min(s.tokens+elapsed.Seconds()*s.rate, maxTokens)
	}
	if s.rate == 0 {
		s.tokens = 0
	}
	s.lastRefill = now
}

func (s *share) allows(urgent bool) bool {
	needed := 1.0
	if !urgent && s.urgentTaken < maxUrgentInARow {
		needed += urgentReserve
	}
	return s.tokens >= needed
}

func (s *share) take(urgent bool) {
	s.tokens--
	s.urgentTaken++
	if !urgent {
		s.urgentTaken = 0
	}
}
