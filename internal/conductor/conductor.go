// Package conductor runs the long-lived tasks of a process, each in its own
// goroutine, and stops them together. It also provides HTTP listeners that can
// be closed without cutting off requests.
package conductor

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"k8s.io/klog/v2"
)

// Actors is a group of tasks that run together. When one returns, all others
// are stopped. The zero value is an empty group.
type Actors struct {
	group   run.Group
	signals signals
	last    []lastTask
}

// Add adds a task that runs until its context ends. The name is for logs and
// errors.
func (a *Actors) Add(name string, task func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var interruptedAt atomic.Pointer[time.Time]
	a.group.Add(func() error {
		err := task(ctx)
		interrupted := interruptedAt.Load()
		switch {
		case err != nil:
			klog.ErrorS(err, "task failed", "duty", name)
		case interrupted == nil:
			klog.InfoS("task ended, which stops all others", "duty", name)
		case time.Since(*interrupted) > lateTaskLimit:
			klog.InfoS("task ended late", "duty", name, "took", time.Since(*interrupted))
		}
		return trace.Wrap(err, "%s", name)
	}, func(error) {
		now := time.Now()
		interruptedAt.Store(&now)
		cancel()
	})
}

// lateTaskLimit is how long after its context a task may end without a line in the log.
const lateTaskLimit = 100 * time.Millisecond

// lastTask is a task whose context ends when all other tasks have returned.
type lastTask func(ctx context.Context) error

// lastTaskLimit bounds the wait for such tasks at the end of a process.
const lastTaskLimit = 200 * time.Millisecond

// AddLast adds a task that outlasts all others, such as the writer of the log. The
// group does not end if it returns, and waits for it only for lastTaskLimit.
func (a *Actors) AddLast(task func(ctx context.Context) error) {
	a.last = append(a.last, task)
}

// runLast starts the last tasks. The function that it returns stops them.
func (a *Actors) runLast() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, task := range a.last {
		running.Go(func() {
			if err := task(ctx); err != nil {
				klog.ErrorS(err, "last task failed")
			}
		})
	}
	return func() {
		cancel()
		done := make(chan struct{})
		go func() {
			running.Wait()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(lastTaskLimit):
		}
	}
}

// Serve adds an HTTP server that serves a listener. The server may be shut down
// before the group stops; the task then waits until the group does.
func (a *Actors) Serve(name string, server *http.Server, listener net.Listener) {
	listeners := make(chan net.Listener, 1)
	listeners <- listener
	a.ServeWhenOpened(name, server, listeners)
}

// ServeWhenOpened adds an HTTP server that waits to receive its listener from a
// channel.
func (a *Actors) ServeWhenOpened(name string, server *http.Server, listeners <-chan net.Listener) {
	interrupted := make(chan struct{})
	a.group.Add(func() error {
		select {
		case listener := <-listeners:
			err := server.Serve(listener)
			if !errors.Is(err, http.ErrServerClosed) {
				klog.ErrorS(err, "task failed", "duty", name)
				return trace.Wrap(err, "%s", name)
			}
			// Shutdown still waits for requests: returning now would end the process
			// before it is done.
		case <-interrupted:
		}
		<-interrupted
		return nil
	}, func(error) {
		close(interrupted)
		_ = server.Close()
	})
}

// ServeTLS adds an HTTPS server that serves a listener, with the server's own
// TLS configuration.
func (a *Actors) ServeTLS(name string, server *http.Server, listener net.Listener) {
	a.Serve(name, server, tls.NewListener(listener, server.TLSConfig))
}

// Run runs the tasks until one returns, or until the context ends or SIGTERM or
// an interrupt arrives. In the latter case it calls stop for a graceful
// shutdown, and stops the tasks when that returns. A second interrupt ends the
// context of stop, so that the process ends at once; SIGTERM does not, however
// often it comes.
func (a *Actors) Run(ctx context.Context, stop func(ctx context.Context)) error {
	a.signals.catch()
	defer a.signals.release()
	defer a.runLast()()
	interrupted := make(chan struct{})
	a.group.Add(func() error {
		if !a.signals.awaitStop(ctx, interrupted) {
			return nil
		}
		stopCtx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		go a.signals.watchStop(stopCtx, cancel)
		stop(stopCtx)
		return nil
	}, func(error) { close(interrupted) })
	return a.group.Run()
}

// StopAsked returns the earliest time at which the signal may have been sent that made Run
// call its stop function. Only that function may call it.
func (a *Actors) StopAsked() time.Time {
	return a.signals.awake.notBefore
}

// RunEvery calls work once per interval until the context ends. The first call
// comes after one interval. It always returns nil.
func RunEvery(ctx context.Context, interval time.Duration, work func(ctx context.Context)) error {
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

// Elapsed returns the time from since to now. It counts the time in which the machine
// was suspended, which the steady clock may not, and errs high after a step of the
// time of day.
func Elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// Sleep waits for a duration, or until the context ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
