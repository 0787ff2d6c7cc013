// Package launcher joins the packages into the processes of a fleet that
// manages itself: it opens the ports, gives each duty a goroutine, and stops
// them in order. What callers, servers and operators speak comes from outside.
package launcher

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/logger"
)

// Times of servers.
const (
	// headerTimeout bounds the time to send a header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection of a caller is kept. It is
	// above what callers reuse connections for.
	idleTimeout = 75 * time.Second
	// maxHeader bounds a header, in bytes.
	maxHeader = 64 << 10
	// reloadInterval is the time between two looks at the settings file: it may
	// change without a signal.
	reloadInterval = 2 * time.Second
	// memoryShare is the part of the memory limit at which the collector works
	// harder.
	memoryShare = 0.7
)

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
}

// prepare sets up what every process has: logs to standard output and a bound
// on memory.
func prepare(actors *conductor.Actors, fleet loader.Fleet) {
	lines := logger.Start(os.Stdout)
	actors.Add("logger", lines.Run)
	if fleet.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(fleet.MemoryMB<<20) * memoryShare))
	}
}

func listen(name string, address netip.AddrPort) (*conductor.Listener, error) {
	listener, err := conductor.Listen(address.String())
	return listener, trace.Wrap(err, name)
}

// ports opens listeners and remembers the first error.
type ports struct {
	err error
}

func (p *ports) open(name string, address netip.AddrPort) *conductor.Listener {
	if p.err != nil {
		return nil
	}
	listener, err := listen(name, address)
	p.err = err
	return listener
}

// serve adds an HTTP server on an address.
func (p *ports) serve(actors *conductor.Actors, name string, address netip.AddrPort, handler http.Handler) *conductor.Port {
	if p.err != nil {
		return nil
	}
	port, err := conductor.NewPort(newServer(handler), address.String())
	if err != nil {
		p.err = trace.Wrap(err, name)
		return nil
	}
	actors.Serve(name, port.Server, port.Listener)
	return port
}

// reloader reads the settings again on SIGHUP and when the file has changed.
type reloader[T any] struct {
	path  string
	apply func(settings T)
}

func (r reloader[T]) run(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last := r.stamp()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			r.load("signal")
		case <-ticker.C:
			if stamp := r.stamp(); stamp != last {
				last = stamp
				r.load("file changed")
			}
		}
	}
}

// stamp tells two contents of the file apart.
func (r reloader[T]) stamp() string {
	info, err := os.Stat(r.path)
	if err != nil {
		return "" // the settings in force stay
	}
	return info.ModTime().String() + info.Name()
}

func (r reloader[T]) load(cause string) {
	settings, err := loader.Load[T](r.path)
	if err != nil {
		klog.ErrorS(err, "settings not reloaded: those in force stay", "cause", cause)
		return
	}
	klog.InfoS("settings reloaded", "cause", cause)
	r.apply(settings)
}
