package launcher

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/follower"
	"github.com/boragehead/boragehead/internal/forwarder"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/measurer"
	"github.com/boragehead/boragehead/internal/messenger"
)

// EntryDialect implements the external protocols of an entry instance.
type EntryDialect interface {
	forwarder.Dialect
	// Decode parses a definition. Its errors wrap definer.ErrInvalid.
	Decode(document []byte) (definer.Definition, error)
	// ReadyHandler returns the handler that reports whether the instance accepts
	// requests from callers.
	ReadyHandler(ready func() bool) http.Handler
}

// Entry is a running entry instance.
type Entry struct {
	settings   loader.Entry
	follower   *follower.Follower
	forwarder  *forwarder.Forwarder
	counters   *measurer.Measurer
	callerPort *conductor.DrainableServer
	relayPort  *conductor.DrainableServer
}

// RunEntry runs an entry instance until a signal has stopped it gracefully. The
// path is that of the settings file. When the file changes, its seed peers are
// applied; other changes need a restart.
func RunEntry(ctx context.Context, path string, settings loader.Entry, dialect EntryDialect) error {
	actors := &conductor.Actors{}
	initProcess(actors, settings.Fleet)
	port, err := beaconer.Listen(settings.PeerAddress)
	if err != nil {
		return trace.Wrap(err, "peer-address")
	}
	client := messenger.NewPlainClient(certifier.Identity{Name: settings.Name, Role: certifier.RoleGate})
	defer client.Close()
	counters := measurer.New()
	resources := conductor.NewResources(settings.MemoryMB, settings.MaxFiles, counters)
	e := &Entry{settings: settings, counters: counters}
	e.follower = follower.New(settings, controller.Decoder(dialect.Decode), client, port)
	e.forwarder = forwarder.New(dialect, e.follower, counters, forwarder.RetryLimit{
		Share: settings.RetryShare, Slack: settings.RetrySlack, Window: settings.RetryWindow,
	})

	e.forwarder.UseRequestMemory(resources.Memory)
	e.forwarder.UseQuarantine(e.follower)
	e.forwarder.UseOrigins(e.follower)
	e.forwarder.UseReach(e.follower)
	actors.Add("follower", e.follower.Run)
	actors.Add("evidence", e.follower.ReportEvidence)
	actors.Add("origins", e.follower.ReportOrigins)
	actors.Add("probes", e.follower.ProbeServers)
	actors.Add("beacons", e.follower.SendBeacons)
	actors.Add("beacon-port", e.follower.ReceiveBeacons)
	actors.Add("reloader", settingsReloader[loader.Entry]{path: path, hangups: actors.Hangups(), apply: func(next loader.Entry) {
		e.follower.AddControlInstances(next.SeedPeers())
	}}.run)
	opener := portOpener{resources: resources}
	opener.serve(actors, "metrics", settings.MetricsAddress(), shareMetrics, counters)
	opener.serve(actors, "ready", settings.ReadyAddress, shareReady, dialect.ReadyHandler(e.follower.Ready))
	e.relayPort = opener.serve(actors, "relays", settings.RelayAddress(), shareRelays, e.forwarder.RelayHandler())
	e.callerPort = opener.serve(actors, "callers", settings.CallerAddress, shareCallers, e.forwarder)
	if opener.err != nil {
		return opener.err
	}
	klog.InfoS("entry instance started", "name", settings.Name, "region", settings.Region, "callers", settings.CallerAddress.String())
	return actors.Run(ctx, func(ctx context.Context) { e.stop(ctx, actors.StopAsked()) })
}
