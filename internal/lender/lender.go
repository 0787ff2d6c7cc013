// Package lender charges requests to an instance's grants, and asks the
// nearest peers for tokens when its own are short.
package lender

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/limiter"
)

// Peers reaches the other holders of a workspace's grants.
type Peers interface {
	// Holders returns the other live holders, the nearest first.
	Holders(workspace, homeRegion string) []string
	// Ask asks a holder for tokens.
	Ask(ctx context.Context, holder string, workspace string, want float64) (Loan, error)
	// Return gives back what was not used of a loan.
	Return(ctx context.Context, holder string, workspace string, id uint64, unused float64)
}

// Loan is what a peer gave.
type Loan struct {
	ID     uint64  `cbor:"i"`
	Amount float64 `cbor:"a"`
}

// askTimeout bounds one asking; the whole must end within the lifetime of a
// transfer.
const askTimeout = 400 * time.Millisecond

// Lender is the filter, and the place where the buckets live.
type Lender struct {
	peers Peers

	mu      sync.Mutex
	limiter limiter.Limiter
	nextID  uint64
}

// New returns the filter.
func New(peers Peers) *Lender {
	return &Lender{peers: peers}
}

// Update changes the limiter under the lock.
func (l *Lender) Update(change func(*limiter.Limiter)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.limiter)
}

// Handle implements exchanger.Filter. The reservation is settled by what the
// request really used.
func (l *Lender) Handle(ctx context.Context, x *exchanger.Exchange, next exchanger.Handler) *exchanger.Refusal {
	if x.Workspace.Name == "" || x.Work.Cost() == 0 {
		return next(ctx, x)
	}
	reserved, refusal := l.reserve(ctx, x)
	if refusal != nil {
		return refusal
	}
	refusal = next(ctx, x)
	l.settle(reserved, x)
	return refusal
}

// reserved is a reservation with the loans that it is made of.
type reserved struct {
	limiter.Reservation
	loans []given
}

func (l *Lender) reserve(ctx context.Context, x *exchanger.Exchange) (reserved, *exchanger.Refusal) {
	cost := x.Work.Cost()
	if cost > x.Workspace.Burst {
		return reserved{}, exchanger.Refuse(http.StatusRequestEntityTooLarge, exchanger.CodeTooLarge,
			"prompt and output limit together are above the workspace's whole burst: lower max_tokens")
	}
	l.mu.Lock()
	reservation, missing, err := l.limiter.Reserve(time.Now(), x.Workspace.Name, cost)
	l.mu.Unlock()
	switch {
	case err == nil:
		return reserved{Reservation: reservation}, nil
	case errors.Is(err, limiter.ErrTooLarge):
		missing = cost
	}
	borrowed, err := l.borrow(ctx, x, cost, missing)
	if err == nil {
		return borrowed, nil
	}
	l.mu.Lock()
	wait := l.limiter.Wait(time.Now(), x.Workspace.Name, cost)
	l.mu.Unlock()
	return reserved{}, exchanger.Refuse(http.StatusTooManyRequests, exchanger.CodeRate,
		"the workspace's rate is used up").After(max(wait, time.Second))
}

// given is a loan with the holder that gave it.
type given struct {
	holder string
	loan   Loan
}

// borrow asks the other holders, the nearest first, until enough is given.
// What is not enough is returned; what cannot be returned is lost.
func (l *Lender) borrow(ctx context.Context, x *exchanger.Exchange, cost, missing float64) (reserved, error) {
	asked := time.Now()
	ctx, cancel := context.WithDeadline(ctx, asked.Add(limiter.TransferLifetime))
	defer cancel()
	workspace := x.Workspace.Name
	var loans []given
	borrowed := 0.0
	for _, holder := range l.peers.Holders(workspace, x.Workspace.HomeRegion) {
		if borrowed >= missing || ctx.Err() != nil {
			break
		}
		loan, err := l.ask(ctx, holder, workspace, missing-borrowed)
		if err != nil || loan.Amount <= 0 {
			continue
		}
		loans = append(loans, given{holder: holder, loan: loan})
		borrowed += loan.Amount
	}
	if borrowed < missing {
		l.giveBack(workspace, loans, borrowed)
		return reserved{}, limiter.ErrShort
	}
	l.mu.Lock()
	reservation, err := l.limiter.ReserveWith(time.Now(), asked, workspace, cost, borrowed)
	l.mu.Unlock()
	if err != nil {
		l.giveBack(workspace, loans, borrowed)
	}
	return reserved{Reservation: reservation, loans: loans}, err
}

func (l *Lender) ask(ctx context.Context, holder, workspace string, want float64) (Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return l.peers.Ask(ctx, holder, workspace, want+1)
}

// giveBack returns what was not used of loans to those who gave them.
func (l *Lender) giveBack(workspace string, loans []given, unused float64) {
	for _, g := range loans {
		part := min(unused, g.loan.Amount)
		unused -= part
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), limiter.TransferLifetime)
			defer cancel()
			l.peers.Return(ctx, g.holder, workspace, g.loan.ID, part)
		}()
	}
}

// settle ends a reservation. Without a reported usage the whole is charged,
// unless the request was not run.
func (l *Lender) settle(r reserved, x *exchanger.Exchange) {
	used := x.Work.Cost()
	switch {
	case !x.Result.Ran:
		used = 0
	case x.Result.Counted:
		used = float64(x.Result.Used)
	}
	l.mu.Lock()
	l.limiter.Settle(time.Now(), r.Reservation, used)
	l.mu.Unlock()
	l.giveBack(x.Workspace.Name, r.loans, r.Unused(used))
}

// Give debits tokens for a peer before they are sent.
func (l *Lender) Give(workspace string, want float64) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	return Loan{ID: l.nextID, Amount: l.limiter.Give(time.Now(), l.nextID, workspace, want)}
}

// TakeBack credits what a peer did not use of a loan.
func (l *Lender) TakeBack(workspace string, id uint64, unused float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Return(time.Now(), id, workspace, unused)
}

// Demand returns what was asked for lately, in tokens per second.
func (l *Lender) Demand() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Demand(time.Now())
}

// Consents returns the holder's word for grants that it was asked to lower.
// The limiter already keeps to the lower amount.
func Consents(grants []granter.Grant) []granter.Consent {
	var consents []granter.Consent
	for _, grant := range grants {
		if allowed := grant.Allowed(); allowed != grant.Granted {
			consents = append(consents, granter.Consent{Workspace: grant.Workspace, Version: grant.Version, To: allowed})
		}
	}
	return consents
}
