package conductor

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// ErrInterrupted is the cause with which the context of a graceful shutdown ends if
// an operator interrupts it.
var ErrInterrupted = errors.New("interrupted again")

// signalBacklog is how many signals of a kind can wait. Further ones repeat these.
const signalBacklog = 4

// signals receives the signals of a process. The zero value receives none.
type signals struct {
	stops   chan os.Signal
	hangups chan os.Signal
	// stopping means that a signal has begun a shutdown.
	stopping bool
	awake    awakeTimes
}

const (
	// awakeInterval is how often a process notes that it runs.
	awakeInterval = 100 * time.Millisecond
	// settleTime is how long after a time without a processor a signal may arrive that
	// came in it.
	settleTime = 300 * time.Millisecond
)

// awakeTimes tell since when a process that notes every awakeInterval that it runs would
// have noticed a signal.
type awakeTimes struct {
	// notBefore is a time after which a signal must have been sent that arrives now.
	notBefore, last, wokeAt time.Time
}

func (a *awakeTimes) note(now time.Time) {
	switch {
	case now.Sub(a.last) > 2*awakeInterval:
		if now.Sub(a.wokeAt) > settleTime {
			a.notBefore = a.last
		}
		a.wokeAt = now
	case now.Sub(a.wokeAt) > settleTime:
		a.notBefore = a.last
	}
	a.last = now
}

// CatchSignals makes SIGTERM, interrupts and SIGHUP that come before Run wait for it.
// Without it, they end the process.
func (a *Actors) CatchSignals() {
	a.signals.catch()
}

// Hangups returns the channel that receives SIGHUP from CatchSignals on.
func (a *Actors) Hangups() <-chan os.Signal {
	a.signals.catch()
	return a.signals.hangups
}

func (s *signals) catch() {
	if s.stops != nil {
		return
	}
	s.awake.notBefore = time.Now()
	s.awake.last = s.awake.notBefore
	s.stops, s.hangups = make(chan os.Signal, signalBacklog), make(chan os.Signal, signalBacklog)
	signal.Notify(s.stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.hangups, syscall.SIGHUP)
}

// release restores what signals do, unless one has begun a shutdown: the process is
// about to exit then, and a signal that follows must not end it with another status.
func (s *signals) release() {
	if s.stopping {
		return
	}
	signal.Stop(s.stops)
	signal.Stop(s.hangups)
}

// awaitStop waits for a signal to stop or for the end of the context. It returns
// false if interrupted is closed first.
func (s *signals) awaitStop(ctx context.Context, interrupted <-chan struct{}) bool {
	timer := time.NewTimer(awakeInterval)
	defer timer.Stop()
	for {
		select {
		case <-interrupted:
			return false
		case <-ctx.Done():
			s.awake.notBefore = time.Now()
			return true
		case <-timer.C:
			s.awake.note(time.Now())
			timer.Reset(awakeInterval)
		case received := <-s.stops:
			s.stopping = true
			klog.InfoS("signal received", "signal", received.String())
			return true
		}
	}
}

// watchStop logs the signals that come during a shutdown, until the context ends. An
// interrupt cancels it.
func (s *signals) watchStop(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-s.stops:
			klog.InfoS("signal received while stopping", "signal", received.String())
			if received == os.Interrupt {
				cancel(ErrInterrupted)
				return
			}
		}
	}
}
