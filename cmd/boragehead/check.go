package main

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/boragehead/boragehead/internal/auditor"
	"github.com/boragehead/boragehead/internal/commander"
	"github.com/boragehead/boragehead/internal/forwarder"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/operator"
	"github.com/boragehead/boragehead/internal/tabler"
	"github.com/boragehead/boragehead/platform"
)

// The flags of tables check, and the values of --form.
const (
	flagForm          = "form"
	flagEntrySettings = "entry-settings"
	flagAgainst       = "against"
	flagFleet         = "fleet"
	flagControl       = "control"
	formAuto          = "auto"
	formTables        = "tables"
	formDefinition    = "definition"
)

// errFindings makes a check end with the exit code for findings.
var errFindings = errors.New("the check has findings")

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a file, and name every fault, entry that never matches and contradiction",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagForm, Usage: "tables (YAML), definition (JSON) or auto, which decides by the content", Value: formAuto},
			&cli.StringFlag{Name: flagEntrySettings, Usage: "the settings `FILE` of an entry instance, whose retry budget a definition is checked against"},
			&cli.StringFlag{Name: flagAgainst, Usage: "the `FILE` in force, of the same form; show what changes"},
			&cli.BoolFlag{Name: flagFleet, Usage: "check tables against the fleet of the settings, with its keys; show what changes"},
			&cli.StringFlag{Name: flagControl, Usage: "the operators' `ADDRESS` of a control instance of a fleet that manages itself; show what a definition changes"},
		},
		Action: checkTables,
	}
}

// checkReport is the JSON output of a check.
type checkReport struct {
	File     string            `json:"file"`
	Form     string            `json:"form"`
	Findings []auditor.Finding `json:"findings"`
	// Changes are those from the configuration in force, if the check is given one.
	Changes []auditor.Change `json:"changes,omitempty"`
	// InForce is the revision or version in force.
	InForce uint64 `json:"in-force,omitempty"`
}

func checkTables(ctx context.Context, command *cli.Command) error {
	if err := checkOutput(command); err != nil {
		return err
	}
	path, err := oneArgument(command, "FILE")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return trace.Wrap(commander.ErrUsage, "%v", err)
	}
	report := checkReport{File: path, Form: command.String(flagForm)}
	if report.Form == formAuto {
		report.Form = formTables
		if platform.IsDocument(text) {
			report.Form = formDefinition
		}
	}
	switch report.Form {
	case formTables:
		err = checkTablesText(ctx, command, &report, text)
	case formDefinition:
		err = checkDefinitionText(ctx, command, &report, text)
	default:
		err = trace.Wrap(commander.ErrUsage, "--%s: %q is not allowed: use tables, definition or auto", flagForm, report.Form)
	}
	if err != nil {
		return err
	}
	return printReport(command, report)
}

func checkTablesText(ctx context.Context, command *cli.Command, report *checkReport, text []byte) error {
	if command.IsSet(flagControl) {
		return trace.Wrap(commander.ErrUsage, "--%s reads a definition only: tables are compared with --%s", flagControl, flagFleet)
	}
	tables, err := tabler.Parse(report.File, text)
	if err != nil {
		report.Findings = auditor.InvalidFindings(err)
		return nil
	}
	report.Findings = auditor.Tables(tables)
	if path := command.String(flagAgainst); path != "" {
		current, err := readTablesFile(path)
		if err != nil {
			return trace.Wrap(commander.ErrUsage, "--%s: %v", flagAgainst, err)
		}
		report.Changes = auditor.DiffTables(current, tables)
	}
	if command.Bool(flagFleet) {
		err = withClient(func(ctx context.Context, _ *cli.Command, client *operator.Client) error {
			return checkFleet(ctx, client, report, tables)
		})(ctx, command)
	}
	auditor.Locate(text, report.Findings)
	return err
}

// checkFleet adds the findings on the keys of a fleet, and the changes from its tables.
func checkFleet(ctx context.Context, client *operator.Client, report *checkReport, tables tabler.Tables) error {
	current, revision, err := client.Tables(ctx, false)
	if err != nil {
		return err
	}
	keys, err := client.Keys(ctx)
	if err != nil {
		return err
	}
	report.Findings = append(report.Findings, auditor.Keys(tables, keys)...)
	report.Changes, report.InForce = auditor.DiffTables(current, tables), uint64(revision)
	return nil
}

func checkDefinitionText(ctx context.Context, command *cli.Command, report *checkReport, text []byte) error {
	if command.Bool(flagFleet) {
		return trace.Wrap(commander.ErrUsage, "--%s reads tables only: a definition is compared with --%s", flagFleet, flagControl)
	}
	var retryLimit *forwarder.RetryLimit
	if path := command.String(flagEntrySettings); path != "" {
		settings, err := loader.Load[loader.Entry](path)
		if err != nil {
			return err
		}
		retryLimit = &forwarder.RetryLimit{Share: settings.RetryShare, Slack: settings.RetrySlack, Window: settings.RetryWindow}
	}
	definition, findings, complete := platform.Dialect{}.Audit(text, retryLimit)
	report.Findings = findings
	currentText, err := readInForce(ctx, command)
	if err != nil || currentText == nil || !complete {
		return err
	}
	current, err := platform.Dialect{}.Decode(currentText)
	if err != nil {
		return trace.Wrap(commander.ErrUsage, "the definition in force: %v", err)
	}
	report.Changes, report.InForce = platform.Dialect{}.Diff(current, definition), uint64(current.Version)
	if len(report.Changes) > 0 && definition.Version <= current.Version {
		outdated := []auditor.Finding{auditor.Outdated(definition.Version, current.Version)}
		auditor.Locate(text, outdated)
		report.Findings = append(report.Findings, outdated...)
	}
	return nil
}

// readInForce returns the document of the definition in force, or nil if the command
// names none.
func readInForce(ctx context.Context, command *cli.Command) ([]byte, error) {
	if address := command.String(flagControl); address != "" {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, trace.Wrap(commander.ErrUsage, "--%s: %v", flagControl, err)
		}
		return platform.FetchDocument(ctx, parsed)
	}
	path := command.String(flagAgainst)
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(commander.ErrUsage, "--%s: %v", flagAgainst, err)
	}
	return text, nil
}

func printReport(command *cli.Command, report checkReport) error {
	if report.Findings == nil {
		report.Findings = []auditor.Finding{} // an empty list in JSON
	}
	err := printValue(command, report, func(w io.Writer) {
		for _, finding := range report.Findings {
			printLine(w, "%s:%d: %s: %s: %s", report.File, finding.Line, finding.Field, finding.Kind, finding.Text)
		}
		for _, change := range report.Changes {
			printLine(w, "%s\t%s\t%s\t%s", change.Op, change.Table, change.Name, strings.Join(change.Fields, ", "))
		}
		if len(report.Findings) == 0 {
			printLine(w, "%s is in order", report.File)
		}
	})
	if err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return errFindings
	}
	return nil
}
