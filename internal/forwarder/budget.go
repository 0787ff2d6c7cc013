package forwarder

import (
	"math"
	"sync"
	"time"
)

// RetryLimit bounds what the whole fleet may send beyond the first send of each
// request.
type RetryLimit struct {
	// Share of the requests for a service, over Window.
	Share float64
	// Slack is allowed besides, over the same time.
	Slack  float64
	Window time.Duration
}

// budgets holds a budget of repeats for each service: half of the allowed share
// as it is earned, and at most as much saved as the other half comes to in one
// window, with this instance's part of the slack. So no window sees more than is
// allowed, and a server that dies with many streams can have them all resumed.
type budgets struct {
	limit RetryLimit

	mu       sync.Mutex
	services map[string]*budget
}

type budget struct {
	left float64
	// requests is the number of requests in about one window.
	requests float64
	updated  time.Time
}

// earn adds the share of one request.
func (b *budgets) earn(now time.Time, service string, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.at(now, service, instances)
	known.requests++
	known.left = min(known.left+b.limit.Share/2, b.most(known, instances))
}

// spend takes one repeat, if the budget has it.
func (b *budgets) spend(now time.Time, service string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.at(now, service, instances)
	if known.left < 1 {
		return false
	}
	known.left--
	return true
}

// most is what may be saved.
func (b *budgets) most(known *budget, instances int) float64 {
	return b.limit.Share/2*known.requests + b.slack(instances)
}

// slackShare of the slack is spent: instances may not know of each other.
const slackShare = 0.8

func (b *budgets) slack(instances int) float64 {
	return slackShare * b.limit.Slack / float64(max(instances, 1))
}

// at returns the budget of a service as of now.
func (b *budgets) at(now time.Time, service string, instances int) *budget {
	if b.services == nil {
		b.services = map[string]*budget{}
	}
	known, exists := b.services[service]
	if !exists {
		known = &budget{left: b.slack(instances), updated: now}
		b.services[service] = known
	}
	if b.limit.Window <= 0 {
		return known
	}
	passed := now.Sub(known.updated).Seconds() / b.limit.Window.Seconds()
	known.updated = now
	known.requests *= math.Exp(-passed)
	known.left = min(known.left+b.slack(instances)*passed, b.most(known, instances))
	return known
}
