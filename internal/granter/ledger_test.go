package granter_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragehead/boragehead/internal/granter"
)

// TestMain fixes the seed of the property tests, so that every run checks the same
// cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const workspace = "w"

var start = time.Unix(5000, 0)

// TestGrantsNeverExceedTotal applies random commands. Grants are raised only from
// what is free, so their sum never exceeds the largest total that was set, and does
// not grow while it exceeds the current one.
func TestGrantsNeverExceedTotal(t *testing.T) {
	quota := rapid.Custom(func(t *rapid.T) granter.Quota {
		return granter.Quota{Rate: rapid.Int64Range(0, 1000).Draw(t, "rate"), Burst: rapid.Int64Range(0, 1000).Draw(t, "burst")}
	})
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	share := rapid.Custom(func(t *rapid.T) granter.Share {
		return granter.Share{Floor: quota.Draw(t, "floor"), Leased: quota.Draw(t, "leased")}
	})
	rapid.Check(t, func(t *rapid.T) {
		var ledger granter.Ledger
		ledger.SetTotal(workspace, quota.Draw(t, "whole"))
		for index := range uint64(rapid.IntRange(1, 60).Draw(t, "commands")) {
			before := sumGranted(&ledger)
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				ledger.SetTotal(workspace, quota.Draw(t, "whole"))
			case 1, 2:
				shares := rapid.MapOf(name, share).Draw(t, "shares")
				ledger.Apply(index+1, granter.Command{Plan: &granter.Plan{Workspace: workspace, Shares: shares}})
			case 3:
				reduce := granter.Reduce{Instance: name.Draw(t, "name"), Reductions: []granter.Reduction{{
					Workspace: workspace, Version: rapid.Uint64Range(0, index).Draw(t, "version"), To: share.Draw(t, "to"),
				}}}
				ledger.Apply(index+1, granter.Command{Reduce: &reduce})
			case 4:
				ledger.Apply(index+1, granter.Command{ExpireLeases: &granter.ExpireLeases{Instance: name.Draw(t, "name")}})
			case 5:
				ledger.Apply(index+1, granter.Command{Remove: &granter.Remove{Instance: name.Draw(t, "name")}})
			}
			after, total := sumGranted(&ledger), ledger.Total(workspace)
			assert.Assert(t, after.Rate <= max(before.Rate, total.Rate), "rate %d of %d", after.Rate, total.Rate)
			assert.Assert(t, after.Burst <= max(before.Burst, total.Burst), "burst %d of %d", after.Burst, total.Burst)
			assert.Equal(t, ledger.Free(workspace), total.Sub(after))
		}
	})
}

// sumGranted returns the sum of all grants of the workspace.
func sumGranted(ledger *granter.Ledger) granter.Quota {
	var sum granter.Quota
	for _, grant := range ledger.Grants(workspace) {
		sum = sum.Add(grant.Granted.Sum())
	}
	return sum
}

// TestStaleReductionIsIgnored applies a reduction a second time after the grant was
// raised again. It must not free what the holder now uses.
func TestStaleReductionIsIgnored(t *testing.T) {
	var ledger granter.Ledger
	ledger.SetTotal(workspace, granter.FromTokens(100, 1000))
	plan := func(index uint64, share granter.Share) {
		ledger.Apply(index, granter.Command{Plan: &granter.Plan{Workspace: workspace, Shares: map[string]granter.Share{"a": share}}})
	}
	small := granter.Share{Floor: granter.FromTokens(10, 100)}
	large := granter.Share{Floor: granter.FromTokens(100, 1000)}
	plan(1, large)
	plan(2, small)
	reduce := granter.Reduce{Instance: "a", Reductions: []granter.Reduction{{Workspace: workspace, Version: 2, To: small}}}
	ledger.Apply(3, granter.Command{Reduce: &reduce})
	assert.Equal(t, sumGranted(&ledger), small.Sum())
	plan(4, large)
	ledger.Apply(5, granter.Command{Reduce: &reduce})
	assert.Equal(t, sumGranted(&ledger), large.Sum())
}

