// Package commander holds what the command lines of all programs share: flags, log
// setup, version and exit codes.
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
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// ErrUsage marks errors in the use of the command line.
var ErrUsage = errors.New("wrong use")

// Main runs a command and exits the process with 0 on success, 2 for wrong usage or
// invalid settings, and 1 for other errors. Errors are printed to stderr.
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
		return exitOK
	}
	_, _ = fmt.Fprintf(os.Stderr, "%s: %s\n", name, trace.UserMessage(err))
	if errors.Is(err, ErrUsage) || errors.Is(err, loader.ErrInvalid) {
		return exitUsage
	}
	return exitFailed
}

// Version returns the module's version and the commit that it was built from.
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
	flagSettings      = "settings"
	flagCheckSettings = "check-settings"
	flagVerbosity     = "verbosity"
)

// Daemon returns the command of a process that runs with a settings file.
func Daemon[T any](name, usage string, run func(ctx context.Context, settings T) error) *cli.Command {
	return daemon(name, usage, func(ctx context.Context, _ string, settings T) error { return run(ctx, settings) })
}

// DaemonWithDialect is like Daemon, for a process that reloads its settings file
// while it runs and that uses the given HTTP dialect.
func DaemonWithDialect[T, D any](name, usage string, run func(ctx context.Context, path string, settings T, dialect D) error, dialect D) *cli.Command {
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
			&cli.BoolFlag{Name: flagCheckSettings, Usage: "check the settings and end"},
			&cli.IntFlag{Name: flagVerbosity, Usage: "log `LEVEL`; 2 logs a line for each request"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			settings, err := loader.Load[T](command.String(flagSettings))
			if err != nil {
				return err
			}
			if command.Bool(flagCheckSettings) {
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

// SetVerbosity sets the log level.
func SetVerbosity(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return trace.Wrap(flags.Set("v", strconv.Itoa(level)))
}
