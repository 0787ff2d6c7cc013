package experimenter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCallersOfCutOffInstancesAreRefused guards against instances that go on trying engines
// that they cannot reach, take requests over from others for them, and refuse their callers,
// while other instances reach all engines. First attempts there must be served two thirds as
// often as elsewhere, or nine tenths of all, less ten, must be.
func TestCallersOfCutOffInstancesAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		share  float64
		silent bool
	}{
		{"one of three, refused", 0.4, false},
		{"one of three, silent", 0.4, true},
		{"two of three, refused", 0.7, false},
		{"two of three, silent", 0.7, true},
		{"all, refused", 1, false},
		{"all, silent", 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := pattern(t, "peaks")
			p.Duration, p.Outages, p.Bursts = 16*time.Second, nil, nil
			for i := range p.Regions {
				r := &p.Regions[i]
				r.LoadSteps, r.Engines, r.Instances, r.Rate = []LoadStep{{Factor: 0.5}}, r.Engines/4, r.Instances/4, r.Rate/4
			}
			p.Partitions = []Partition{{Region: p.Regions[0].Name, Share: c.share, At: 2 * time.Second, Duration: 14 * time.Second, Silent: c.silent}}
			results, err := Run(p, []string{PolicyPlacer}, []uint64{1}, 1)
			assert.NilError(t, err)
			at, others := results[0].Partitions.CutOff, results[0].Partitions.Others
			assert.Assert(t, at.Sent > 20 && others.Sent > 20, "%+v, %+v", at, others)
			failed := at.Sent - at.Served
			isServed := at.Served*others.Sent*3 >= 2*others.Served*at.Sent
			assert.Assert(t, isServed || failed <= 10+(at.Sent+others.Sent)/50, "cut off %+v, others %+v", at, others)
		})
	}
}
