package main

import (
	"context"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/boragehead/boragehead/internal/operator"
	"github.com/boragehead/boragehead/internal/tabler"
)

const (
	flagStale          = "stale"
	flagExpectRevision = "expect-revision"
)

func tablesCommand() *cli.Command {
	return &cli.Command{
		Name:  "tables",
		Usage: "routes, pools, regions and workspaces",
		Commands: []*cli.Command{
			{
				Name:   "get",
				Usage:  "print the tables in force, and their revision as a comment",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: flagStale, Usage: "what a keeper has heard will do, also without a quorum"}},
				Action: withClient(getTables),
			},
			checkCommand(),
			{Name: "diff", Usage: "show what a file would change", ArgsUsage: "FILE", Action: withClient(diffTables)},
			{
				Name:      "apply",
				Usage:     "put a file in force",
				ArgsUsage: "FILE",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: flagExpectRevision, Usage: "the `REVISION` that the file was made from", Required: true},
					changeIDFlag(),
				},
				Action: withClient(applyTables),
			},
		},
	}
}

// tablesView is the JSON output of tables with their revision.
type tablesView struct {
	Revision tabler.Revision `json:"revision"`
	Tables   tabler.Tables   `json:"tables"`
}

func getTables(ctx context.Context, command *cli.Command, client *operator.Client) error {
	tables, revision, err := client.Tables(ctx, command.Bool(flagStale))
	if err != nil {
		return err
	}
	text, err := tabler.Format(tables)
	if err != nil {
		return err
	}
	return printValue(command, tablesView{Revision: revision, Tables: tables}, func(w io.Writer) {
		printLine(w, "# revision %d", revision)
		_, _ = w.Write(text)
	})
}

func readTables(command *cli.Command) (tabler.Tables, error) {
	path, err := oneArgument(command, "FILE")
	if err != nil {
		return tabler.Tables{}, err
	}
	return readTablesFile(path)
}

func readTablesFile(path string) (tabler.Tables, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return tabler.Tables{}, trace.ConvertSystemError(err)
	}
	return tabler.Parse(path, text)
}

func diffTables(ctx context.Context, command *cli.Command, client *operator.Client) error {
	next, err := readTables(command)
	if err != nil {
		return err
	}
	current, revision, err := client.Tables(ctx, false)
	if err != nil {
		return err
	}
	edit := tabler.Diff(current, next)
	return printValue(command, edit, func(w io.Writer) {
		printLine(w, "against revision %d:", revision)
		printEdit(w, edit)
	})
}

func printEdit(w io.Writer, edit tabler.Edit) {
	if edit.IsEmpty() {
		printLine(w, "no change")
	}
	for _, region := range edit.Put.Regions {
		printLine(w, "put\tregion\t%s", region.Name)
	}
	for _, pool := range edit.Put.Pools {
		printLine(w, "put\tpool\t%s", pool.Name)
	}
	for _, route := range edit.Put.Routes {
		printLine(w, "put\troute\t%s", route.Name)
	}
	for _, workspace := range edit.Put.Workspaces {
		printLine(w, "put\tworkspace\t%s", workspace.Name)
	}
	for _, name := range edit.Remove {
		printLine(w, "remove\t%s\t%s", name.Kind, name.Name)
	}
}

func applyTables(ctx context.Context, command *cli.Command, client *operator.Client) error {
	next, err := readTables(command)
	if err != nil {
		return err
	}
	id := changeID(command)
	result, err := client.ReplaceTables(ctx, id, tabler.Revision(command.Uint64(flagExpectRevision)), next)
	if err != nil {
		return trace.Wrap(err, "change %s", id)
	}
	return printValue(command, result, func(w io.Writer) { printLine(w, "accepted as revision %d (change %s)", result.Revision, id) })
}
