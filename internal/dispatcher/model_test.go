package dispatcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/picker"
	"github.com/boragehead/boragehead/internal/tracker"
)

var begin = time.Unix(9000, 0)

// bench drives a model by hand.
type bench struct {
	model   dispatcher.Model
	now     time.Time
	counter uint64
	id      uint64
}

func newBench() *bench {
	return &bench{now: begin}
}

func (b *bench) announce(name string, state tracker.State, maxRunning int) {
	b.counter++
	b.model.Update(b.now, dispatcher.Announce{Announcement: tracker.Announcement{
		Name: name, Pools: []string{"p"}, State: state, Counter: b.counter, MaxRunning: maxRunning,
	}})
}

// warm announces servers long enough ago that they are not ramped any more.
func (b *bench) warm(maxRunning int, names ...string) {
	for _, name := range names {
		b.announce(name, tracker.StateReady, maxRunning)
	}
	b.now = b.now.Add(time.Minute)
	for _, name := range names {
		b.announce(name, tracker.StateReady, maxRunning)
	}
}

func (b *bench) ask(deadline time.Duration) []dispatcher.Cmd {
	b.id++
	return b.model.Update(b.now, dispatcher.Enqueue{
		ID: b.id, Workspace: "w", Weight: 1, Pools: []string{"p"}, Deadline: b.now.Add(deadline), OutputTokens: 10,
		Request: picker.Request{PromptTokens: 10},
	})
}

// assigned returns the server of the last command, or nothing.
func assigned(cmds []dispatcher.Cmd) string {
	for _, cmd := range cmds {
		if assign, ok := cmd.(dispatcher.Assign); ok {
			return assign.Server.Name
		}
	}
	return ""
}

// TestSilentAndLeavingServersGetNothing checks when a server counts.
func TestSilentAndLeavingServersGetNothing(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *bench)
		want   string
	}{
		{name: "ready", change: func(*bench) {}, want: "s"},
		{name: "silent just under three periods", change: func(b *bench) { b.now = b.now.Add(tracker.Silence - 1) }, want: "s"},
		{name: "silent", change: func(b *bench) { b.now = b.now.Add(tracker.Silence) }},
		{name: "leaving", change: func(b *bench) { b.announce("s", tracker.StateLeaving, 4) }},
		{name: "an old announcement after leaving", change: func(b *bench) {
			b.announce("s", tracker.StateLeaving, 4)
			b.counter -= 2
			b.announce("s", tracker.StateReady, 4)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench()
			b.warm(4, "s")
			test.change(b)
			cmds := b.ask(time.Minute)
			assert.Equal(t, assigned(cmds), test.want)
			if test.want == "" {
				refuse := cmds[0].(dispatcher.Refuse)
				assert.Equal(t, refuse.Reason, dispatcher.ReasonNoServer)
				assert.Assert(t, refuse.RetryAfter > 0)
			}
		})
	}
}

// TestWaitingIsEndedAtOnce gives waiting requests their final answers when
// their deadline passes, when their servers go, and when a slot is freed.
func TestWaitingIsEndedAtOnce(t *testing.T) {
	b := newBench()
	b.warm(1, "s")
	assert.Equal(t, assigned(b.ask(time.Minute)), "s")
	assert.Equal(t, len(b.ask(time.Second)), 0)
	assert.Equal(t, len(b.ask(time.Minute)), 0)
	b.now = b.now.Add(time.Second)
	cmds := b.model.Update(b.now, dispatcher.Tick{})
	assert.Equal(t, len(cmds), 1)
	assert.Equal(t, cmds[0].(dispatcher.Refuse).Reason, dispatcher.ReasonOverloaded)
	cmds = b.model.Update(b.now, dispatcher.Done{ID: 1})
	assert.Equal(t, assigned(cmds), "s")
	assert.Equal(t, len(b.ask(time.Minute)), 0)
	b.now = b.now.Add(tracker.Silence)
	cmds = b.model.Update(b.now, dispatcher.Tick{})
	assert.Equal(t, cmds[0].(dispatcher.Refuse).Reason, dispatcher.ReasonNoServer)
}

// TestCancelledRequestsLeaveNothing cancels waiting and assigned requests.
func TestCancelledRequestsLeaveNothing(t *testing.T) {
	b := newBench()
	b.warm(1, "s")
	b.ask(time.Minute)
	b.ask(time.Minute)
	b.model.Update(b.now, dispatcher.Cancel{ID: 2})
	assert.Equal(t, len(b.model.Update(b.now, dispatcher.Done{ID: 1, Unused: true})), 0)
	assert.Equal(t, assigned(b.ask(time.Minute)), "s")
}

// TestOutliersAreEjectedAndProbed fails one server again and again.
func TestOutliersAreEjectedAndProbed(t *testing.T) {
	b := newBench()
	b.warm(8, "a", "b", "c")
	failures := 0
	for range 60 {
		name := assigned(b.ask(time.Minute))
		b.model.Update(b.now, dispatcher.Done{ID: b.id, Failed: name == "a", Tokens: 10, Elapsed: time.Second})
		if name == "a" {
			failures++
		}
	}
	assert.Equal(t, failures, 3)
	b.now = b.now.Add(2500 * time.Millisecond)
	for _, name := range []string{"a", "b", "c"} {
		b.announce(name, tracker.StateReady, 8)
	}
	probes := 0
	for range 12 {
		if assigned(b.ask(time.Minute)) == "a" {
			probes++
		}
	}
	assert.Equal(t, probes, 1, "one probe at a time")
}

// TestNewServersAreRamped gives a new server few requests at first.
func TestNewServersAreRamped(t *testing.T) {
	b := newBench()
	b.announce("new", tracker.StateReady, 64)
	count := 0
	for range 64 {
		if assigned(b.ask(time.Minute)) != "" {
			count++
		}
	}
	assert.Equal(t, count, 1)
	b.now = b.now.Add(time.Second)
	cmds := b.model.Update(b.now, dispatcher.Tick{})
	assert.Assert(t, len(cmds) > 3 && len(cmds) < 16, "%d after a second", len(cmds))
}
