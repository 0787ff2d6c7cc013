package runner_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/keeper"
	"github.com/boragehead/boragehead/internal/orderer"
	"github.com/boragehead/boragehead/internal/tabler"
)

// TestIdempotentBookingsAcrossInstances repeatedly sends the same booking through
// several instances at the same time, and then isolates the region that holds
// the claims. No booking may run twice, and none may run without its claim.
func TestIdempotentBookingsAcrossInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	secret, _ := f.createKey("roaming", "north")
	header := func(key string) http.Header { return http.Header{"Idempotency-Key": {key}} }
	for gate := range f.gates {
		f.eventually("first booking at "+gate, func() error {
			status, body := f.post(gate, secret, "/swaps", gate, header(gate))
			if status != http.StatusOK {
				return fmt.Errorf("status %d: %s", status, body)
			}
			return nil
		})
	}
	for number := range 10 {
		booking := fmt.Sprintf("swap-%d", number)
		var wait sync.WaitGroup
		for _, gate := range []string{"n1", "n2", "s1", "n1"} {
			wait.Go(func() {
				status, body := f.post(gate, secret, "/swaps", booking, header(booking))
				inProgress := status == http.StatusConflict && errorCode(body) == "in-progress"
				assert.Check(t, status == http.StatusOK || inProgress, "status %d: %s", status, body)
			})
		}
		wait.Wait()
	}
	f.links.isolate("north")
	status, body := f.post("n2", secret, "/swaps", "in-the-cut", header("in-the-cut"))
	assert.Equal(t, status, http.StatusOK, body)
	elsewhere, _ := f.post("s1", secret, "/swaps", "from-elsewhere", header("from-elsewhere"))
	assert.Equal(t, elsewhere, http.StatusServiceUnavailable)
	f.links.heal()
	f.eventually("a resend after the partition gets the first answer", func() error {
		status, again := f.post("s1", secret, "/swaps", "in-the-cut", header("in-the-cut"))
		if status != http.StatusOK || again != body {
			return fmt.Errorf("status %d: %s", status, again)
		}
		return nil
	})
	for booking, runs := range f.backends["booking-n"].RunsByBody() {
		assert.Equal(t, runs, 1, "%s ran %d times", booking, runs)
	}
	assert.Equal(t, f.backends["booking-n"].RunsByBody()["from-elsewhere"], 0)
}

// TestIsolatedRegionsServeTheirCallers isolates the regions from each other for
// longer than any lease. Callers must be served on both sides throughout, and
// a change must apply everywhere within propagationLimit of the end of the
// partition.
func TestIsolatedRegionsServeTheirCallers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	south, _ := f.createKey("roaming", "south")
	member, _ := f.createKey("members", "")
	f.eventually("south's key works", func() error { return f.checkChat("s1", south, http.StatusOK, "") })
	f.eventually("member's key works", func() error { return f.checkChat("n1", member, http.StatusOK, "") })
	f.links.isolate("south")
	partitionStart := time.Now()
	rounds := 0
	for time.Since(partitionStart) < granter.LeaseDuration+granter.MaxClockDrift+4*time.Second {
		assert.NilError(t, f.checkChat("s1", south, http.StatusOK, ""), "after %s", time.Since(partitionStart))
		assert.NilError(t, f.checkChat("n2", member, http.StatusOK, ""), "after %s", time.Since(partitionStart))
		rounds++
		<-time.After(100 * time.Millisecond)
	}
	assert.Assert(t, rounds > 50, "only %d rounds", rounds)
	f.links.heal()
	partitionEnd := time.Now()
	f.eventually("a change is applied everywhere", func() error { return f.checkChangeApplied() })
	assert.Assert(t, time.Since(partitionEnd) < propagationLimit, "took %s", time.Since(partitionEnd))
}

// TestIsolatedFailureDomainServesItsCallers isolates one failure domain of a
// region, which has an entry instance, a backend server and a keeper, from all
// others. Its callers are served. Bookings there are refused as not run, because
// their claims need a quorum of the region's keepers. The rest of the region is
// not affected.
func TestIsolatedFailureDomainServesItsCallers(t *testing.T) {
	t.Parallel()
	tables := strings.Replace(testTables, "failure-domains: [north-1]", "failure-domains: [north-1, north-2]", 1)
	f := newFleetWith(t, tables, map[string]string{"n2": "north-2", "k2": "north-2"})
	member, _ := f.createKey("members", "")
	for _, gate := range []string{"n1", "n2"} {
		f.eventually("member's key works at "+gate, func() error { return f.checkChat(gate, member, http.StatusOK, "") })
	}
	isolated := func(p endpoint) bool { return p.name == "n2" || p.name == "k2" }
	f.links.cutWhere(func(from, to endpoint) bool { return isolated(from) != isolated(to) })
	partitionStart := time.Now()
	for time.Since(partitionStart) < granter.LeaseDuration+granter.MaxClockDrift+2*time.Second {
		assert.NilError(t, f.checkChat("n1", member, http.StatusOK, ""), "after %s", time.Since(partitionStart))
		assert.NilError(t, f.checkChat("n2", member, http.StatusOK, ""), "after %s", time.Since(partitionStart))
		<-time.After(100 * time.Millisecond)
	}
	status, body := f.post("n2", member, "/swaps", "alone", http.Header{"Idempotency-Key": {"alone"}})
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, errorCode(body), "claims-unavailable")
	f.links.heal()
	partitionEnd := time.Now()
	f.eventually("a change is applied everywhere", func() error { return f.checkChangeApplied() })
	assert.Assert(t, time.Since(partitionEnd) < propagationLimit, "took %s", time.Since(partitionEnd))
	assert.Equal(t, f.backends["booking-n"].RunsByBody()["alone"], 0)
}

