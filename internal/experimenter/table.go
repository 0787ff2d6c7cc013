package experimenter

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// WriteTable writes results as text, a table for each.
func WriteTable(to io.Writer, results []Result) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, result := range results {
		p := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format, values...) } // Flush tells of errors
		p("policy %s, seed %d: worth %.3f, two worst windows %.3f, read again %.1f%%, preempted %d\n",
			result.Policy, result.Seed, result.Worth, result.worst(), result.Repeated*100, result.Preempted)
		p("\tasked\tin time\tlate\trefused\tfailed\tworth\tfirst p50\tp99\tgap p99\t\n")
		for _, share := range slices.Concat(result.Kinds, result.Sizes, result.Regions, result.Windows) {
			p("%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s\t%s\t%s\t\n", share.Name, share.Asked, share.InTime, share.Late, share.Refused,
				share.Failed, share.Worth, rounded(share.Median), rounded(share.Slowest), rounded(share.Gap))
		}
		for _, effort := range result.Engines {
			p("engines of %s\tbusy %.0f%%\tread %.0f%%\t\n", effort.Region, effort.Busy*100, effort.Read*100)
		}
	}
	return table.Flush()
}

func rounded(took time.Duration) time.Duration {
	return took.Round(time.Millisecond)
}
