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

// TestBookingsAcrossInstances sends the same booking through two instances at
// the same instant, over and over, and cuts the claims' region off.
func TestBookingsAcrossInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	secret, _ := f.give("roaming", "north")
	header := func(key string) http.Header { return http.Header{"Idempotency-Key": {key}} }
	for gate := range f.gates {
		f.eventually("first booking at "+gate, func() error {
			status, body := f.ask(gate, secret, "/swaps", gate, header(gate))
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
				status, body := f.ask(gate, secret, "/swaps", booking, header(booking))
				inProgress := status == http.StatusConflict && codeOf(body) == "in-progress"
				assert.Check(t, status == http.StatusOK || inProgress, "status %d: %s", status, body)
			})
		}
		wait.Wait()
	}
	f.links.isolate("north")
	status, body := f.ask("n2", secret, "/swaps", "in-the-cut", header("in-the-cut"))
	assert.Equal(t, status, http.StatusOK, body)
	elsewhere, _ := f.ask("s1", secret, "/swaps", "from-elsewhere", header("from-elsewhere"))
	assert.Equal(t, elsewhere, http.StatusServiceUnavailable)
	f.links.heal()
	f.eventually("resend after healing gets the first answer", func() error {
		status, again := f.ask("s1", secret, "/swaps", "in-the-cut", header("in-the-cut"))
		if status != http.StatusOK || again != body {
			return fmt.Errorf("status %d: %s", status, again)
		}
		return nil
	})
	for booking, runs := range f.servers["booking-n"].Runs() {
		assert.Equal(t, runs, 1, "%s ran %d times", booking, runs)
	}
	assert.Equal(t, f.servers["booking-n"].Runs()["from-elsewhere"], 0)
}

// TestIsolatedRegionsServeTheirCallers cuts the regions from each other for
// longer than every lease, with callers on both sides, and checks that a
// change is in force everywhere within seconds of healing.
func TestIsolatedRegionsServeTheirCallers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	south, _ := f.give("roaming", "south")
	member, _ := f.give("members", "")
	f.eventually("south's key works", func() error { return f.wants("s1", south, http.StatusOK, "") })
	f.eventually("member's key works", func() error { return f.wants("n1", member, http.StatusOK, "") })
	f.links.isolate("south")
	cut := time.Now()
	served := 0
	for time.Since(cut) < granter.Lease+granter.Drift+4*time.Second {
		assert.NilError(t, f.wants("s1", south, http.StatusOK, ""), "after %s", time.Since(cut))
		assert.NilError(t, f.wants("n2", member, http.StatusOK, ""), "after %s", time.Since(cut))
		served++
		<-time.After(100 * time.Millisecond)
	}
	assert.Assert(t, served > 50, "only %d rounds", served)
	f.links.heal()
	healed := time.Now()
	f.eventually("a change is in force everywhere", func() error { return f.changeInForce() })
	assert.Assert(t, time.Since(healed) < promptly, "took %s", time.Since(healed))
}

// TestIsolatedFailureDomainServesItsCallers cuts one failure domain of a
// region, with an entry instance, an engine and a keeper, off from all others.
// Its callers are served; bookings, whose claims need the region's keepers
// together, are refused there as not run. The rest of the region goes on.
func TestIsolatedFailureDomainServesItsCallers(t *testing.T) {
	t.Parallel()
	tables := strings.Replace(testTables, "failure-domains: [north-1]", "failure-domains: [north-1, north-2]", 1)
	f := newFleetWith(t, tables, map[string]string{"n2": "north-2", "k2": "north-2"})
	member, _ := f.give("members", "")
	for _, gate := range []string{"n1", "n2"} {
		f.eventually("member's key works at "+gate, func() error { return f.wants(gate, member, http.StatusOK, "") })
	}
	apart := func(p place) bool { return p.name == "n2" || p.name == "k2" }
	f.links.sever(func(from, to place) bool { return apart(from) != apart(to) })
	cut := time.Now()
	for time.Since(cut) < granter.Lease+granter.Drift+2*time.Second {
		assert.NilError(t, f.wants("n1", member, http.StatusOK, ""), "after %s", time.Since(cut))
		assert.NilError(t, f.wants("n2", member, http.StatusOK, ""), "after %s", time.Since(cut))
		<-time.After(100 * time.Millisecond)
	}
	status, body := f.ask("n2", member, "/swaps", "alone", http.Header{"Idempotency-Key": {"alone"}})
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, codeOf(body), "claims-unavailable")
	f.links.heal()
	healed := time.Now()
	f.eventually("a change is in force everywhere", func() error { return f.changeInForce() })
	assert.Assert(t, time.Since(healed) < promptly, "took %s", time.Since(healed))
	assert.Equal(t, f.servers["booking-n"].Runs()["alone"], 0)
}

