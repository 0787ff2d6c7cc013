package main

import (
	"context"
	"encoding/json"
	"runtime"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/boragehead/boragehead/internal/commander"
	"github.com/boragehead/boragehead/internal/experimenter"
)

// The flags of an experiment.
const (
	flagPolicy       = "policy"
	flagSeed         = "seed"
	flagParallelRuns = "plays"
)

// experimentCommand simulates a load pattern.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "play a load pattern against emulated engines and compare policies",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagPolicy, Usage: "a `NAME` of a policy", Value: []string{experimenter.PolicyPlacer}},
			&cli.Uint64SliceFlag{Name: flagSeed, Usage: "a `NUMBER` that decides on what is random", Value: []uint64{1}},
			&cli.IntFlag{Name: flagParallelRuns, Usage: "how many plays run at once", Value: max(runtime.NumCPU()/2, 1)},
		},
		Action: runExperiment,
	}
}

func runExperiment(_ context.Context, command *cli.Command) error {
	path, err := oneArgument(command, "a pattern file")
	if err != nil {
		return err
	}
	pattern, err := experimenter.Load(path)
	if err != nil {
		return err
	}
	results, err := experimenter.Run(pattern, command.StringSlice(flagPolicy), command.Uint64Slice(flagSeed), command.Int(flagParallelRuns))
	if err != nil {
		return trace.Wrap(commander.ErrUsage, "%v", err)
	}
	if command.String(flagOutput) == outputJSON {
		encoder := json.NewEncoder(command.Root().Writer)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(results))
	}
	return trace.Wrap(experimenter.WriteTable(command.Root().Writer, results))
}
