package conductor

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// signalWait is longer than a signal takes to arrive.
const signalWait = 200 * time.Millisecond

func sendSignal(t *testing.T, sig syscall.Signal) {
	assert.NilError(t, syscall.Kill(os.Getpid(), sig))
}

// runUntilStopped runs a group whose shutdown gets signals and lasts for signalWait. It
// returns the cause with which the context of the shutdown ended.
func runUntilStopped(t *testing.T, actors *Actors, signals ...syscall.Signal) (cause error) {
	actors.Add("task", func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	assert.NilError(t, actors.Run(t.Context(), func(ctx context.Context) {
		for _, sig := range signals {
			sendSignal(t, sig)
		}
		Sleep(ctx, signalWait)
		cause = context.Cause(ctx)
	}))
	return cause
}

func TestRepeatedSIGTERMDoesNotEndShutdown(t *testing.T) {
	actors := &Actors{}
	actors.CatchSignals()
	sendSignal(t, syscall.SIGTERM)
	assert.NilError(t, runUntilStopped(t, actors, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM))
	sendSignal(t, syscall.SIGTERM) // the process is about to exit, and not by this signal
	time.Sleep(signalWait)
}

func TestSecondInterruptEndsShutdown(t *testing.T) {
	actors := &Actors{}
	actors.CatchSignals()
	sendSignal(t, syscall.SIGINT)
	assert.Assert(t, errors.Is(runUntilStopped(t, actors, syscall.SIGINT), ErrInterrupted))
}

func TestHangupBeforeRunIsKept(t *testing.T) {
	actors := &Actors{}
	actors.CatchSignals()
	sendSignal(t, syscall.SIGHUP)
	select {
	case <-actors.Hangups():
	case <-time.After(signalWait):
		t.Fatal("the signal is lost")
	}
	actors.signals.release()
}

// TestLastTaskOutlastsOthers has a task end late: what it logs must still be written.
func TestLastTaskOutlastsOthers(t *testing.T) {
	actors := &Actors{}
	otherEnded, endedBeforeLast := make(chan struct{}), false
	actors.AddLast(func(ctx context.Context) error {
		<-ctx.Done()
		select {
		case <-otherEnded:
			endedBeforeLast = true
		default:
		}
		return nil
	})
	actors.Add("late", func(ctx context.Context) error {
		defer close(otherEnded)
		<-ctx.Done()
		time.Sleep(signalWait)
		return nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, actors.Run(ctx, func(context.Context) {}))
	assert.Assert(t, endedBeforeLast)
}

// TestStopAskedIsNotAfterSignal has a signal come while a process starts, and has one that
// gets no processor notice it together with the time that has passed.
func TestStopAskedIsNotAfterSignal(t *testing.T) {
	actors := &Actors{}
	actors.CatchSignals()
	sent := time.Now()
	sendSignal(t, syscall.SIGTERM)
	time.Sleep(signalWait)
	assert.NilError(t, runUntilStopped(t, actors))
	assert.Assert(t, !actors.StopAsked().After(sent))
	for _, c := range []struct {
		name      string
		notes     []time.Duration
		notBefore time.Duration
	}{
		{"prompt", []time.Duration{100, 200, 300}, 200},
		{"late", []time.Duration{100, 200, 1200}, 200},
		{"a while after that", []time.Duration{100, 200, 1200, 1300, 1400}, 200},
		{"late twice", []time.Duration{100, 200, 1200, 1450}, 200},
		{"long after that", []time.Duration{100, 200, 1200, 1300, 1400, 1500, 1600}, 1500},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(0, 0)
			awake := awakeTimes{notBefore: start, last: start}
			for _, at := range c.notes {
				awake.note(start.Add(at * time.Millisecond))
			}
			assert.Equal(t, awake.notBefore, start.Add(c.notBefore*time.Millisecond))
		})
	}
}
