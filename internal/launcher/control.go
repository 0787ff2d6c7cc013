package launcher

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/measurer"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/replicator"
)

// ControlOperations are the operations of a control instance that operators,
// backend servers and callers use through a ControlDialect.
type ControlOperations interface {
	// Define makes a document the current definition, unless the current version
	// is the same or higher.
	Define(ctx context.Context, document []byte) error
	// Definition returns the current document, or nil before the first definition.
	Definition(ctx context.Context) ([]byte, error)
	// PrepareOrder returns the revision that an order to close a failure domain, or to
	// open it, must bear. The error wraps controller.ErrOrderOutdated if the order may be
	// old; it must be sent again then.
	PrepareOrder(ctx context.Context, failureDomain string, closed bool) (replicator.Index, error)
	// SetFailureDomainClosed closes a failure domain, so that its servers get no
	// requests, or opens it again if closed is false. The error wraps
	// controller.ErrOrderOutdated unless the last order for the domain has the revision.
	SetFailureDomainClosed(ctx context.Context, failureDomain string, closed bool, after replicator.Index) error
	// Announce records the announcement of a backend server.
	Announce(ctx context.Context, announcement registrar.Server) error
	// Leave records that a backend server has ended. startedAtMillis identifies
	// the start of the server; 0 stands for the latest known one.
	Leave(ctx context.Context, name string, startedAtMillis int64) error
	// RefuseServer records that an announcement or a departure under a name was refused,
	// and why. Both texts are short.
	RefuseServer(name string, cause error)
	// Resolve returns the addresses of the entry instances that a caller in a
	// failure domain and region should connect to.
	Resolve(failureDomain, region string) []netip.AddrPort
}

// ControlDialect implements the external protocols of a control instance.
type ControlDialect interface {
	// Decode parses a definition. Its errors wrap definer.ErrInvalid.
	Decode(document []byte) (definer.Definition, error)
	// OperatorHandler returns the handler for operators and backend servers.
	OperatorHandler(operations ControlOperations) http.Handler
	// DirectoryHandler returns the handler that lists entry instances for callers.
	DirectoryHandler(operations ControlOperations) http.Handler
}

// controlStopLimit limits the graceful shutdown of a control instance.
const controlStopLimit = 2 * time.Second

// RunControl runs a control instance until a signal has stopped it gracefully.
// The path is that of the settings file. When the file changes, its seed peers
// are applied; other changes need a restart.
func RunControl(ctx context.Context, path string, settings loader.Control, dialect ControlDialect) error {
	actors := &conductor.Actors{}
	initProcess(actors, settings.Fleet)
	client := messenger.NewPlainClient(certifier.Identity{Name: settings.Name, Role: certifier.RoleKeeper})
	defer client.Close()
	c, err := controller.New(settings, dialect.Decode, client)
	if err != nil {
		return trace.Wrap(err)
	}
	counters := measurer.New()
	c.UseMetrics(counters)
	port, err := beaconer.Listen(settings.PeerAddress)
	if err != nil {
		return trace.Wrap(err, "peer-address")
	}
	mux := &messenger.Mux{}
	c.Register(mux)
	for _, task := range c.Tasks() {
		actors.Add(task.Name, task.Run)
	}
	actors.Add("beacon-port", func(ctx context.Context) error { return port.Run(ctx, c.HandleBeacon) })
	actors.Add("reloader", settingsReloader[loader.Control]{path: path, hangups: actors.Hangups(), apply: func(next loader.Control) {
		c.SetSeeds(next.SeedPeers())
	}}.run)
	resources := conductor.NewResources(settings.MemoryMB, settings.MaxFiles, counters)
	opener := portOpener{resources: resources}
	if peers := opener.listen("peer-address", settings.PeerAddress, sharePeers); opener.err == nil {
		actors.Add("peers", messenger.NewPlainServer(peers, mux).Run)
	}
	opener.serve(actors, "metrics", settings.MetricsAddress(), shareMetrics, counters)
	operators := opener.serve(actors, "operator-address", settings.OperatorAddress, shareOperators, resources.LimitBodies(dialect.OperatorHandler(c)))
	directory := opener.serve(actors, "directory-address", settings.DirectoryAddress, shareDirectory, dialect.DirectoryHandler(c))
	if opener.err != nil {
		return opener.err
	}
	klog.InfoS("control instance started", "name", settings.Name, "region", settings.Region,
		"operators", settings.OperatorAddress.String(), "bootstrap", settings.Bootstrap)
	return actors.Run(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlStopLimit)
		defer cancel()
		began := time.Now()
		klog.InfoS("stopping")
		c.TransferLeadership(ctx)
		cut := closeAll(ctx, operators, directory)
		klog.InfoS("stopped", "reason", stopReason(ctx), "cut", cut, "took", time.Since(began))
	})
}
