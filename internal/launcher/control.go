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
)

// Controls is what a control instance does for operators, backend servers and
// callers.
type Controls interface {
	Define(ctx context.Context, document []byte) error
	Definition(ctx context.Context) ([]byte, error)
	Close(ctx context.Context, failureDomain string, closed bool) error
	Announce(ctx context.Context, said registrar.Server) error
	Leave(ctx context.Context, name string, born int64) error
	Resolve(failureDomain, region string) []netip.AddrPort
}

// ControlDialect is what a control instance speaks to the outside.
type ControlDialect interface {
	// Decode reads a definition.
	Decode(document []byte) (definer.Definition, error)
	// OperatorHandler serves operators and backend servers.
	OperatorHandler(controls Controls) http.Handler
	// DirectoryHandler tells callers where to connect.
	DirectoryHandler(controls Controls) http.Handler
}

// controlStop bounds the graceful shutdown of a control instance.
const controlStop = 2 * time.Second

// RunControl serves a control instance until a signal has stopped it. Path is
// the settings file, to be read again when it changes.
func RunControl(ctx context.Context, path string, settings loader.Control, dialect ControlDialect) error {
	client := messenger.NewPlainClient(certifier.Identity{Name: settings.Name, Role: certifier.RoleKeeper})
	defer client.Close()
	actors := &conductor.Actors{}
	prepare(actors, settings.Fleet)
	c, err := controller.New(settings, dialect.Decode, client)
	if err != nil {
		return trace.Wrap(err)
	}
	port, err := beaconer.Listen(settings.PeerAddress)
	if err != nil {
		return trace.Wrap(err, "peer-address")
	}
	mux := &messenger.Mux{}
	c.Register(mux)
	for _, duty := range c.Duties() {
		actors.Add(duty.Name, duty.Run)
	}
	actors.Add("beacon-port", func(ctx context.Context) error { return port.Run(ctx, c.Hear) })
	actors.Add("reloader", reloader[loader.Control]{path: path, apply: func(next loader.Control) {
		c.Reseed(next.SeedPeers())
	}}.run)
	var open ports
	if peers := open.open("peer-address", settings.PeerAddress); open.err == nil {
		actors.Add("peers", messenger.NewPlainServer(peers, mux).Run)
	}
	open.serve(actors, "metrics", settings.MetricsAddress(), measurer.New())
	operators := open.serve(actors, "operator-address", settings.OperatorAddress, dialect.OperatorHandler(c))
	directory := open.serve(actors, "directory-address", settings.DirectoryAddress, dialect.DirectoryHandler(c))
	if open.err != nil {
		return open.err
	}
	klog.InfoS("control instance started", "name", settings.Name, "region", settings.Region,
		"operators", settings.OperatorAddress.String(), "bootstrap", settings.Bootstrap)
	return actors.Run(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlStop)
		defer cancel()
		klog.InfoS("stopping")
		c.HandOver(ctx)
		_ = operators.Close(ctx, 0) // what is still open is cut at the limit
		_ = directory.Close(ctx, 0)
	})
}
