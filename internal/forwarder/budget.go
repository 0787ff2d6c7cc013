package forwarder

import "sync"

// What a repeat may cost. The whole fleet may send a fifth more than was asked,
// and a few more; each instance keeps to half of that share, since a caller's
// request may be counted at two instances when it is relayed.
const (
	budgetShare = 0.1
	budgetStart = 4.0
	budgetMost  = 8.0
)

// budgets holds a budget of repeats for each service. The zero value is ready
// to use.
type budgets struct {
	mu       sync.Mutex
	services map[string]float64
}

// earn adds the share of one request.
func (b *budgets) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services[service] = min(b.balance(service)+budgetShare, budgetMost)
}

// spend takes one repeat, if the budget has it.
func (b *budgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.balance(service)
	if left < 1 {
		return false
	}
	b.services[service] = left - 1
	return true
}

func (b *budgets) balance(service string) float64 {
	if b.services == nil {
		b.services = map[string]float64{}
	}
	left, known := b.services[service]
	if !known {
		return budgetStart
	}
	return left
}