// changeInForce drains or undrains an instance and checks that every instance
// has the new revision in force.
func (f *testFleet) changeInForce() error {
	result, err := f.client.Drain(context.Background(), "drain-once", "n2", true)
	if err != nil {
		return err
	}
	status, err := f.client.Status(context.Background())
	if err != nil {
		return err
	}
	if len(status.Instances) < len(f.gates) {
		return fmt.Errorf("%d instances heard", len(status.Instances))
	}
	for _, instance := range status.Instances {
		if instance.Revision < result.Revision {
			return fmt.Errorf("%s has revision %d of %d", instance.Name, instance.Revision, result.Revision)
		}
	}
	return nil
}

// load asks for streams without a pause, through whichever instance takes
// them, and notes every answer that was not whole.
type load struct {
	f      *testFleet
	secret string
	// pause is the time between two requests on a connection.
	pause   time.Duration
	whole   atomic.Int64
	refused atomic.Int64
	done    chan struct{}
	wait    sync.WaitGroup
}

func (f *testFleet) startLoad(secret string, pause time.Duration) *load {
	l := &load{f: f, secret: secret, pause: pause, done: make(chan struct{})}
	for _, gate := range []string{"n1", "n2", "s1", "n1", "n2", "s1"} {
		l.wait.Go(func() { l.run(gate) })
	}
	return l
}

func (l *load) run(gate string) {
	for {
		select {
		case <-l.done:
			return
		default:
			l.ask(gate)
			<-time.After(l.pause)
		}
	}
}

func (l *load) ask(gate string) {
	response, err := l.f.request(gate, l.secret, "/v1/chat/completions", question, nil)
	if err != nil {
		// The port is closed: the caller would use the next instance.
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
		assert.Check(l.f.t, strings.Contains(string(text), "[DONE]"), "not whole: %s", text)
		l.whole.Add(1)
	}
}

func (l *load) stop() {
	close(l.done)
	l.wait.Wait()
}

// TestPlannedStopsCutNothing stops and restarts every process of the fleet,
// one after another, under a streaming load.
func TestPlannedStopsCutNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	secret, _ := f.give("roaming", "north")
	for name := range f.gates {
		f.eventually("key works at "+name, func() error { return f.wants(name, secret, http.StatusOK, "") })
	}
	for _, server := range f.servers {
		server.TokenInterval = 5 * time.Millisecond
	}
	l := f.startLoad(secret, 0)
	for _, k := range f.keepers {
		f.stops[k.Name]()
		f.startKeeper(k)
		f.eventually(k.Name+" is back", func() error {
			_, _, err := f.client.Tables(context.Background(), false)
			return err
		})
	}
	for name := range f.gates {
		before := l.whole.Load()
		f.stops[name]()
		f.startGate(name)
		f.eventually(name+" is back", func() error { return f.wants(name, secret, http.StatusOK, "") })
		assert.Assert(t, l.whole.Load() > before)
	}
	l.stop()
	assert.Assert(t, l.whole.Load() > 100, "only %d answers", l.whole.Load())
}

