// Command boragehead-gate is an entry instance of the gateway.
package main

import (
	"context"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/commander"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/runner"
)

func main() {
	commander.Main(commander.Daemon("boragehead-gate", "an entry instance: takes requests from callers",
		func(ctx context.Context, settings loader.Gate) error {
			credentials, err := certifier.LoadCredentials(settings.TLS.Authority, settings.TLS.Certificate, settings.TLS.Key)
			if err != nil {
				return err
			}
			return runner.NewGate(settings, credentials).Run(ctx, credentials)
		}))
}
