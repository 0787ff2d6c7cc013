// Package commander is the frame of the processes' command lines: common
// flags, logs, versions and exit codes.
package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/loader"
)

// The exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitWrongUse = 2
)

// ErrUsage marks errors of the command line itself.
var ErrUsage = errors.New("wrong use")

// Main runs a command and ends the process with its exit code.
func Main(command *cli.Command) {
	command.Version = Version()
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return trace.Wrap(ErrUsage, "%v", err)
	}
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := command.Run(context.Background(), os.Args)
	klog.Flush()
	os.Exit(exitCode(command.Name, err))
}

func exitCode(name string, err error) int {
	if err == nil {
		return exitDone
	}
	_, _ = fmt.Fprintf(os.Stderr, "%s: %s\n", name, trace.UserMessage(err))
	if errors.Is(err, ErrUsage) || errors.Is(err, loader.ErrInvalid) {
		return exitWrongUse
	}
	return exitFailed
}

// Version returns the module's version and the commit it was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version += " " + setting.Value
		}
	}
	return version
}

// The names of the common flags.
const (
	flagSettings  = "settings"
	flagCheck     = "check-settings"
	flagVerbosity = "verbosity"
)

// Daemon returns the command of a process that runs with a settings file.
func Daemon[T any](name, usage string, run func(ctx context.Context, settings T) error) *cli.Command {
	return daemon(name, usage, func(ctx context.Context, _ string, settings T) error { return run(ctx, settings) })
}

// DaemonAt is Daemon for a process that reads its settings file again while it
// runs, and that speaks a given dialect.
func DaemonAt[T, D any](name, usage string, run func(ctx context.Context, path string, settings T, dialect D) error, dialect D) *cli.Command {
	return daemon(name, usage, func(ctx context.Context, path string, settings T) error {
		return run(ctx, path, settings, dialect)
	})
}

func daemon[T any](name, usage string, run func(ctx context.Context, path string, settings T) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "the settings `FILE`, in YAML", Required: true},
			&cli.BoolFlag{Name: flagCheck, Usage: "check the settings and end"},
			&cli.IntFlag{Name: flagVerbosity, Usage: "log `LEVEL`; 2 logs a line for each request"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			settings, err := loader.Load[T](command.String(flagSettings))
			if err != nil {
				return err
			}
			if command.Bool(flagCheck) {
				_, _ = fmt.Fprintln(command.Root().Writer, "the settings are in order")
				return nil
			}
			if err := SetVerbosity(command.Int(flagVerbosity)); err != nil {
				return err
			}
			return run(ctx, command.String(flagSettings), settings)
		},
	}
}

// SetVerbosity sets the level of the logs.
func SetVerbosity(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return trace.Wrap(flags.Set("v", strconv.Itoa(level)))
}
