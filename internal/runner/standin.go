package runner

import (
	"cmp"
	"context"
	"net"
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
	// standinStopLimit bounds the graceful shutdown of a stand-in.
	standinStopLimit = 30 * time.Second
)

// RunStandin serves a stand-in backend server until a signal has stopped it.
func RunStandin(ctx context.Context, settings loader.Standin) error {
	listener, err := net.Listen("tcp", settings.Address.String())
	if err != nil {
		return trace.Wrap(err, "address")
	}
	server := &imitator.Server{Name: settings.Name, TokenInterval: cmp.Or(settings.TokenInterval, defaultTokenInterval)}
	announcer := &imitator.Announcer{
		Server: server, Address: settings.Address, Instances: settings.Announce, Pools: settings.Pools,
		Models: settings.Models, MaxRunning: cmp.Or(settings.MaxRunning, defaultMaxRunning), ChecksFencing: settings.ChecksFencing,
	}
	announcing, leave := context.WithCancel(ctx)
	defer leave()
	service := &http.Server{Handler: server, ReadHeaderTimeout: backendHeaderTimeout}
	actors := &conductor.Actors{}
	actors.Add("announcer", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, leave)
		defer stop()
		if err := announcer.Run(announcing); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	actors.Serve("service", service, listener)
	klog.InfoS("stand-in serves", "name", settings.Name, "address", settings.Address.String())
	return actors.Run(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, standinStopLimit)
		defer cancel()
		leave()
		announcer.Tell(ctx, "leaving")
		conductor.Pause(ctx, time.Second)
		_ = service.Shutdown(ctx)
	})
}