// TestLeasesExpireAfterLeaseAndDrift checks that a planner takes leased parts back
// only after the lease and the drift of clocks, counted from the last sync or from
// the planner's start, and renews no lease until the expiry is committed.
func TestLeasesExpireAfterLeaseAndDrift(t *testing.T) {
	instance := granter.Instance{Name: "a", Region: "r", FailureDomain: "d"}
	tests := []struct {
		name      string
		renewedAt time.Duration // both since the planner's start, negative if before it
		checkedAt time.Duration
		renewed   bool
		expired   int
	}{
		{name: "a new leader waits for a holder that has not synced", checkedAt: granter.LeaseDuration + granter.MaxClockDrift, expired: 0},
		{name: "a holder has not synced since the new leader's start", checkedAt: granter.LeaseDuration + granter.MaxClockDrift + 1, expired: 1},
		{name: "a holder's lease and the drift have not ended", renewedAt: 10 * time.Second, renewed: true, checkedAt: 10*time.Second + granter.LeaseDuration + granter.MaxClockDrift, expired: 0},
		{name: "a holder's lease and the drift have ended", renewedAt: 10 * time.Second, renewed: true, checkedAt: 10*time.Second + granter.LeaseDuration + granter.MaxClockDrift + 1, expired: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var ledger granter.Ledger
			ledger.SetTotal(workspace, granter.FromTokens(100, 1000))
			shares := map[string]granter.Share{"a": {Leased: granter.FromTokens(50, 500)}}
			ledger.Apply(1, granter.Command{Plan: &granter.Plan{Workspace: workspace, Shares: shares}})
			planner := granter.NewPlanner(start)
			if test.renewed {
				assert.Assert(t, planner.RenewLease(start.Add(test.renewedAt), instance))
			}
			now := start.Add(test.checkedAt)
			assert.Equal(t, len(planner.ExpiredInstances(now, &ledger)), test.expired)
			if test.expired > 0 {
				assert.Assert(t, !planner.RenewLease(now, instance), "lease renewed while it is being taken back")
				assert.Equal(t, len(planner.ExpiredInstances(now, &ledger)), 1, "expiry not returned again before it is reclaimed")
				planner.ConfirmReclaimed("a")
				assert.Assert(t, planner.RenewLease(now, instance))
			}
		})
	}
}

// TestHoldersAreInHomeRegionAndFewPerDomain checks that a workspace with a home
// region has holders there only, and that no failure domain has more than
// HoldersPerDomain of them.
func TestHoldersAreInHomeRegionAndFewPerDomain(t *testing.T) {
	var instances []granter.Instance
	for i := range 320 {
		region, domain := fmt.Sprintf("r%d", i%6), fmt.Sprintf("d%d", i%15)
		instances = append(instances, granter.Instance{Name: fmt.Sprintf("i%d", i), Region: region, FailureDomain: region + domain})
	}
	for _, holder := range granter.Holders("bound", "r3", instances) {
		assert.Equal(t, holder.Region, "r3")
	}
	perDomain := map[string]int{}
	for _, holder := range granter.Holders("free", "", instances) {
		perDomain[holder.FailureDomain]++
	}
	for domain, count := range perDomain {
		assert.Assert(t, count <= granter.HoldersPerDomain, "%s has %d holders", domain, count)
	}
}

// ExampleLedger divides the total of a workspace between two holders.
func ExampleLedger() {
	var ledger granter.Ledger
	ledger.SetTotal("w", granter.FromTokens(100, 1000))
	half := granter.Share{Floor: granter.FromTokens(50, 500)}
	ledger.Apply(1, granter.Command{Plan: &granter.Plan{
		Workspace: "w", Shares: map[string]granter.Share{"a": half, "b": half},
	}})
	fmt.Println(ledger.Free("w").RateTokens(), len(ledger.Grants("w")))
	// Output: 0 2
}
