package runner

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/imitator"
	"github.com/boragehead/boragehead/internal/loader"
)

const (
	defaultMaxRunning    = 8
	defaultTokenInterval = 2 * time.Millisecond
	// standinStopLimit limits the graceful shutdown of a stand-in.
	standinStopLimit = 30 * time.Second
)

// RunStandin runs a stand-in backend server, which announces itself to the entry
// instances in its settings, until a signal has stopped it gracefully.
func RunStandin(ctx context.Context, settings loader.Standin) error {
	actors := &conductor.Actors{}
	actors.CatchSignals()
	server := &imitator.Server{Name: settings.Name, TokenInterval: cmp.Or(settings.TokenInterval, defaultTokenInterval)}
	announcer := &imitator.Announcer{
		Server: server, Address: settings.Address, Instances: settings.Announce, Pools: settings.Pools,
		Models: settings.Models, MaxRunning: cmp.Or(settings.MaxRunning, defaultMaxRunning), ChecksFencing: settings.ChecksFencing,
	}
	announceCtx, stopAnnouncing := context.WithCancel(ctx)
	defer stopAnnouncing()
	service, err := conductor.NewPort(&http.Server{Handler: server, ReadHeaderTimeout: readHeaderTimeout}, settings.Address.String())
	if err != nil {
		return trace.Wrap(err, "address")
	}
	actors.Add("announcer", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, stopAnnouncing)
		defer stop()
		if err := announcer.Run(announceCtx); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	actors.Serve("service", service.Server, service.Listener)
	klog.InfoS("stand-in ready", "name", settings.Name, "address", settings.Address.String())
	return actors.Run(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, standinStopLimit)
		defer cancel()
		stopAnnouncing()
		announcer.Announce(ctx, "leaving")
		conductor.Sleep(ctx, time.Second)
		if err := service.Close(ctx, 0); err != nil {
			klog.ErrorS(err, "requests cut at the stop limit")
		}
	})
}
