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

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const workspace = "w"

var start = time.Unix(5000, 0)

// TestGrantsNeverExceedTheWhole applies random commands: what is granted is
// raised only from what is free, so it never goes above the largest whole, and
// never up while it is above the present one.
func TestGrantsNeverExceedTheWhole(t *testing.T) {
	amount := rapid.Custom(func(t *rapid.T) granter.Amount {
		return granter.Amount{Rate: rapid.Int64Range(0, 1000).Draw(t, "rate"), Burst: rapid.Int64Range(0, 1000).Draw(t, "burst")}
	})
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	share := rapid.Custom(func(t *rapid.T) granter.Share {
		return granter.Share{Floor: amount.Draw(t, "floor"), Leased: amount.Draw(t, "leased")}
	})
	rapid.Check(t, func(t *rapid.T) {
		var ledger granter.Ledger
		ledger.SetWhole(workspace, amount.Draw(t, "whole"))
		for index := range uint64(rapid.IntRange(1, 60).Draw(t, "commands")) {
			before := granted(&ledger)
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				ledger.SetWhole(workspace, amount.Draw(t, "whole"))
			case 1, 2:
				shares := rapid.MapOf(name, share).Draw(t, "shares")
				ledger.Apply(index+1, granter.Command{Plan: &granter.Plan{Workspace: workspace, Shares: shares}})
			case 3:
				lower := granter.Lower{Instance: name.Draw(t, "name"), Consents: []granter.Consent{{
					Workspace: workspace, Version: rapid.Uint64Range(0, index).Draw(t, "version"), To: share.Draw(t, "to"),
				}}}
				ledger.Apply(index+1, granter.Command{Lower: &lower})
			case 4:
				ledger.Apply(index+1, granter.Command{Lapse: &granter.Lapse{Instance: name.Draw(t, "name")}})
			case 5:
				ledger.Apply(index+1, granter.Command{Remove: &granter.Remove{Instance: name.Draw(t, "name")}})
			}
			after, whole := granted(&ledger), ledger.Whole(workspace)
			assert.Assert(t, after.Rate <= max(before.Rate, whole.Rate), "rate %d of %d", after.Rate, whole.Rate)
			assert.Assert(t, after.Burst <= max(before.Burst, whole.Burst), "burst %d of %d", after.Burst, whole.Burst)
			assert.Equal(t, ledger.Free(workspace), whole.Minus(after))
		}
	})
}

func granted(ledger *granter.Ledger) granter.Amount {
	var sum granter.Amount
	for _, grant := range ledger.Grants(workspace) {
		sum = sum.Plus(grant.Granted.Sum())
	}
	return sum
}

// TestOldConsentsAreVoid sends a consent again after the grant was raised:
// it must not free what the holder uses now.
func TestOldConsentsAreVoid(t *testing.T) {
	var ledger granter.Ledger
	ledger.SetWhole(workspace, granter.Tokens(100, 1000))
	plan := func(index uint64, share granter.Share) {
		ledger.Apply(index, granter.Command{Plan: &granter.Plan{Workspace: workspace, Shares: map[string]granter.Share{"a": share}}})
	}
	small := granter.Share{Floor: granter.Tokens(10, 100)}
	large := granter.Share{Floor: granter.Tokens(100, 1000)}
	plan(1, large)
	plan(2, small)
	consent := granter.Lower{Instance: "a", Consents: []granter.Consent{{Workspace: workspace, Version: 2, To: small}}}
	ledger.Apply(3, granter.Command{Lower: &consent})
	assert.Equal(t, granted(&ledger), small.Sum())
	plan(4, large)
	ledger.Apply(5, granter.Command{Lower: &consent})
	assert.Equal(t, granted(&ledger), large.Sum())
}

// TestLeasesAreWaitedOut checks when a planner takes leased parts back.
func TestLeasesAreWaitedOut(t *testing.T) {
	instance := granter.Instance{Name: "a", Region: "r", FailureDomain: "d"}
	tests := []struct {
		name    string
		heard   time.Duration // before the planner began when negative
		after   time.Duration
		renewed bool
		lapsed  int
	}{
		{name: "a new leader waits though it never heard the holder", after: granter.Lease + granter.Drift, lapsed: 0},
		{name: "a new leader has waited", after: granter.Lease + granter.Drift + 1, lapsed: 1},
		{name: "a holder that renewed late", heard: 10 * time.Second, renewed: true, after: 10*time.Second + granter.Lease + granter.Drift, lapsed: 0},
		{name: "a holder that renewed and fell silent", heard: 10 * time.Second, renewed: true, after: 10*time.Second + granter.Lease + granter.Drift + 1, lapsed: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var ledger granter.Ledger
			ledger.SetWhole(workspace, granter.Tokens(100, 1000))
			shares := map[string]granter.Share{"a": {Leased: granter.Tokens(50, 500)}}
			ledger.Apply(1, granter.Command{Plan: &granter.Plan{Workspace: workspace, Shares: shares}})
			planner := granter.NewPlanner(start)
			if test.renewed {
				assert.Assert(t, planner.Renew(start.Add(test.heard), instance))
			}
			now := start.Add(test.after)
			assert.Equal(t, len(planner.Lapsed(now, &ledger)), test.lapsed)
			if test.lapsed > 0 {
				assert.Assert(t, !planner.Renew(now, instance), "renewed while it is taken back")
				assert.Equal(t, len(planner.Lapsed(now, &ledger)), 1, "a lost proposal is not made again")
				planner.Reclaimed("a")
				assert.Assert(t, planner.Renew(now, instance))
			}
		})
	}
}

// TestHoldersOfBoundWorkspacesAreAtHome also checks that few hold a grant.
func TestHoldersOfBoundWorkspacesAreAtHome(t *testing.T) {
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

// ExampleLedger divides a workspace between two holders.
func ExampleLedger() {
	var ledger granter.Ledger
	ledger.SetWhole("w", granter.Tokens(100, 1000))
	half := granter.Share{Floor: granter.Tokens(50, 500)}
	ledger.Apply(1, granter.Command{Plan: &granter.Plan{
		Workspace: "w", Shares: map[string]granter.Share{"a": half, "b": half},
	}})
	fmt.Println(ledger.Free("w").RateTokens(), len(ledger.Grants("w")))
	// Output: 0 2
}
