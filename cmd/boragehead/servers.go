package main

import (
	"context"
	"io"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/boragehead/boragehead/internal/commander"
	"github.com/boragehead/boragehead/internal/operator"
	"github.com/boragehead/boragehead/internal/orderer"
)

const (
	flagFailureDomain = "failure-domain"
	flagKind          = "kind"
	flagValue         = "value"
)

func serversCommand() *cli.Command {
	return &cli.Command{
		Name:  "servers",
		Usage: "backend servers",
		Commands: []*cli.Command{{
			Name: "order", Usage: "order a model engine to load a model or to change role", ArgsUsage: "SERVER",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: flagFailureDomain, Usage: "the server's failure `DOMAIN`", Required: true},
				&cli.StringFlag{Name: flagKind, Usage: "load-model or change-role", Required: true},
				&cli.StringFlag{Name: flagValue, Usage: "the model or the role", Required: true},
			},
			Action: withClient(orderServer),
		}},
	}
}

func orderServer(ctx context.Context, command *cli.Command, client *operator.Client) error {
	server, err := oneArgument(command, "SERVER")
	if err != nil {
		return err
	}
	kind := orderer.Kind(command.String(flagKind))
	if kind != orderer.KindLoadModel && kind != orderer.KindChangeRole {
		return trace.Wrap(commander.ErrUsage, "--kind: %q is not allowed: use load-model or change-role", kind)
	}
	order := orderer.Order{FailureDomain: command.String(flagFailureDomain), Server: server, Kind: kind, Argument: command.String(flagValue)}
	answer, err := client.SendOrder(ctx, order)
	if err != nil {
		return err
	}
	return printValue(command, answer, func(w io.Writer) { printLine(w, "delivered under fencing number %d", answer.Number) })
}
