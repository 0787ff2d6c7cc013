package runner

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"k8s.io/klog/v2"
)

// actors are the duties of a process, each in a goroutine of its own. When
// one ends, all are ended.
type actors struct {
	group run.Group
}

func newActors() *actors {
	return &actors{}
}

// add adds a duty that ends with its context.
func (a *actors) add(name string, duty func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	a.group.Add(func() error {
		err := duty(ctx)
		if err != nil {
			klog.ErrorS(err, "duty ended", "duty", name)
		}
		return trace.Wrap(err, "%s", name)
	}, func(error) { cancel() })
}

// serve adds an HTTP server on a listener.
func (a *actors) serve(name string, server *http.Server, listener net.Listener) {
	opened := make(chan net.Listener, 1)
	opened <- listener
	a.serveLater(name, server, opened)
}

// serveLater adds an HTTP server on a listener that is opened later.
func (a *actors) serveLater(name string, server *http.Server, opened <-chan net.Listener) {
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

// serveTLS adds an HTTPS server on a listener, with the server's own TLS
// configuration.
func (a *actors) serveTLS(name string, server *http.Server, listener net.Listener) {
	a.serve(name, server, tls.NewListener(listener, server.TLSConfig))
}

// run runs the duties until a signal or the context asks for a stop, and the
// stop is done. A second signal ends the process at once.
func (a *actors) run(ctx context.Context, stop func(ctx context.Context)) error {
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

// stopping asks callers to close their connections once a stop has begun.
type stopping struct {
	begun atomic.Bool
}

func (s *stopping) begin() {
	s.begun.Store(true)
}

func (s *stopping) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.begun.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
