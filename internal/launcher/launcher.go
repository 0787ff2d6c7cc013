// Package launcher assembles the processes of a self-managed fleet: entry
// instances and control instances. It opens the ports, runs each background task
// in its own goroutine, and shuts them down in order. The protocols of callers,
// backend servers and operators are implemented elsewhere and passed in as
// dialects.
package launcher

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/logger"
)

const (
	// headerTimeout limits how long a client may take to send a request header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open. It is longer than
	// callers keep connections for reuse.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes limits the size of a request header.
	maxHeaderBytes = 64 << 10
	// reloadInterval is how often the settings file is checked for changes, because
	// it may change without a signal.
	reloadInterval = 2 * time.Second
	// softMemoryLimitShare is the part of the process's memory limit that is set as
	// the soft limit of the Go runtime, near which the garbage collector runs more
	// often.
	softMemoryLimitShare = 0.7
)

// newServer returns an HTTP server with the limits that all ports have.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// initProcess catches signals, starts logging to standard output and sets the soft memory limit of
// the Go runtime, if the settings have a memory limit.
func initProcess(actors *conductor.Actors, fleet loader.Fleet) {
	actors.CatchSignals()
	lines := logger.Start(os.Stdout)
	actors.AddLast(lines.Run)
	if fleet.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(fleet.MemoryMB<<20) * softMemoryLimitShare))
	}
}

// Shares of the process's descriptors that the connections of a port may have. A request of a
// caller or of another entry instance takes a second descriptor, to its server. What the
// shares of a process leave, 128 of 4,096 or more, is for its files and the other connections
// that it opens itself. 300 peers that reconnect while their old connections still stand, and 3,000 servers
// that announce themselves, fit into those of a control instance with 4,096.
var (
	shareCallers   = portShare{part: 11. / 32, public: true}
	shareRelays    = portShare{part: 4. / 32}
	shareReady     = portShare{part: 1. / 64}
	shareMetrics   = portShare{part: 1. / 64}
	shareOperators = portShare{part: 24. / 32}
	sharePeers     = portShare{part: 5. / 32}
	shareDirectory = portShare{part: 1. / 32, public: true}
)

// portShare is a part of the process's descriptors. A public port is for callers.
type portShare struct {
	part   float64
	public bool
}

// portOpener opens ports and keeps the first error. After an error its methods do
// nothing and return nil. Errors begin with the name of the port's setting.
type portOpener struct {
	resources *conductor.Resources
	err       error
}

// listen opens a listener on an address.
func (p *portOpener) listen(name string, address netip.AddrPort, share portShare) *conductor.Listener {
	if p.err != nil {
		return nil
	}
	listener, err := conductor.Listen(address.String())
	if err != nil {
		p.err = trace.Wrap(err, name)
		return nil
	}
	listener.Limits = p.resources.Port(name, share.part)
	return listener
}

// serve opens a port for an HTTP handler and adds its server to the actors.
func (p *portOpener) serve(actors *conductor.Actors, name string, address netip.AddrPort, share portShare, handler http.Handler) *conductor.DrainableServer {
	if p.err != nil {
		return nil
	}
	port, err := conductor.NewPort(newServer(handler), address.String())
	if err != nil {
		p.err = trace.Wrap(err, name)
		return nil
	}
	port.Listener.Limits = p.resources.Port(name, share.part)
	if share.public {
		port.Listener.Limits.Public()
	}
	actors.Serve(name, port.Server, port.Listener)
	return port
}

// settingsReloader reloads the settings file on SIGHUP and when it has changed,
// and passes the settings to apply. If the file cannot be read or is invalid,
// apply is not called.
type settingsReloader[T any] struct {
	path    string
	apply   func(settings T)
	hangups <-chan os.Signal
}

// run watches for SIGHUP and for changes of the file until ctx ends.
func (r settingsReloader[T]) run(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastVersion := r.fileVersion()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.hangups:
			r.reload("signal")
		case <-ticker.C:
			if version := r.fileVersion(); version != lastVersion {
				lastVersion = version
				r.reload("file changed")
			}
		}
	}
}

// fileVersion returns a string that changes when the file is modified, or "" if
// the file cannot be read.
func (r settingsReloader[T]) fileVersion() string {
	info, err := os.Stat(r.path)
	if err != nil {
		return "" // the current settings remain
	}
	return info.ModTime().String() + info.Name()
}

// reload loads the settings file and applies it. The cause is logged.
func (r settingsReloader[T]) reload(cause string) {
	settings, err := loader.Load[T](r.path)
	if err != nil {
		klog.ErrorS(err, "settings not reloaded: those in force stay", "cause", cause)
		return
	}
	klog.InfoS("settings reloaded", "cause", cause)
	r.apply(settings)
}
