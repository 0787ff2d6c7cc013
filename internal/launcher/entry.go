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

// Times of a graceful shutdown, from its signal on.
const (
	defaultStopLimit = 8 * time.Second
	// stopTurnAway is from when on new requests are taken only if they end well
	// before this instance does.
	stopTurnAway = 3 * time.Second
	// stopLinger outlasts the directories that callers hold.
	stopLinger = 4500 * time.Millisecond
	// stopReserve is kept for closing connections before the limit.
	stopReserve = 500 * time.Millisecond
	stopPoll    = 50 * time.Millisecond
	// stopQuiet is for how long callers have left their open connections unused
	// before these are closed.
	stopQuiet = time.Second
)

// EntryDialect is what an entry instance speaks to the outside.
type EntryDialect interface {
	forwarder.Dialect
	// Decode reads a definition.
	Decode(document []byte) (definer.Definition, error)
	// ReadyHandler answers whether the instance takes callers.
	ReadyHandler(ready func() bool) http.Handler
}

// Entry is an entry instance.
type Entry struct {
	settings  loader.Entry
	follower  *follower.Follower
	forwarder *forwarder.Forwarder
	callers   *conductor.Port
}

// RunEntry serves an entry instance until a signal has stopped it. Path is the
// settings file, to be read again when it changes.
func RunEntry(ctx context.Context, path string, settings loader.Entry, dialect EntryDialect) error {
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

	actors := &conductor.Actors{}
	prepare(actors, settings.Fleet)
	actors.Add("follower", e.follower.Run)
	actors.Add("beacons", e.follower.RunBeacons)
	actors.Add("beacon-port", e.follower.RunPort)
	actors.Add("reloader", reloader[loader.Entry]{path: path, apply: func(next loader.Entry) {
		e.follower.Reseed(next.SeedPeers())
	}}.run)
	var open ports
	open.serve(actors, "metrics", settings.MetricsAddress(), counters)
	open.serve(actors, "ready", settings.ReadyAddress, dialect.ReadyHandler(e.follower.Ready))
	open.serve(actors, "relays", settings.RelayAddress(), e.forwarder.Relays())
	e.callers = open.serve(actors, "callers", settings.CallerAddress, e.forwarder)
	if open.err != nil {
		return open.err
	}
	klog.InfoS("entry instance started", "name", settings.Name, "region", settings.Region, "callers", settings.CallerAddress.String())
	return actors.Run(ctx, e.stop)
}

// stop is the graceful shutdown: leave the directory, serve on while callers
// still come, turn new requests away that could not be finished, and end when
// the last one has.
func (e *Entry) stop(ctx context.Context) {
	began := time.Now()
	limit := cmp.Or(e.settings.StopLimit, defaultStopLimit) - stopReserve
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	klog.InfoS("stopping", "active", e.forwarder.Active())
	e.follower.Stop()
	e.forwarder.CloseConnections()
	conductor.Pause(ctx, stopTurnAway)
	if deadline, bounded := ctx.Deadline(); bounded {
		e.forwarder.StopAt(deadline)
	}
	for ctx.Err() == nil && (e.forwarder.Active() > 0 || time.Since(began) < stopLinger || !e.callers.Quiet(began, stopQuiet)) {
		conductor.Pause(ctx, stopPoll)
	}
	klog.InfoS("stopped", "active", e.forwarder.Active(), "took", time.Since(began))
	e.callers.Listener.Drain(ctx)
	last, cancelLast := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancelLast()
	_ = e.callers.Close(last, 0) // what is still open is cut at the limit
}
