// Command boragehead-gate is an entry instance of the gateway.
package main

import (
	"github.com/boragehead/boragehead/internal/commander"
	"github.com/boragehead/boragehead/internal/runner"
)

func main() {
	commander.Main(commander.Daemon("boragehead-gate", "an entry instance: takes requests from callers", runner.ServeGate))
}
