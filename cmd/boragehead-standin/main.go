// Command boragehead-standin is a stand-in backend server for demonstrations and
// tests.
package main

import (
	"github.com/boragehead/boragehead/internal/commander"
	"github.com/boragehead/boragehead/internal/runner"
)

func main() {
	commander.Main(commander.Daemon("boragehead-standin", "a stand-in backend server, for demonstrations and tests", runner.RunStandin))
}
