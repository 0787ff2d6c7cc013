package main

import (
	"context"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/boragehead/boragehead/internal/keeper"
	"github.com/boragehead/boragehead/internal/operator"
	"github.com/boragehead/boragehead/internal/reporter"
)

const (
	flagUndo             = "undo"
	flagAcceptLostClaims = "accept-lost-claims"
)

func instancesCommand() *cli.Command {
	return &cli.Command{
		Name:  "instances",
		Usage: "entry instances",
		Commands: []*cli.Command{
			{
				Name: "drain", Usage: "take an instance out of the directory", ArgsUsage: "NAME",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: flagUndo, Usage: "put it back in"}, changeIDFlag()},
				Action: withClient(drainInstance),
			},
			{
				Name: "remove", Usage: "say that an instance is gone for good: its grants are free again", ArgsUsage: "NAME",
				Action: withClient(removeInstance),
			},
		},
	}
}

func drainInstance(ctx context.Context, command *cli.Command, client *operator.Client) error {
	name, err := oneArgument(command, "NAME")
	if err != nil {
		return err
	}
	result, err := client.SetDraining(ctx, changeID(command), name, !command.Bool(flagUndo))
	if err != nil {
		return err
	}
	return printValue(command, result, func(w io.Writer) { printLine(w, "accepted as revision %d", result.Revision) })
}

func removeInstance(ctx context.Context, command *cli.Command, client *operator.Client) error {
	name, err := oneArgument(command, "NAME")
	if err != nil {
		return err
	}
	if err := client.RemoveInstance(ctx, name); err != nil {
		return err
	}
	return printDone(command, "the grants of %s are free", name)
}

func keepersCommand() *cli.Command {
	return &cli.Command{
		Name:  "keepers",
		Usage: "control instances",
		Commands: []*cli.Command{
			{Name: "found", Usage: "make the keepers of the settings a new fleet, once", Action: withClient(foundKeepers)},
			{
				Name: "readmit", Usage: "give a keeper that lost its disk its place again", ArgsUsage: "NAME",
				Flags: []cli.Flag{&cli.BoolFlag{
					Name: flagAcceptLostClaims, Usage: "go on when the region's claims were lost: bookings made before may run again",
				}},
				Action: withClient(readmitKeeper),
			},
		},
	}
}

func foundKeepers(ctx context.Context, command *cli.Command, client *operator.Client) error {
	if err := client.FoundGroups(ctx); err != nil {
		return err
	}
	return printDone(command, "founded")
}

func readmitKeeper(ctx context.Context, command *cli.Command, client *operator.Client) error {
	name, err := oneArgument(command, "NAME")
	if err != nil {
		return err
	}
	if err := client.Readmit(ctx, name, command.Bool(flagAcceptLostClaims)); err != nil {
		return err
	}
	return printDone(command, "%s is readmitted; it gets its vote when it has caught up", name)
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "instances, backend servers and the revision in force on each",
		Action: withClient(func(ctx context.Context, command *cli.Command, client *operator.Client) error {
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			return printValue(command, status, func(w io.Writer) { printStatus(w, status) })
		}),
	}
}

func printStatus(w io.Writer, status keeper.Status) {
	printLine(w, "revision %d, seen by %s; leader %s, term %d, quorum %t", status.Revision, status.Keeper, status.Leader, status.Term, status.Quorum)
	for _, id := range status.Pending {
		printLine(w, "withdrawal pending: %s", id)
	}
	printLine(w, "")
	printLine(w, "KEEPER\tVOTE")
	for _, member := range status.Members {
		printLine(w, "%s\t%t", member.Name, member.Voter)
	}
	printLine(w, "")
	printLine(w, "INSTANCE\tREGION\tFAILURE DOMAIN\tSTATE\tREVISION\tSILENT\tPOOLS (servers, free)")
	for _, i := range status.Instances {
		var pools []string
		for _, pool := range i.Pools {
			pools = append(pools, pool.Pool+" "+formatServerCount(pool.Servers, pool.FreeSlots))
		}
		printLine(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s", i.Name, i.Region, i.FailureDomain, i.State, i.Revision, i.Silent, strings.Join(pools, "; "))
	}
	printServers(w, status.Servers)
}

func printServers(w io.Writer, servers []keeper.ServerStatus) {
	printLine(w, "")
	printLine(w, "SERVER\tFAILURE DOMAIN\tRUNNING\tMOST\tCHECKS FENCING\tPOOLS")
	for _, s := range servers {
		printLine(w, "%s\t%s\t%d\t%d\t%t\t%s", s.Name, s.FailureDomain, s.Running, s.MaxRunning, s.ChecksFencing, strings.Join(s.Pools, ", "))
	}
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "reports over the fleet",
		Commands: []*cli.Command{{
			Name: "burn", Usage: "how fast the error budgets burn, by route, region and worst workspaces",
			Action: withClient(func(ctx context.Context, command *cli.Command, client *operator.Client) error {
				burn, err := client.BurnRates(ctx)
				if err != nil {
					return err
				}
				return printValue(command, burn, func(w io.Writer) { printBurn(w, burn) })
			}),
		}},
	}
}

func printBurn(w io.Writer, burn reporter.BurnReport) {
	printLine(w, "ROUTE\tREGION\tTARGET\t5M\t1H\t6H\tBUDGET LEFT\tREQUESTS (6H)")
	for _, r := range burn.Routes {
		region := r.Region
		if region == "" {
			region = "all"
		}
		printLine(w, "%s\t%s\t%.3f\t%.2f\t%.2f\t%.2f\t%.0f%%\t%d", r.Route, region, r.Target,
			r.Rates.Short, r.Rates.Middle, r.Rates.Long, 100*r.BudgetLeft, r.Counts.Long.Total)
	}
	printLine(w, "")
	printLine(w, "WORST WORKSPACE\tMISSED\tREQUESTS (6H)")
	for _, workspace := range burn.Workspaces {
		printLine(w, "%s\t%.1f%%\t%d", workspace.Workspace, 100*workspace.BadShare, workspace.Counts.Long.Total)
	}
	if len(burn.Missing) > 0 {
		printLine(w, "")
		printLine(w, "MISSING: %s", strings.Join(burn.Missing, ", "))
	}
}
