// Command boragehead-keeper is a control instance: it stores tables, keys, grants
// and claims.
package main

import (
	"github.com/boragehead/boragehead/internal/commander"
	"github.com/boragehead/boragehead/internal/runner"
)

func main() {
	commander.Main(commander.Daemon("boragehead-keeper", "a control instance: keeps tables, keys, grants and claims", runner.ServeKeeper))
}
