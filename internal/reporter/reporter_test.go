package reporter_test

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/reporter"
	"github.com/boragehead/boragehead/internal/tabler"
)

var route = tabler.Route{Name: "r", Objective: &tabler.Objective{FirstToken: tabler.Duration(time.Second), Target: 0.9}}

// countsAfterOneRequest returns the counts of a reporter after one request.
func countsAfterOneRequest(first time.Duration, status int, cut, refusal *exchanger.Refusal) reporter.Windows {
	r := reporter.New(metrics.NewRegistry())
	x := &exchanger.Exchange{Route: route, Arrived: time.Now(), Workspace: tabler.Workspace{Name: "w"}}
	x.Result = exchanger.Result{FirstByte: x.Arrived.Add(first), Status: status, StreamError: cut}
	r.Observe(x, refusal)
	return r.Counts("north").Routes["r"]
}

// TestErrorBudgetCounting checks which requests use up the error budget.
func TestErrorBudgetCounting(t *testing.T) {
	refuse := func(status int, code exchanger.Code) *exchanger.Refusal { return exchanger.Refuse(status, code, "") }
	tests := []struct {
		name       string
		first      time.Duration
		status     int
		cut        *exchanger.Refusal
		refusal    *exchanger.Refusal
		total, bad int64
	}{
		{name: "in time", first: 900 * time.Millisecond, status: 200, total: 1},
		{name: "late", first: 1100 * time.Millisecond, status: 200, total: 1, bad: 1},
		{name: "server error passed on", status: 500, total: 1, bad: 1},
		{name: "caller's fault", refusal: refuse(http.StatusBadRequest, exchanger.CodeBadJSON)},
		{name: "rate", refusal: refuse(http.StatusTooManyRequests, exchanger.CodeRateExceeded)},
		{name: "overloaded", refusal: refuse(http.StatusServiceUnavailable, exchanger.CodeOverloaded), total: 1, bad: 1},
		{name: "cut", status: 200, cut: refuse(http.StatusBadGateway, exchanger.CodeServerFailed), total: 1, bad: 1},
		{name: "withdrawn midway", status: 200, cut: refuse(http.StatusUnauthorized, exchanger.CodeKeyWithdrawn), total: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := countsAfterOneRequest(test.first, test.status, test.cut, test.refusal)
			want := reporter.Count{Total: test.total, Bad: test.bad}
			assert.Equal(t, got.Short, want)
			assert.Equal(t, got.Long, want)
		})
	}
}

// TestMergeAddsUp merges the counts of two instances while a third is missing.
func TestMergeAddsUp(t *testing.T) {
	windows := func(total, bad int64) reporter.Windows {
		count := reporter.Count{Total: total, Bad: bad}
		return reporter.Windows{Short: count, Middle: count, Long: count}
	}
	counts := []reporter.Counts{
		{Region: "north", Routes: map[string]reporter.Windows{"r": windows(90, 0)}, Workspaces: map[string]reporter.Windows{"a": windows(10, 1)}},
		{Region: "south", Routes: map[string]reporter.Windows{"r": windows(10, 5)}, Workspaces: map[string]reporter.Windows{"a": windows(10, 1), "b": windows(10, 9)}},
	}
	burn := reporter.MergeCounts([]tabler.Route{route}, counts, []string{"n3"})
	assert.Equal(t, len(burn.Routes), 3)
	assertClose := func(got, want float64) { assert.Assert(t, math.Abs(got-want) < 1e-9, "%v, want %v", got, want) }
	assertClose(burn.Routes[0].Rates.Long, 0.5)
	assertClose(burn.Routes[0].BudgetLeft, 0.5)
	assert.Equal(t, burn.Routes[2].Region, "south")
	assertClose(burn.Routes[2].Rates.Short, 5)
	assert.Equal(t, burn.Workspaces[0].Workspace, "b")
	assertClose(burn.Workspaces[1].BadShare, 0.1)
	assert.DeepEqual(t, burn.Missing, []string{"n3"})
}
