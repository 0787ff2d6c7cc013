// Command boragehead-control is a control instance of a fleet that manages itself.
package main

import (
	"github.com/boragehead/boragehead/internal/commander"
	"github.com/boragehead/boragehead/internal/launcher"
	"github.com/boragehead/boragehead/platform"
)

func main() {
	commander.Main(commander.DaemonWithDialect("boragehead-control", "a control instance: keeps the definition, hears backend servers",
		launcher.RunControl, launcher.ControlDialect(platform.Dialect{})))
}
