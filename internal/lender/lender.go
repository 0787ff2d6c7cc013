// Package lender charges requests to the grants of an instance. If they do not
// cover a request, it borrows tokens from the nearest instances that hold grants
// of the same workspace.
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
	// Holders returns the names of the other live holders, the nearest first.
	Holders(workspace, homeRegion string) []string
	// RequestLoan requests a loan of the wanted number of tokens from a holder.
	// The loan may be smaller, or zero.
	RequestLoan(ctx context.Context, holder string, workspace string, want float64) (Loan, error)
	// ReturnLoan ends a loan and tells the holder how many of its tokens were not
	// used.
	ReturnLoan(ctx context.Context, holder string, workspace string, id uint64, unused float64)
}

// Loan is the reply to a loan request. ID identifies the loan at the instance that
// lent it, and Amount is in tokens.
type Loan struct {
	ID     uint64  `cbor:"i"`
	Amount float64 `cbor:"a"`
}

// loanRequestTimeout bounds one loan request. All requests for one reservation
// together must end within limiter.LoanLifetime.
const loanRequestTimeout = 400 * time.Millisecond

// Lender is an exchanger.Filter that charges requests to the instance's token
// buckets, which it owns. It is safe for concurrent use.
type Lender struct {
	peers Peers

	mu      sync.Mutex
	limiter limiter.Limiter
	nextID  uint64
}

// New returns a lender that has no grants and borrows from the given peers.
func New(peers Peers) *Lender {
	return &Lender{peers: peers}
}

// Update calls a function with the limiter while holding the lender's lock. The
// function must not call the lender or keep the limiter.
func (l *Lender) Update(change func(*limiter.Limiter)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.limiter)
}

// Handle implements exchanger.Filter. It reserves the cost of the request, calls
// the next handler and then settles the reservation with the tokens that the
// request used.
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

// reservationWithLoans is a reservation with the loans that provided its borrowed
// tokens.
type reservationWithLoans struct {
	limiter.Reservation
	loans []peerLoan
}

func (l *Lender) reserve(ctx context.Context, x *exchanger.Exchange) (reservationWithLoans, *exchanger.Refusal) {
	cost := x.Work.Cost()
	if cost > x.Workspace.Burst {
		return reservationWithLoans{}, exchanger.Refuse(http.StatusRequestEntityTooLarge, exchanger.CodeCostAboveBurst,
			"prompt and output limit together are above the workspace's whole burst: lower max_tokens")
	}
	l.mu.Lock()
	reservation, missing, err := l.limiter.Reserve(time.Now(), x.Workspace.Name, cost)
	l.mu.Unlock()
	switch {
	case err == nil:
		return reservationWithLoans{Reservation: reservation}, nil
	case errors.Is(err, limiter.ErrCostAboveBurst):
		// The limiter has a smaller burst than the workspace of this request.
		missing = cost
	}
	withLoans, err := l.borrow(ctx, x, cost, missing)
	if err == nil {
		return withLoans, nil
	}
	l.mu.Lock()
	wait := l.limiter.EstimateWait(time.Now(), x.Workspace.Name, cost)
	l.mu.Unlock()
	return reservationWithLoans{}, exchanger.Refuse(http.StatusTooManyRequests, exchanger.CodeRateExceeded,
		"the workspace's rate is used up").WithRetryAfter(max(wait, time.Second))
}

// peerLoan is a loan with the name of the holder that lent it.
type peerLoan struct {
	holder string
	loan   Loan
}

// borrow requests loans from the other holders, the nearest first, until they
// cover the missing tokens, and reserves the cost. If that fails it returns the
// loans. Tokens that cannot be returned are lost.
func (l *Lender) borrow(ctx context.Context, x *exchanger.Exchange, cost, missing float64) (reservationWithLoans, error) {
	requestedAt := time.Now()
	ctx, cancel := context.WithDeadline(ctx, requestedAt.Add(limiter.LoanLifetime))
	defer cancel()
	workspace := x.Workspace.Name
	var loans []peerLoan
	borrowed := 0.0
	for _, holder := range l.peers.Holders(workspace, x.Workspace.HomeRegion) {
		if borrowed >= missing || ctx.Err() != nil {
			break
		}
		loan, err := l.requestLoan(ctx, holder, workspace, missing-borrowed)
		if err != nil || loan.Amount <= 0 {
			continue
		}
		loans = append(loans, peerLoan{holder: holder, loan: loan})
		borrowed += loan.Amount
	}
	if borrowed < missing {
		l.returnUnused(workspace, loans, borrowed)
		return reservationWithLoans{}, limiter.ErrInsufficientTokens
	}
	l.mu.Lock()
	reservation, err := l.limiter.ReserveBorrowed(time.Now(), requestedAt, workspace, cost, borrowed)
	l.mu.Unlock()
	if err != nil {
		l.returnUnused(workspace, loans, borrowed)
	}
	return reservationWithLoans{Reservation: reservation, loans: loans}, err
}

// requestLoan requests one token more than is wanted, because the holder rounds
// the loan down.
func (l *Lender) requestLoan(ctx context.Context, holder, workspace string, want float64) (Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, loanRequestTimeout)
	defer cancel()
	return l.peers.RequestLoan(ctx, holder, workspace, want+1)
}

// returnUnused returns all loans to their holders, with the unused tokens counted
// to the first loans. It does not wait for the replies.
func (l *Lender) returnUnused(workspace string, loans []peerLoan, unused float64) {
	for _, p := range loans {
		portion := min(unused, p.loan.Amount)
		unused -= portion
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), limiter.LoanLifetime)
			defer cancel()
			l.peers.ReturnLoan(ctx, p.holder, workspace, p.loan.ID, portion)
		}()
	}
}

// settle ends a reservation and returns its loans. It charges the reported usage,
// nothing if the request did not run, and the full cost if no usage was reported.
func (l *Lender) settle(r reservationWithLoans, x *exchanger.Exchange) {
	used := x.Work.Cost()
	switch {
	case !x.Result.MayHaveRun:
		used = 0
	case x.Result.UsageKnown:
		used = float64(x.Result.UsedTokens)
	}
	l.mu.Lock()
	l.limiter.Settle(time.Now(), r.Reservation, used)
	l.mu.Unlock()
	l.returnUnused(x.Workspace.Name, r.loans, r.UnusedBorrowed(used))
}

// Lend lends tokens to a peer: up to the wanted number, possibly none. The bucket
// is debited before the loan is sent.
func (l *Lender) Lend(workspace string, want float64) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	return Loan{ID: l.nextID, Amount: l.limiter.Lend(time.Now(), l.nextID, workspace, want)}
}

// TakeBack ends a loan and credits the tokens that the peer did not use. It has no
// effect if the loan is unknown, expired or already returned.
func (l *Lender) TakeBack(workspace string, id uint64, unused float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.TakeBack(time.Now(), id, workspace, unused)
}

// Demand returns the average recent demand of each workspace in tokens per second.
func (l *Lender) Demand() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Demand(time.Now())
}

// Consents returns a reduction for each grant that the holder was asked to lower.
// The caller must pass the grants to the limiter before it sends the reductions,
// so that the lower amounts are in force by then.
func Consents(grants []granter.Grant) []granter.Reduction {
	var reductions []granter.Reduction
	for _, grant := range grants {
		if allowed := grant.Allowed(); allowed != grant.Granted {
			reductions = append(reductions, granter.Reduction{Workspace: grant.Workspace, Version: grant.Version, To: allowed})
		}
	}
	return reductions
}
