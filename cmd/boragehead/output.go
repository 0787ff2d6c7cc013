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

// The names of the common flags, and what --output takes.
const (
	flagSettings = "settings"
	flagOutput   = "output"
	flagKeeper   = "keeper"
	flagChangeID = "change-id"
	outputText   = "text"
	outputJSON   = "json"
)

// action is what a command does with a client.
type action func(ctx context.Context, command *cli.Command, client *operator.Client) error

// withClient gives an action a client made from the settings.
func withClient(act action) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if output := command.String(flagOutput); output != outputText && output != outputJSON {
			return trace.Wrap(commander.ErrUsage, "--output: %q is not allowed: use text or json", output)
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
		return act(ctx, command, client)
	}
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

// changeID returns the operator's id for a change, or a new one.
func changeID(command *cli.Command) string {
	if id := command.String(flagChangeID); id != "" {
		return id
	}
	id := make([]byte, 8)
	_, _ = rand.Read(id) // never fails: see the crypto/rand package
	return hex.EncodeToString(id)
}

// show prints a value as JSON, or by a function as text.
func show(command *cli.Command, value any, text func(w io.Writer)) error {
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

// done is the JSON form of a command that only says that it is done.
type done struct {
	Done string `json:"done"`
}

// showDone tells that a command is done.
func showDone(command *cli.Command, format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	return show(command, done{Done: text}, func(w io.Writer) { line(w, "%s", text) })
}

// line prints one line of a text.
func line(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
