package main

import (
	"context"
	"io"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/boragehead/boragehead/internal/operator"
	"github.com/boragehead/boragehead/internal/tabler"
)

const flagHomeRegion = "home"

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "workspace keys",
		Commands: []*cli.Command{
			{
				Name:      "give",
				Usage:     "make a key for a workspace and show it once",
				ArgsUsage: "WORKSPACE",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagHomeRegion, Usage: "the key's home `REGION`; a bound workspace's own by default"},
					changeIDFlag(),
				},
				Action: withClient(giveKey),
			},
			{
				Name: "withdraw", Usage: "end a key for good", ArgsUsage: "KEY-ID",
				Flags: []cli.Flag{changeIDFlag()}, Action: withClient(withdrawKey),
			},
			{Name: "list", Usage: "list the keys, without their secrets", Action: withClient(listKeys)},
		},
	}
}

// givenKey is the JSON output of a new key.
type givenKey struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

func giveKey(ctx context.Context, command *cli.Command, client *operator.Client) error {
	workspace, err := oneArgument(command, "WORKSPACE")
	if err != nil {
		return err
	}
	secret := tabler.NewSecret()
	key, err := tabler.NewKey(secret, workspace, command.String(flagHomeRegion))
	if err != nil {
		return err
	}
	id := changeID(command)
	if _, err := client.AddKey(ctx, id, key); err != nil {
		return trace.Wrap(err, "change %s", id)
	}
	return printValue(command, givenKey{ID: key.ID, Secret: secret}, func(w io.Writer) {
		printLine(w, "id\t%s", key.ID)
		printLine(w, "secret\t%s", secret)
		printLine(w, "\t(shown only now)")
	})
}

func withdrawKey(ctx context.Context, command *cli.Command, client *operator.Client) error {
	id, err := oneArgument(command, "KEY-ID")
	if err != nil {
		return err
	}
	outcome, err := client.WithdrawKey(ctx, changeID(command), id)
	if err != nil {
		return err
	}
	return printValue(command, outcome, func(w io.Writer) {
		if outcome.Accepted {
			printLine(w, "accepted: the key no longer works")
			return
		}
		printLine(w, "pending: it takes effect where it is heard")
		printLine(w, "quorum\t%t", outcome.Quorum)
		printLine(w, "not reached\t%s", strings.Join(outcome.Unreached, ", "))
	})
}

func listKeys(ctx context.Context, command *cli.Command, client *operator.Client) error {
	keys, err := client.Keys(ctx)
	if err != nil {
		return err
	}
	return printValue(command, keys, func(w io.Writer) {
		printLine(w, "ID\tWORKSPACE\tHOME\tSTATE")
		for _, key := range keys {
			state := "valid"
			if key.Withdrawn {
				state = "withdrawn"
			}
			printLine(w, "%s\t%s\t%s\t%s", key.ID, key.Workspace, key.HomeRegion, state)
		}
	})
}
