package forwarder

import (
	"math"
	"sync"
	"time"
)

// RetryLimit bounds the retries of requests for one service, over all entry
// instances: in any Window, at most Share of the requests plus Slack.
type RetryLimit struct {
	// Share is the number of retries allowed for each request.
	Share float64
	// Slack is the number of retries allowed in a window regardless of the
	// number of requests.
	Slack  float64
	Window time.Duration
}

// AllowsRetries reports whether a budget can ever hold one retry.
func (l RetryLimit) AllowsRetries() bool {
	return l.Share > 0 || usableSlackShare*l.Slack >= 1
}

// serviceBudgets holds one instance's retry budget for each service.
//
// Each request adds half of the allowed share. The balance may not exceed what
// the other half amounts to in one window, plus this instance's part of the
// slack. The halves are chosen so that the retries of a window stay within the
// limit, while enough is saved to resume all streams of a server that fails.
type serviceBudgets struct {
	limit RetryLimit

	mu               sync.Mutex
	budgetsByService map[string]*retryBudget
}

type retryBudget struct {
	balance float64
	// recentRequests is a decaying count of the requests in about one window.
	recentRequests float64
	updatedAt      time.Time
}

// deposit adds what one request to a service contributes to its budget.
func (b *serviceBudgets) deposit(now time.Time, service string, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.current(now, service, instances)
	budget.recentRequests++
	budget.balance = min(budget.balance+b.limit.Share/2, b.maxBalance(budget, instances))
}

// tryWithdraw takes one retry from a service's budget. It returns false if the
// budget is used up.
func (b *serviceBudgets) tryWithdraw(now time.Time, service string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.current(now, service, instances)
	if budget.balance < 1 {
		return false
	}
	budget.balance--
	return true
}

// maxBalance returns the highest balance that a budget may reach.
func (b *serviceBudgets) maxBalance(budget *retryBudget, instances int) float64 {
	return b.limit.Share/2*budget.recentRequests + b.instanceSlack(instances)
}

// usableSlackShare is the part of the slack that instances use. The rest is a
// reserve, because an instance may not know all others and so overestimate its
// part.
const usableSlackShare = 0.8

// instanceSlack returns this instance's part of the slack.
func (b *serviceBudgets) instanceSlack(instances int) float64 {
	return usableSlackShare * b.limit.Slack / float64(max(instances, 1))
}

// current returns the budget of a service, brought up to date. The slack refills
// evenly over one window. The caller must hold the lock.
func (b *serviceBudgets) current(now time.Time, service string, instances int) *retryBudget {
	if b.budgetsByService == nil {
		b.budgetsByService = map[string]*retryBudget{}
	}
	budget, exists := b.budgetsByService[service]
	if !exists {
		budget = &retryBudget{balance: b.instanceSlack(instances), updatedAt: now}
		b.budgetsByService[service] = budget
	}
	if b.limit.Window <= 0 {
		return budget
	}
	windows := now.Sub(budget.updatedAt).Seconds() / b.limit.Window.Seconds()
	budget.updatedAt = now
	budget.recentRequests *= math.Exp(-windows)
	budget.balance = min(budget.balance+b.instanceSlack(instances)*windows, b.maxBalance(budget, instances))
	return budget
}
