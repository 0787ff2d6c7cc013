// Command boragehead-keeper is a control instance: it keeps tables, keys,
// grants and claims.
package main

import (
	"context"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/commander"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/runner"
)

func main() {
	commander.Main(commander.Daemon("boragehead-keeper", "a control instance: keeps tables, keys, grants and claims",
		func(ctx context.Context, settings loader.KeeperProcess) error {
			credentials, err := certifier.LoadCredentials(settings.TLS.Authority, settings.TLS.Certificate, settings.TLS.Key)
			if err != nil {
				return err
			}
			return runner.RunKeeper(ctx, settings, credentials)
		}))
}
