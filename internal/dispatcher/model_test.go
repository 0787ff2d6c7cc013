package dispatcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/picker"
	"github.com/boragehead/boragehead/internal/tracker"
)

var startTime = time.Unix(9000, 0)

// harness sends messages to a model at a time that the test sets.
type harness struct {
	model   dispatcher.Model
	now     time.Time
	counter uint64
	id      uint64
}

func newHarness() *harness {
	return &harness{now: startTime}
}

func (h *harness) announce(name string, state tracker.State, maxRunning int) {
	h.counter++
	h.model.Update(h.now, dispatcher.Announce{Announcement: tracker.Announcement{
		Name: name, Pools: []string{"p"}, State: state, Counter: h.counter, MaxRunning: maxRunning,
	}})
}

// announcePastSlowStart announces servers and advances the time past their slow
// start, so that all of their slots may be used.
func (h *harness) announcePastSlowStart(maxRunning int, names ...string) {
	for _, name := range names {
		h.announce(name, tracker.StateReady, maxRunning)
	}
	h.now = h.now.Add(time.Minute)
	for _, name := range names {
		h.announce(name, tracker.StateReady, maxRunning)
	}
}

func (h *harness) enqueue(timeout time.Duration) []dispatcher.Cmd {
	h.id++
	return h.model.Update(h.now, dispatcher.Enqueue{
		ID: h.id, Workspace: "w", Weight: 1, Pools: []string{"p"}, Deadline: h.now.Add(timeout), OutputTokens: 10,
		Request: picker.Request{PromptTokens: 10},
	})
}

// assignedServer returns the server of the first Assign, or "".
func assignedServer(cmds []dispatcher.Cmd) string {
	for _, cmd := range cmds {
		if assign, ok := cmd.(dispatcher.Assign); ok {
			return assign.Server.Name
		}
	}
	return ""
}

// TestSilentAndLeavingServersGetNoRequests guards against sending requests to
// servers that have stopped announcing themselves or are about to stop.
func TestSilentAndLeavingServersGetNoRequests(t *testing.T) {
	tests := []struct {
		name   string
		change func(h *harness)
		want   string
	}{
		{name: "ready", change: func(*harness) {}, want: "s"},
		{name: "silent just under three periods", change: func(h *harness) { h.now = h.now.Add(tracker.SilenceTimeout - 1) }, want: "s"},
		{name: "silent", change: func(h *harness) { h.now = h.now.Add(tracker.SilenceTimeout) }},
		{name: "leaving", change: func(h *harness) { h.announce("s", tracker.StateLeaving, 4) }},
		{name: "an old announcement after leaving", change: func(h *harness) {
			h.announce("s", tracker.StateLeaving, 4)
			h.counter -= 2
			h.announce("s", tracker.StateReady, 4)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness()
			h.announcePastSlowStart(4, "s")
			test.change(h)
			cmds := h.enqueue(time.Minute)
			assert.Equal(t, assignedServer(cmds), test.want)
			if test.want == "" {
				refuse := cmds[0].(dispatcher.Refuse)
				assert.Equal(t, refuse.Reason, dispatcher.ReasonNoServer)
				assert.Assert(t, refuse.RetryAfter > 0)
			}
		})
	}
}

// TestWaitingRequestsGetFinalAnswers checks that a waiting request is refused when
// its deadline passes or its last server falls silent, and assigned when a slot
// becomes free.
func TestWaitingRequestsGetFinalAnswers(t *testing.T) {
	h := newHarness()
	h.announcePastSlowStart(1, "s")
	assert.Equal(t, assignedServer(h.enqueue(time.Minute)), "s")
	assert.Equal(t, len(h.enqueue(time.Second)), 0)
	assert.Equal(t, len(h.enqueue(time.Minute)), 0)
	h.now = h.now.Add(time.Second)
	cmds := h.model.Update(h.now, dispatcher.Tick{})
	assert.Equal(t, len(cmds), 1)
	assert.Equal(t, cmds[0].(dispatcher.Refuse).Reason, dispatcher.ReasonOverloaded)
	cmds = h.model.Update(h.now, dispatcher.Done{ID: 1})
	assert.Equal(t, assignedServer(cmds), "s")
	assert.Equal(t, len(h.enqueue(time.Minute)), 0)
	h.now = h.now.Add(tracker.SilenceTimeout)
	cmds = h.model.Update(h.now, dispatcher.Tick{})
	assert.Equal(t, cmds[0].(dispatcher.Refuse).Reason, dispatcher.ReasonNoServer)
}

// TestCancelledRequestsFreeQueueAndSlot checks that a cancelled request is not
// assigned later, and that an unused assignment gives its slot back.
func TestCancelledRequestsFreeQueueAndSlot(t *testing.T) {
	h := newHarness()
	h.announcePastSlowStart(1, "s")
	h.enqueue(time.Minute)
	h.enqueue(time.Minute)
	h.model.Update(h.now, dispatcher.Cancel{ID: 2})
	assert.Equal(t, len(h.model.Update(h.now, dispatcher.Done{ID: 1, Unused: true})), 0)
	assert.Equal(t, assignedServer(h.enqueue(time.Minute)), "s")
}

// TestOutliersAreEjectedAndProbed checks that a server that keeps failing is
// ejected after three failures and then gets one request at a time as a probe.
func TestOutliersAreEjectedAndProbed(t *testing.T) {
	h := newHarness()
	h.announcePastSlowStart(8, "a", "b", "c")
	failures := 0
	for range 60 {
		name := assignedServer(h.enqueue(time.Minute))
		h.model.Update(h.now, dispatcher.Done{ID: h.id, Failed: name == "a", Tokens: 10, Elapsed: time.Second})
		if name == "a" {
			failures++
		}
	}
	assert.Equal(t, failures, 3)
	h.now = h.now.Add(2500 * time.Millisecond)
	for _, name := range []string{"a", "b", "c"} {
		h.announce(name, tracker.StateReady, 8)
	}
	probes := 0
	for range 12 {
		if assignedServer(h.enqueue(time.Minute)) == "a" {
			probes++
		}
	}
	assert.Equal(t, probes, 1, "one probe at a time")
}

// TestNewServersAreRamped checks that a new server gets one request at first and
// more as its slow start proceeds.
func TestNewServersAreRamped(t *testing.T) {
	h := newHarness()
	h.announce("new", tracker.StateReady, 64)
	count := 0
	for range 64 {
		if assignedServer(h.enqueue(time.Minute)) != "" {
			count++
		}
	}
	assert.Equal(t, count, 1)
	h.now = h.now.Add(time.Second)
	cmds := h.model.Update(h.now, dispatcher.Tick{})
	assert.Assert(t, len(cmds) > 3 && len(cmds) < 16, "%d after a second", len(cmds))
}
