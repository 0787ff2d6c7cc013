package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/journaler"
	"github.com/boragehead/boragehead/internal/keeper"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/operator"
)

// keeperStopLimit limits the graceful shutdown of a keeper.
const keeperStopLimit = 10 * time.Second

// ServeKeeper loads the credentials that the settings name and runs a control
// instance until a signal has stopped it gracefully.
func ServeKeeper(ctx context.Context, settings loader.KeeperProcess) error {
	credentials, err := loadCredentials(settings.TLS)
	if err != nil {
		return err
	}
	return RunKeeper(ctx, settings, credentials)
}

// RunKeeper is like ServeKeeper but uses the given credentials. The options
// apply to the keeper's calls to other processes.
func RunKeeper(ctx context.Context, settings loader.KeeperProcess, credentials certifier.Credentials, options ...messenger.Option) error {
	actors := &conductor.Actors{}
	actors.CatchSignals()
	disk, err := journaler.OpenFolder(settings.DataFolder)
	if err != nil {
		return trace.Wrap(err, "data-folder")
	}
	client := messenger.NewClient(credentials, options...)
	defer client.Close()
	k, err := keeper.New(settings, disk, client)
	if err != nil {
		return trace.Wrap(err, "data-folder")
	}
	resources := conductor.NewResources(settings.MemoryMB, settings.MaxFiles, nil)
	peers, err := listenPeers(settings.PeerAddress, resources, shareKeeperPeers)
	if err != nil {
		return err
	}
	mux := &messenger.Mux{}
	k.Register(mux)
	api := &http.Server{
		Handler:           resources.LimitBodies(operator.NewHandler(k)),
		TLSConfig:         credentials.ServerConfig("http/1.1"),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	operators, err := conductor.NewPort(api, settings.OperatorAddress.String())
	if err != nil {
		return trace.Wrap(err, "operator-address")
	}
	operators.Listener.Limits = resources.Port("operators", shareOperators).Secure()
	for _, task := range k.Tasks() {
		actors.Add(task.Name, task.Run)
	}
	actors.Add("peers", messenger.NewServer(peers, credentials, mux).Run)
	actors.ServeTLS("operators", api, operators.Listener)
	klog.InfoS("keeper ready", "name", settings.Name, "operators", settings.OperatorAddress.String())
	return actors.Run(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, keeperStopLimit)
		defer cancel()
		k.TransferLeadership(ctx)
		if err := operators.Close(ctx, 0); err != nil {
			klog.ErrorS(err, "calls cut at the stop limit")
		}
	})
}