// TestPausingCallersAreNotCut stops entry instances whose callers keep
// connections open without a request on them for longer than the stop lingers.
func TestPausingCallersAreNotCut(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	secret, _ := f.give("roaming", "north")
	for name := range f.gates {
		f.eventually("key works at "+name, func() error { return f.wants(name, secret, http.StatusOK, "") })
	}
	l := f.startLoad(secret, 2*f.gates["n1"].StopLinger)
	for range 3 {
		before := l.whole.Load()
		f.eventually("callers are at work", func() error {
			if l.whole.Load() < before+10 {
				return fmt.Errorf("%d answers", l.whole.Load()-before)
			}
			return nil
		})
		f.stops["n1"]()
		f.startGate("n1")
		f.eventually("n1 is back", func() error { return f.wants("n1", secret, http.StatusOK, "") })
	}
	l.stop()
}

// TestLeavingServerGetsNothingNew lets a server leave while requests come.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startServer("engine-n2", "engines-north", "n1", "n2")
	secret, _ := f.give("members", "")
	f.eventually("both servers are used", func() error {
		if err := f.wants("n1", secret, http.StatusOK, ""); err != nil {
			return err
		}
		varied := strings.Replace(question, "when", time.Now().String(), 1)
		f.ask("n1", secret, "/v1/chat/completions", varied, nil)
		if f.servers["engine-n2"].Total() == 0 || f.servers["engine-n"].Total() == 0 {
			return fmt.Errorf("one server is unused")
		}
		return nil
	})
	f.stops["engine-n2"]()
	f.tellers["engine-n2"].Tell(context.Background(), "leaving")
	f.eventually("no new work after it left", func() error {
		before := f.servers["engine-n2"].Total()
		for number := range 30 {
			varied := strings.Replace(question, "when", fmt.Sprint(number, before), 1)
			status, body := f.ask("n2", secret, "/v1/chat/completions", varied, nil)
			assert.Equal(t, status, http.StatusOK, body)
		}
		if after := f.servers["engine-n2"].Total(); after != before {
			return fmt.Errorf("%d new requests", after-before)
		}
		return nil
	})
}

// TestOperatorsRace lets two operators change the tables from the same
// revision, and one resend its change after a lost answer.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	ctx := context.Background()
	tables, revision, err := f.client.Tables(ctx, false)
	assert.NilError(t, err)
	outcomes := make([]error, 2)
	results := make([]tabler.Result, 2)
	var wait sync.WaitGroup
	edit := func(number int) (tabler.Result, error) {
		changed := tables
		changed.Workspaces = append([]tabler.Workspace{}, tables.Workspaces...)
		changed.Workspaces[0].Weight = float64(number + 2)
		return f.client.Edit(ctx, fmt.Sprintf("operator-%d", number), revision, changed)
	}
	for number := range 2 {
		wait.Go(func() { results[number], outcomes[number] = edit(number) })
	}
	wait.Wait()
	accepted := 0
	for number, err := range outcomes {
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

// TestOrdersReachEngines gives orders through the whole path: numbers rise,
// and a second order for the same server waits for the first.
func TestOrdersReachEngines(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.servers["engine-n"].ChecksFencing = true
	order := orderer.Order{FailureDomain: "north-1", Server: "engine-n", Kind: orderer.KindLoadModel, Argument: "m2"}
	var numbers []uint64
	for range 2 {
		f.eventually("order delivered", func() error {
			answer, err := f.client.Order(context.Background(), order)
			if err == nil {
				numbers = append(numbers, answer.Number)
			}
			return err
		})
		_, err := f.client.Order(context.Background(), order)
		assert.ErrorIs(t, err, keeper.ErrOrderWait)
	}
	assert.Assert(t, numbers[1] > numbers[0], "%v", numbers)
	status, err := f.client.Status(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(status.Servers), len(f.servers), "%+v", status.Servers)
	assert.Equal(t, len(f.servers["engine-n"].Orders()), 2)
	unknown := order
	unknown.Server = "nobody"
	f.eventually("an unknown server is named", func() error {
		_, err := f.client.Order(context.Background(), unknown)
		if err == nil {
			return errors.New("the order was delivered")
		}
		if !strings.Contains(err.Error(), "nobody") {
			return fmt.Errorf("another error: %w", err)
		}
		return nil
	})
}
