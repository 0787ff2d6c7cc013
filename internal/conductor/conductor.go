// Package conductor runs the duties of a process, each in a goroutine of its
// own, and ends them together.
package conductor

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"k8s.io/klog/v2"
)

// Actors are the duties of a process. When one ends, all are ended. The zero
// value has none.
type Actors struct {
	group run.Group
}

// Add adds a duty that ends with its context.
func (a *Actors) Add(name string, duty func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	a.group.Add(func() error {
		err := duty(ctx)
		if err != nil {
			klog.ErrorS(err, "duty ended", "duty", name)
		}
		return trace.Wrap(err, "%s", name)
	}, func(error) { cancel() })
}

// Serve adds an HTTP server on a listener.
func (a *Actors) Serve(name string, server *http.Server, listener net.Listener) {
	opened := make(chan net.Listener, 1)
	opened <- listener
	a.ServeLater(name, server, opened)
}

// ServeLater adds an HTTP server on a listener that is opened later.
func (a *Actors) ServeLater(name string, server *http.Server, opened <-chan net.Listener) {
	closed := make(chan struct{})
	a.group.Add(func() error {
		select {
		case listener := <-opened:
			err := server.Serve(listener)
			if !errors.Is(err, http.ErrServerClosed) {
				return trace.Wrap(err, "%s", name)
			}
			// Shutdown waits for requests; the process ends after it.
		case <-closed:
		}
		<-closed
		return nil
	}, func(error) {
		close(closed)
		_ = server.Close()
	})
}

// ServeTLS adds an HTTPS server on a listener, with the server's own TLS
// configuration.
func (a *Actors) ServeTLS(name string, server *http.Server, listener net.Listener) {
	a.Serve(name, server, tls.NewListener(listener, server.TLSConfig))
}

// Run runs the duties until a signal or the context asks for a stop, and the
// stop is done. A second signal ends the process at once.
func (a *Actors) Run(ctx context.Context, stop func(ctx context.Context)) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	ended := make(chan struct{})
	a.group.Add(func() error {
		<-ctx.Done()
		cancel()
		again, cancelAgain := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer cancelAgain()
		select {
		case <-ended:
			return nil
		default:
		}
		stop(again)
		return nil
	}, func(error) {
		close(ended)
		cancel()
	})
	return a.group.Run()
}

// Every repeats a piece of work until the context ends.
func Every(ctx context.Context, interval time.Duration, work func(ctx context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			work(ctx)
		}
	}
}

// Pause waits for a time, or until the context ends.
func Pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
