package experimenter

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// WriteTable writes results as text, one table for each.
func WriteTable(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, result := range results {
		printf := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format, values...) } // errors are returned by Flush
		printf("policy %s, seed %d: worth %.3f, two worst windows %.3f, read again %.1f%%, preempted %d\n",
			result.Policy, result.Seed, result.Worth, result.worstWindowsWorth(), result.RepeatedShare*100, result.Preemptions)
		printf("\tasked\tin time\tlate\trefused\tfailed\tworth\tbound\tmix\tfirst p50\tp99\tgap p99\t\n")
		for _, group := range slices.Concat(result.Kinds, result.Sizes, result.Workspaces, result.Regions, result.Windows) {
			printf("%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s\t%s\t%s\t%s\t%s\t\n", group.Name, group.Requests, group.InTime, group.Late, group.Refused,
				group.Failed, group.Worth,
				worthOrDash(group.Bound), worthOrDash(group.Mix), roundToMillisecond(group.FirstEventMedian), roundToMillisecond(group.FirstEventP99), roundToMillisecond(group.GapP99))
		}
		for _, utilization := range result.Engines {
			printf("engines of %s\tbusy %.0f%%\tread %.0f%%\t\n", utilization.Region, utilization.Busy*100, utilization.Prefill*100)
		}
	}
	return table.Flush()
}

func worthOrDash(worth float64) string {
	if worth == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", worth)
}

func roundToMillisecond(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}