// checkChangeApplied drains an instance and checks that every instance has
// applied the new revision.
func (f *testFleet) checkChangeApplied() error {
	result, err := f.client.SetDraining(context.Background(), "drain-once", "n2", true)
	if err != nil {
		return err
	}
	status, err := f.client.Status(context.Background())
	if err != nil {
		return err
	}
	if len(status.Instances) < len(f.gates) {
		return fmt.Errorf("status lists %d instances", len(status.Instances))
	}
	for _, instance := range status.Instances {
		if instance.Revision < result.Revision {
			return fmt.Errorf("%s has revision %d, want %d", instance.Name, instance.Revision, result.Revision)
		}
	}
	return nil
}

// streamLoad requests streams from all instances concurrently and fails the test
// if an answer is cut off or has an error status. Refused connections are only
// counted, because a caller would use another instance.
type streamLoad struct {
	f      *testFleet
	secret string
	// interval is the pause between two requests of a caller.
	interval  time.Duration
	completed atomic.Int64
	refused   atomic.Int64
	done      chan struct{}
	callers   sync.WaitGroup
}

func (f *testFleet) startLoad(secret string, interval time.Duration) *streamLoad {
	l := &streamLoad{f: f, secret: secret, interval: interval, done: make(chan struct{})}
	for _, gate := range []string{"n1", "n2", "s1", "n1", "n2", "s1"} {
		l.callers.Go(func() { l.run(gate) })
	}
	return l
}

func (l *streamLoad) run(gate string) {
	for {
		select {
		case <-l.done:
			return
		default:
			l.requestStream(gate)
			<-time.After(l.interval)
		}
	}
}

func (l *streamLoad) requestStream(gate string) {
	response, err := l.f.startRequest(gate, l.secret, "/v1/chat/completions", chatBody, nil)
	if err != nil {
		// The port is closed: a caller would use another instance.
		assert.Check(l.f.t, strings.Contains(err.Error(), "refused"), "a request was cut: %v", err)
		l.refused.Add(1)
		<-time.After(20 * time.Millisecond)
		return
	}
	text, err := io.ReadAll(response.Body)
	assert.Check(l.f.t, err == nil, "an answer was cut: %v", err)
	_ = response.Body.Close()
	assert.Check(l.f.t, response.StatusCode == http.StatusOK, "%s: status %d: %s", gate, response.StatusCode, text)
	if response.StatusCode == http.StatusOK {
		assert.Check(l.f.t, strings.Contains(string(text), "[DONE]"), "incomplete answer: %s", text)
		l.completed.Add(1)
	}
}

func (l *streamLoad) stop() {
	close(l.done)
	l.callers.Wait()
}

// TestGracefulStopsCutNoRequest stops and restarts every keeper and entry
// instance in turn under a streaming load. No answer may be cut off.
func TestGracefulStopsCutNoRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	secret, _ := f.createKey("roaming", "north")
	for name := range f.gates {
		f.eventually("key works at "+name, func() error { return f.checkChat(name, secret, http.StatusOK, "") })
	}
	for _, server := range f.backends {
		server.TokenInterval = 5 * time.Millisecond
	}
	l := f.startLoad(secret, 0)
	for _, k := range f.keepers {
		f.stopByName[k.Name]()
		f.startKeeper(k)
		f.eventually(k.Name+" is back", func() error {
			_, _, err := f.client.Tables(context.Background(), false)
			return err
		})
	}
	for name := range f.gates {
		before := l.completed.Load()
		f.stopByName[name]()
		f.startGate(name)
		f.eventually(name+" is back", func() error { return f.checkChat(name, secret, http.StatusOK, "") })
		assert.Assert(t, l.completed.Load() > before)
	}
	l.stop()
	assert.Assert(t, l.completed.Load() > 100, "only %d answers", l.completed.Load())
}

