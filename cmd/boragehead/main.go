// Command boragehead is the command-line client for operators.
package main

import (
	"github.com/urfave/cli/v3"

	"github.com/boragehead/boragehead/internal/commander"
)

func main() {
	commander.Main(rootCommand())
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "boragehead",
		Usage: "drive a boragehead fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "the settings `FILE`, in YAML", Value: "operator.yaml", Sources: cli.EnvVars("BORAGEHEAD_SETTINGS")},
			&cli.StringFlag{Name: flagOutput, Usage: "text or json", Value: outputText},
			&cli.StringFlag{Name: flagKeeper, Usage: "ask only the keeper of this `NAME`"},
		},
		Commands: []*cli.Command{
			tablesCommand(),
			keysCommand(),
			instancesCommand(),
			keepersCommand(),
			serversCommand(),
			statusCommand(),
			reportCommand(),
			certificatesCommand(),
			experimentCommand(),
		},
	}
}
