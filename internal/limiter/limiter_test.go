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

// at returns a time in seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// filled returns a limiter with a full bucket: floor and lease of 50 tokens a
// second and 500 tokens each, and a lease asked for at 0.
func filled() *limiter.Limiter {
	l := &limiter.Limiter{}
	half := granter.Tokens(50, 500)
	share := granter.Share{Floor: half, Leased: half}
	l.Grant(at(-60), granter.Grant{Workspace: workspace, Granted: share, Target: share, Version: 1, Whole: half.Plus(half)})
	l.Renew(at(-14), at(-14))
	l.Renew(at(0), at(0))
	l.Demand(at(0))
	return l
}

// drain takes single tokens until none is left.
func drain(l *limiter.Limiter, now time.Time) int {
	for taken := 0; ; taken++ {
		reservation, _, err := l.Reserve(now, workspace, 1)
		if err != nil {
			return taken
		}
		l.Settle(now, reservation, 1)
	}
}

// TestRefundsMakeNothing reserves much, uses none of it, and drains the bucket
// before and after the refund: both together stay within the burst.
func TestRefundsMakeNothing(t *testing.T) {
	l := filled()
	reservation, _, err := l.Reserve(at(1), workspace, 900)
	assert.NilError(t, err)
	before := drain(l, at(11))
	l.Settle(at(11), reservation, 0)
	after := drain(l, at(11))
	assert.Equal(t, before, 100)
	assert.Equal(t, before+after, 1000)
}

// TestGivenTokensKeepTheirRoom gives tokens away and refills: what was given
// may be used at the peer while it is fresh, so its room stays empty.
func TestGivenTokensKeepTheirRoom(t *testing.T) {
	l := filled()
	assert.Equal(t, l.Give(at(1), 7, workspace, 800), 800.0)
	seconds := limiter.TransferLifetime.Seconds()
	kept := drain(l, at(1+seconds))
	assert.Assert(t, kept <= 200, "%d tokens beside the 800 given", kept)
}

// TestLoansAreReturnedOnce returns a loan twice, as a doubled message does.
func TestLoansAreReturnedOnce(t *testing.T) {
	l := filled()
	l.Give(at(1), 7, workspace, 800)
	l.Return(at(1), 7, workspace, 800)
	l.Return(at(1), 7, workspace, 800)
	assert.Equal(t, drain(l, at(1)), 1000)
}

// TestUnusedPartsOfLoansComeBack returns what a short answer left of a loan.
func TestUnusedPartsOfLoansComeBack(t *testing.T) {
	l := filled()
	l.Give(at(1), 7, workspace, 800)
	l.Return(at(2), 7, workspace, 700)
	assert.Equal(t, drain(l, at(2)), 900, "the 100 that were spent are gone")
	l = filled()
	l.Give(at(1), 7, workspace, 800)
	l.Return(at(1), 7, workspace, 9000)
	assert.Equal(t, drain(l, at(1)), 1000, "more came back than was given")
}

// TestStaleTransfersAreVoid uses a loan after its lifetime.
func TestStaleTransfersAreVoid(t *testing.T) {
	l := filled()
	_, err := l.ReserveWith(at(1).Add(limiter.TransferLifetime), at(1), workspace, 10, 10)
	assert.Assert(t, errors.Is(err, limiter.ErrShort))
}

// TestWhatIsAllowed drains a full bucket in different states of its grant.
func TestWhatIsAllowed(t *testing.T) {
	lowered := granter.Share{Floor: granter.Tokens(50, 500)}
	tests := []struct {
		name   string
		change func(l *limiter.Limiter)
		at     time.Time
		want   int
	}{
		{name: "leased", change: func(*limiter.Limiter) {}, at: at(1), want: 1000},
		{name: "just before the lease ends", change: func(*limiter.Limiter) {}, at: at(14.9), want: 1000},
		{name: "lease ended", change: func(*limiter.Limiter) {}, at: at(15), want: 500},
		{name: "renewed", change: func(l *limiter.Limiter) { l.Renew(at(14), at(13)) }, at: at(27), want: 1000},
		{name: "renewal counts from the asking", change: func(l *limiter.Limiter) { l.Renew(at(14), at(1)) }, at: at(16), want: 500},
		{name: "surrendered", change: func(l *limiter.Limiter) { l.Surrender(at(1)) }, at: at(1), want: 500},
		{name: "burst cut in the tables", change: func(l *limiter.Limiter) {
			l.Whole(at(1), workspace, granter.Tokens(100, 100))
		}, at: at(1), want: 100},
		{name: "asked to lower itself", change: func(l *limiter.Limiter) {
			whole := granter.Share{Floor: granter.Tokens(50, 500), Leased: granter.Tokens(50, 500)}
			l.Grant(at(1), granter.Grant{Workspace: workspace, Granted: whole, Target: lowered, Version: 2, Whole: granter.Tokens(100, 1000)})
		}, at: at(1), want: 500},
		{name: "older grant", change: func(l *limiter.Limiter) {
			l.Grant(at(1), granter.Grant{Workspace: workspace, Granted: lowered, Target: lowered, Version: 1, Whole: granter.Tokens(100, 1000)})
		}, at: at(1), want: 1000},
		{name: "forgotten too early", change: func(l *limiter.Limiter) { l.Forget(func(string) bool { return false }) }, at: at(1), want: 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := filled()
			test.change(l)
			assert.Equal(t, drain(l, test.at), test.want)
		})
	}
}

// TestCutOfRateBindsAtOnce lowers the rate in the tables and lets time pass.
func TestCutOfRateBindsAtOnce(t *testing.T) {
	l := filled()
	drain(l, at(1))
	l.Whole(at(1), workspace, granter.Tokens(10, 1000))
	assert.Equal(t, drain(l, at(6)), 50)
}

// ExampleLimiter reserves a request's cost and settles what it used.
func ExampleLimiter() {
	l := filled()
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
