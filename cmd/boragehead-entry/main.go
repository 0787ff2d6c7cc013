// Command boragehead-entry is an entry instance of a fleet that manages itself.
package main

import (
	"github.com/boragehead/boragehead/internal/commander"
	"github.com/boragehead/boragehead/internal/launcher"
	"github.com/boragehead/boragehead/platform"
)

func main() {
	commander.Main(commander.DaemonWithDialect("boragehead-entry", "an entry instance: takes requests from callers",
		launcher.RunEntry, launcher.EntryDialect(platform.Dialect{})))
}
