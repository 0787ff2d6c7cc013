package granter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/granter"
)

// BenchmarkPlan measures one planning round after a change of one workspace, and
// the encoded sizes of the ledger and of one holder's grants.
func BenchmarkPlan(b *testing.B) {
	sizes := []struct{ workspaces, instances int }{{100, 7}, {1000, 40}, {11_000, 320}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workspaces-%d-instances-%d", size.workspaces, size.instances), func(b *testing.B) {
			var ledger granter.Ledger
			planner := granter.NewPlanner(start)
			for i := range size.instances {
				planner.RenewLease(start, granter.Instance{
					Name: fmt.Sprintf("instance-%03d", i), Region: fmt.Sprintf("r%d", i%6), FailureDomain: fmt.Sprintf("d%d", i%15),
				})
			}
			index := uint64(0)
			for i := range size.workspaces {
				name := fmt.Sprintf("workspace-%05d", i)
				ledger.SetTotal(name, granter.FromTokens(100, 1000))
				index++
				if plan := planner.Plan(start, &ledger, name, ""); plan != nil {
					ledger.Apply(index, granter.Command{Plan: plan})
				}
			}
			for len(planner.NextBatch(start, &ledger, 500)) > 0 {
				continue
			}
			now := start.Add(time.Second)
			workspace := 0
			for b.Loop() {
				workspace = (workspace + 1) % size.workspaces
				planner.Enqueue(fmt.Sprintf("workspace-%05d", workspace))
				for _, name := range planner.NextBatch(now, &ledger, 500) {
					if plan := planner.Plan(now, &ledger, name, ""); plan != nil {
						b.Fatal("a plan is needed although nothing has changed")
					}
				}
			}
			grants := ledger.ChangedSince("instance-001", 0)
			grantsData, err := cbor.Marshal(grants)
			assert.NilError(b, err)
			ledgerData, err := ledger.Snapshot()
			assert.NilError(b, err)
			b.ReportMetric(float64(len(grants)), "grants/instance")
			b.ReportMetric(float64(len(grantsData)), "B-grants")
			b.ReportMetric(float64(len(ledgerData)), "B-ledger")
		})
	}
}