// TestGracefulStopWithIdleConnections stops an entry instance while its callers
// keep connections idle for longer than StopLinger between requests. A request
// that arrives on such a connection may not be cut off.
func TestGracefulStopWithIdleConnections(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	secret, _ := f.createKey("roaming", "north")
	for name := range f.gates {
		f.eventually("key works at "+name, func() error { return f.checkChat(name, secret, http.StatusOK, "") })
	}
	l := f.startLoad(secret, 2*f.gates["n1"].StopLinger)
	for range 3 {
		before := l.completed.Load()
		f.eventually("callers get answers", func() error {
			if l.completed.Load() < before+10 {
				return fmt.Errorf("%d answers", l.completed.Load()-before)
			}
			return nil
		})
		f.stopByName["n1"]()
		f.startGate("n1")
		f.eventually("n1 is back", func() error { return f.checkChat("n1", secret, http.StatusOK, "") })
	}
	l.stop()
}

// TestLeavingBackendGetsNoNewRequests announces that a backend server is leaving
// and checks that requests go to the other server only.
func TestLeavingBackendGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startBackend("engine-n2", "engines-north", "n1", "n2")
	secret, _ := f.createKey("members", "")
	f.eventually("both servers are used", func() error {
		if err := f.checkChat("n1", secret, http.StatusOK, ""); err != nil {
			return err
		}
		varied := strings.Replace(chatBody, "when", time.Now().String(), 1)
		f.post("n1", secret, "/v1/chat/completions", varied, nil)
		if f.backends["engine-n2"].TotalRuns() == 0 || f.backends["engine-n"].TotalRuns() == 0 {
			return fmt.Errorf("one server is unused")
		}
		return nil
	})
	f.stopByName["engine-n2"]()
	f.announcers["engine-n2"].Announce(context.Background(), "leaving")
	f.eventually("no new requests after it left", func() error {
		before := f.backends["engine-n2"].TotalRuns()
		for number := range 30 {
			varied := strings.Replace(chatBody, "when", fmt.Sprint(number, before), 1)
			status, body := f.post("n2", secret, "/v1/chat/completions", varied, nil)
			assert.Equal(t, status, http.StatusOK, body)
		}
		if after := f.backends["engine-n2"].TotalRuns(); after != before {
			return fmt.Errorf("%d new requests", after-before)
		}
		return nil
	})
}

// TestConcurrentOperatorEdits has two operators edit the tables from the same
// revision and then resend their edits, as after a lost answer. One edit is
// accepted and the other is refused as a conflict; each resend gets the same
// outcome as its first attempt.
func TestConcurrentOperatorEdits(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	ctx := context.Background()
	tables, revision, err := f.client.Tables(ctx, false)
	assert.NilError(t, err)
	errs := make([]error, 2)
	results := make([]tabler.Result, 2)
	var wait sync.WaitGroup
	edit := func(number int) (tabler.Result, error) {
		changed := tables
		changed.Workspaces = append([]tabler.Workspace{}, tables.Workspaces...)
		changed.Workspaces[0].Weight = float64(number + 2)
		return f.client.ReplaceTables(ctx, fmt.Sprintf("operator-%d", number), revision, changed)
	}
	for number := range 2 {
		wait.Go(func() { results[number], errs[number] = edit(number) })
	}
	wait.Wait()
	accepted := 0
	for number, err := range errs {
		again, errAgain := edit(number)
		if err == nil {
			accepted++
			assert.NilError(t, errAgain)
			assert.Equal(t, again.Revision, results[number].Revision)
			continue
		}
		assert.ErrorIs(t, err, tabler.ErrConflict)
		assert.ErrorIs(t, errAgain, tabler.ErrConflict)
	}
	assert.Equal(t, accepted, 1)
}

// TestOrdersReachBackends sends orders from the operator's client to a backend
// server: fencing numbers increase, a second order for the same server is
// refused until the wait after the first has passed, and the error for an
// unknown server names it.
func TestOrdersReachBackends(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backends["engine-n"].ChecksFencing = true
	order := orderer.Order{FailureDomain: "north-1", Server: "engine-n", Kind: orderer.KindLoadModel, Argument: "m2"}
	var numbers []uint64
	for range 2 {
		f.eventually("order delivered", func() error {
			answer, err := f.client.SendOrder(context.Background(), order)
			if err == nil {
				numbers = append(numbers, answer.Number)
			}
			return err
		})
		_, err := f.client.SendOrder(context.Background(), order)
		assert.ErrorIs(t, err, keeper.ErrOrderWait)
	}
	assert.Assert(t, numbers[1] > numbers[0], "%v", numbers)
	status, err := f.client.Status(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(status.Servers), len(f.backends), "%+v", status.Servers)
	assert.Equal(t, len(f.backends["engine-n"].Orders()), 2)
	unknown := order
	unknown.Server = "nobody"
	f.eventually("an unknown server is named", func() error {
		_, err := f.client.SendOrder(context.Background(), unknown)
		if err == nil {
			return errors.New("the order was delivered")
		}
		if !strings.Contains(err.Error(), "nobody") {
			return fmt.Errorf("another error: %w", err)
		}
		return nil
	})
}
