package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/boragehead/boragehead/internal/commander"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/operator"
)

// The names of the common flags, and the values of --output.
const (
	flagSettings = "settings"
	flagOutput   = "output"
	flagKeeper   = "keeper"
	flagChangeID = "change-id"
	outputText   = "text"
	outputJSON   = "json"
)

// clientAction is a command's action that needs a client.
type clientAction func(ctx context.Context, command *cli.Command, client *operator.Client) error

// withClient returns an action that creates a client from the settings and calls
// action with it.
func withClient(action clientAction) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if err := checkOutput(command); err != nil {
			return err
		}
		settings, err := loader.Load[loader.Client](command.String(flagSettings))
		if err != nil {
			return err
		}
		client, err := operator.NewClient(settings)
		if err != nil {
			return err
		}
		if name := command.String(flagKeeper); name != "" {
			if err := client.Only(name); err != nil {
				return err
			}
		}
		return action(ctx, command, client)
	}
}

// checkOutput checks the value of --output.
func checkOutput(command *cli.Command) error {
	if output := command.String(flagOutput); output != outputText && output != outputJSON {
		return trace.Wrap(commander.ErrUsage, "--output: %q is not allowed: use text or json", output)
	}
	return nil
}

// oneArgument returns a command's only argument.
func oneArgument(command *cli.Command, name string) (string, error) {
	if command.Args().Len() != 1 {
		return "", trace.Wrap(commander.ErrUsage, "%s takes one argument: %s", command.FullName(), name)
	}
	return command.Args().First(), nil
}

// changeIDFlag lets an operator resend a change whose answer was lost.
func changeIDFlag() cli.Flag {
	return &cli.StringFlag{Name: flagChangeID, Usage: "the change's `ID`; resend a change under the same one after a lost answer"}
}

// changeID returns the change ID that the operator gave, or a new one.
func changeID(command *cli.Command) string {
	if id := command.String(flagChangeID); id != "" {
		return id
	}
	id := make([]byte, 8)
	_, _ = rand.Read(id) // never fails: see the crypto/rand package
	return hex.EncodeToString(id)
}

// printValue prints a value as JSON, or calls text to print it as text, depending
// on --output.
func printValue(command *cli.Command, value any, text func(w io.Writer)) error {
	out := command.Root().Writer
	if command.String(flagOutput) == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(value))
	}
	tabs := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	text(tabs)
	return trace.Wrap(tabs.Flush())
}

// doneMessage is the JSON output of a command without a result.
type doneMessage struct {
	Done string `json:"done"`
}

// printDone prints that a command has succeeded.
func printDone(command *cli.Command, format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	return printValue(command, doneMessage{Done: text}, func(w io.Writer) { printLine(w, "%s", text) })
}

// printLine prints one line of text.
func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
