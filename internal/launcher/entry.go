package launcher

import (
	"cmp"
	"context"
	"net/http"
	"time"

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

// Durations of a graceful shutdown. Those of its phases count from its start.
const (
	// defaultStopLimit limits the whole shutdown.
	defaultStopLimit = 8 * time.Second
	// stopRejectAfter is when the instance begins to reject requests that are not
	// expected to end well before it stops.
	stopRejectAfter = 3 * time.Second
	// stopLinger is how long the instance accepts connections at least. It is
	// longer than callers may cache a directory that still lists the instance.
	stopLinger = 4500 * time.Millisecond
	// stopReserve is the time before the limit that is kept for closing
	// connections.
	stopReserve      = 500 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// stopIdleTime is how long a connection must have been idle before it is
	// closed.
	stopIdleTime = time.Second
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
	callerPort *conductor.DrainableServer
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
	e := &Entry{settings: settings}
	e.follower = follower.New(settings, controller.Decoder(dialect.Decode), client, port)
	e.forwarder = forwarder.New(dialect, e.follower, counters, forwarder.RetryLimit{
		Share: settings.RetryShare, Slack: settings.RetrySlack, Window: settings.RetryWindow,
	})

	e.forwarder.UseQuarantine(e.follower)
	e.forwarder.UseOrigins(e.follower)
	actors.Add("follower", e.follower.Run)
	actors.Add("evidence", e.follower.ReportEvidence)
	actors.Add("origins", e.follower.ReportOrigins)
	actors.Add("beacons", e.follower.SendBeacons)
	actors.Add("beacon-port", e.follower.ReceiveBeacons)
	actors.Add("reloader", settingsReloader[loader.Entry]{path: path, hangups: actors.Hangups(), apply: func(next loader.Entry) {
		e.follower.AddControlInstances(next.SeedPeers())
	}}.run)
	var opener portOpener
	opener.serve(actors, "metrics", settings.MetricsAddress(), counters)
	opener.serve(actors, "ready", settings.ReadyAddress, dialect.ReadyHandler(e.follower.Ready))
	opener.serve(actors, "relays", settings.RelayAddress(), e.forwarder.RelayHandler())
	e.callerPort = opener.serve(actors, "callers", settings.CallerAddress, e.forwarder)
	if opener.err != nil {
		return opener.err
	}
	klog.InfoS("entry instance started", "name", settings.Name, "region", settings.Region, "callers", settings.CallerAddress.String())
	return actors.Run(ctx, e.stop)
}

// stop shuts the instance down gracefully: it leaves the directory, goes on
// serving while callers still use it, rejects new requests that could not end
// in time, and closes the callers' port when the last request has ended or the
// stop limit is reached.
func (e *Entry) stop(ctx context.Context) {
	began := time.Now()
	limit := cmp.Or(e.settings.StopLimit, defaultStopLimit) - stopReserve
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	klog.InfoS("stopping", "active", e.forwarder.ActiveRequests())
	e.follower.Stop()
	e.forwarder.CloseConnections()
	conductor.Sleep(ctx, stopRejectAfter)
	if deadline, bounded := ctx.Deadline(); bounded {
		e.forwarder.RefuseEndingAfter(deadline)
	}
	for ctx.Err() == nil && (e.forwarder.ActiveRequests() > 0 || time.Since(began) < stopLinger || !e.callerPort.AllIdle(began, stopIdleTime)) {
		conductor.Sleep(ctx, stopPollInterval)
	}
	klog.InfoS("stopped", "active", e.forwarder.ActiveRequests(), "took", time.Since(began))
	closePort(ctx, e.callerPort)
}

// closePort closes a port whose clients should have left it. Some may still come
// while it closes: their requests have until the end of the context, and
// stopReserve/2 at least.
func closePort(ctx context.Context, port *conductor.DrainableServer) {
	if err := port.Close(ctx, 0); err == nil {
		return
	}
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopReserve/2)
	defer cancel()
	if err := port.Close(closeCtx, 0); err != nil {
		klog.ErrorS(err, "requests cut at the stop limit")
	}
}
