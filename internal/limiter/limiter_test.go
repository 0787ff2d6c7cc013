package limiter_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/limiter"
)

var start = time.Unix(5000, 0)

// at returns the time that is the given number of seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// newFullLimiter returns a limiter with a full bucket: a floor and a leased part of
// 50 tokens per second and 500 tokens each, and a lease requested at 0.
func newFullLimiter() *limiter.Limiter {
	l := &limiter.Limiter{}
	half := granter.FromTokens(50, 500)
	share := granter.Share{Floor: half, Leased: half}
	l.ApplyGrant(at(-60), granter.Grant{Workspace: workspace, Granted: share, Target: share, Version: 1, Total: half.Add(half)})
	l.RenewLease(at(-14), at(-14))
	l.RenewLease(at(0), at(0))
	l.Demand(at(0))
	return l
}

// drain uses single tokens until none is left, and returns their number.
func drain(l *limiter.Limiter, now time.Time) int {
	for taken := 0; ; taken++ {
		reservation, _, err := l.Reserve(now, workspace, 1)
		if err != nil {
			return taken
		}
		l.Settle(now, reservation, 1)
	}
}

// TestRefundStaysWithinBurst reserves tokens, uses none of them, and drains the
// bucket before and after the refund. Both together must stay within the burst.
func TestRefundStaysWithinBurst(t *testing.T) {
	l := newFullLimiter()
	reservation, _, err := l.Reserve(at(1), workspace, 900)
	assert.NilError(t, err)
	before := drain(l, at(11))
	l.Settle(at(11), reservation, 0)
	after := drain(l, at(11))
	assert.Equal(t, before, 100)
	assert.Equal(t, before+after, 1000)
}

// TestLentTokensStayReserved lends tokens and refills the bucket. The peer may use
// the loan during its lifetime, so that until then the bucket must not refill in
// its place.
func TestLentTokensStayReserved(t *testing.T) {
	l := newFullLimiter()
	assert.Equal(t, l.Lend(at(1), 7, workspace, 800), 800.0)
	seconds := limiter.LoanLifetime.Seconds()
	drained := drain(l, at(1+seconds))
	assert.Assert(t, drained <= 200, "%d tokens in addition to the 800 lent", drained)
}

// TestLoansAreReturnedOnce returns a loan twice, as a duplicated message does.
func TestLoansAreReturnedOnce(t *testing.T) {
	l := newFullLimiter()
	l.Lend(at(1), 7, workspace, 800)
	l.TakeBack(at(1), 7, workspace, 800)
	l.TakeBack(at(1), 7, workspace, 800)
	assert.Equal(t, drain(l, at(1)), 1000)
}

// TestUnusedLoanIsCredited returns the unused tokens of a loan. No more than the
// loan is credited.
func TestUnusedLoanIsCredited(t *testing.T) {
	l := newFullLimiter()
	l.Lend(at(1), 7, workspace, 800)
	l.TakeBack(at(2), 7, workspace, 700)
	assert.Equal(t, drain(l, at(2)), 900, "the 100 tokens that the peer used came back")
	l = newFullLimiter()
	l.Lend(at(1), 7, workspace, 800)
	l.TakeBack(at(1), 7, workspace, 9000)
	assert.Equal(t, drain(l, at(1)), 1000, "more tokens came back than were lent")
}

// TestExpiredLoanIsRefused reserves borrowed tokens after their lifetime.
func TestExpiredLoanIsRefused(t *testing.T) {
	l := newFullLimiter()
	_, err := l.ReserveBorrowed(at(1).Add(limiter.LoanLifetime), at(1), workspace, 10, 10)
	assert.Assert(t, errors.Is(err, limiter.ErrInsufficientTokens))
}

// TestUsableAmount drains a full bucket in different states of its grant and lease.
func TestUsableAmount(t *testing.T) {
	lowered := granter.Share{Floor: granter.FromTokens(50, 500)}
	tests := []struct {
		name   string
		change func(l *limiter.Limiter)
		at     time.Time
		want   int
	}{
		{name: "leased", change: func(*limiter.Limiter) {}, at: at(1), want: 1000},
		{name: "just before the lease ends", change: func(*limiter.Limiter) {}, at: at(14.9), want: 1000},
		{name: "lease ended", change: func(*limiter.Limiter) {}, at: at(15), want: 500},
		{name: "renewed", change: func(l *limiter.Limiter) { l.RenewLease(at(14), at(13)) }, at: at(27), want: 1000},
		{name: "renewal counts from the request", change: func(l *limiter.Limiter) { l.RenewLease(at(14), at(1)) }, at: at(16), want: 500},
		{name: "surrendered", change: func(l *limiter.Limiter) { l.ReleaseLease(at(1)) }, at: at(1), want: 500},
		{name: "burst cut in the tables", change: func(l *limiter.Limiter) {
			l.SetWorkspaceLimit(at(1), workspace, granter.FromTokens(100, 100))
		}, at: at(1), want: 100},
		{name: "target below the grant", change: func(l *limiter.Limiter) {
			whole := granter.Share{Floor: granter.FromTokens(50, 500), Leased: granter.FromTokens(50, 500)}
			l.ApplyGrant(at(1), granter.Grant{Workspace: workspace, Granted: whole, Target: lowered, Version: 2, Total: granter.FromTokens(100, 1000)})
		}, at: at(1), want: 500},
		{name: "older grant", change: func(l *limiter.Limiter) {
			l.ApplyGrant(at(1), granter.Grant{Workspace: workspace, Granted: lowered, Target: lowered, Version: 1, Total: granter.FromTokens(100, 1000)})
		}, at: at(1), want: 1000},
		{name: "workspace deleted before the grant ends", change: func(l *limiter.Limiter) { l.PruneWorkspaces(func(string) bool { return false }) }, at: at(1), want: 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newFullLimiter()
			test.change(l)
			assert.Equal(t, drain(l, test.at), test.want)
		})
	}
}

// TestRateCutAppliesAtOnce lowers the rate in the tables. The next refill must use
// the lower rate.
func TestRateCutAppliesAtOnce(t *testing.T) {
	l := newFullLimiter()
	drain(l, at(1))
	l.SetWorkspaceLimit(at(1), workspace, granter.FromTokens(10, 1000))
	assert.Equal(t, drain(l, at(6)), 50)
}

// ExampleLimiter reserves the cost of a request and settles it with the tokens that
// the request used.
func ExampleLimiter() {
	l := newFullLimiter()
	reservation, _, _ := l.Reserve(at(1), workspace, 600)
	_, missing, err := l.Reserve(at(1), workspace, 600)
	fmt.Println(missing, err)
	l.Settle(at(2), reservation, 100)
	_, _, err = l.Reserve(at(2), workspace, 600)
	fmt.Println(err)
	// Output:
	// 200 rate exceeded
	// <nil>
}
