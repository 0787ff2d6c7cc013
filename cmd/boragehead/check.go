package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/boragehead/boragehead/internal/auditor"
	"github.com/boragehead/boragehead/internal/commander"
	"github.com/boragehead/boragehead/internal/forwarder"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/tabler"
	"github.com/boragehead/boragehead/platform"
)

// The flags of tables check, and the values of --form.
const (
	flagForm          = "form"
	flagEntrySettings = "entry-settings"
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
		},
		Action: checkTables,
	}
}

// checkReport is the JSON output of a check.
type checkReport struct {
	File     string            `json:"file"`
	Form     string            `json:"form"`
	Findings []auditor.Finding `json:"findings"`
}

func checkTables(_ context.Context, command *cli.Command) error {
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
		checkTablesText(&report, text)
	case formDefinition:
		err = checkDefinitionText(command, &report, text)
	default:
		err = trace.Wrap(commander.ErrUsage, "--%s: %q is not allowed: use tables, definition or auto", flagForm, report.Form)
	}
	if err != nil {
		return err
	}
	return printReport(command, report)
}

func checkTablesText(report *checkReport, text []byte) {
	tables, err := tabler.Parse(report.File, text)
	if err != nil {
		report.Findings = auditor.InvalidFindings(err)
		return
	}
	report.Findings = auditor.Tables(tables)
	auditor.Locate(text, report.Findings)
}

func checkDefinitionText(command *cli.Command, report *checkReport, text []byte) error {
	var retryLimit *forwarder.RetryLimit
	if path := command.String(flagEntrySettings); path != "" {
		settings, err := loader.Load[loader.Entry](path)
		if err != nil {
			return err
		}
		retryLimit = &forwarder.RetryLimit{Share: settings.RetryShare, Slack: settings.RetrySlack, Window: settings.RetryWindow}
	}
	_, report.Findings, _ = platform.Dialect{}.Audit(text, retryLimit)
	return nil
}

func printReport(command *cli.Command, report checkReport) error {
	if report.Findings == nil {
		report.Findings = []auditor.Finding{} // an empty list in JSON
	}
	err := printValue(command, report, func(w io.Writer) {
		for _, finding := range report.Findings {
			printLine(w, "%s:%d: %s: %s: %s", report.File, finding.Line, finding.Field, finding.Kind, finding.Text)
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
