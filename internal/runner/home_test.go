package runner_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/claimer"
	"github.com/boragehead/boragehead/internal/keeper"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/tabler"
)

// moveHomeSouth changes the home of the workspace "members" to south.
func (f *testFleet) moveHomeSouth() {
	f.eventually("home moved", func() error {
		ctx := context.Background()
		tables, revision, err := f.client.Tables(ctx, false)
		if err != nil {
			return err
		}
		for i := range tables.Workspaces {
			if tables.Workspaces[i].Name == "members" {
				tables.Workspaces[i].HomeRegion = "south"
			}
		}
		_, err = f.client.ReplaceTables(ctx, "move-home", revision, tables)
		return err
	})
}

// TestOutdatedInstanceServesFormerHome moves a workspace's home while an instance
// of the old home gets no tables: it reaches neither a keeper nor the other
// instance of its failure domain. By gossip with the other region it knows that
// there are newer tables. It went on serving the workspace by the old ones.
func TestOutdatedInstanceServesFormerHome(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	member, _ := f.createKey("members", "")
	f.eventually("key works", func() error { return f.checkChat("n1", member, http.StatusOK, "") })
	f.links.cutWhere(func(from, to endpoint) bool {
		return from.name == "n1" && (strings.HasPrefix(to.name, "k") || to.name == "n2")
	})
	f.moveHomeSouth()
	f.eventually("served in the new home", func() error { return f.checkChat("s1", member, http.StatusOK, "") })
	f.eventually("not served in the old home", func() error {
		status, body := f.post("n1", member, "/v1/chat/completions", chatBody, nil)
		if status == http.StatusOK {
			return fmt.Errorf("served: %s", body)
		}
		assert.Assert(t, strings.Contains(body, `"outcome":"not-run"`), "%s", body)
		return nil
	})
}

// TestOutdatedInstanceDoesNotCatchUp cuts an instance off from the keepers and
// from the other instance of its failure domain, which are all that it watches,
// but not from the other region, whose instance has newer tables. It must get
// them from there, and not refuse bound work until the cut ends.
func TestOutdatedInstanceDoesNotCatchUp(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	member, _ := f.createKey("members", "")
	f.eventually("key works", func() error { return f.checkChat("n1", member, http.StatusOK, "") })
	f.links.cutWhere(func(from, to endpoint) bool {
		return from.name == "n1" && (strings.HasPrefix(to.name, "k") || to.name == "n2")
	})
	f.moveHomeSouth()
	f.eventually("sent to the new home", func() error {
		return f.checkChat("n1", member, http.StatusTemporaryRedirect, "home-elsewhere")
	})
}

// TestFormerHomeReplaysBooking sends claims to a keeper of a workspace's former
// home, as an entry instance does whose tables are from before the move. The
// keeper, which had the newer tables, made new claims there and answered resent
// ones with the stored answer. It must go on recording the outcome of work that
// was claimed before the move.
func TestFormerHomeReplaysBooking(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	_, before, err := f.client.Tables(context.Background(), false)
	assert.NilError(t, err)
	client := messenger.NewClient(f.credentials("n1"), messenger.WithDial(f.links.dial("n1", "north")))
	t.Cleanup(client.Close)
	k1 := messenger.Endpoint{Name: f.keepers[0].Name, Address: f.keepers[0].Address}
	do := func(command claimer.Command) (claimer.Outcome, error) {
		return messenger.Call[claimer.Command, claimer.Outcome](context.Background(), client, k1, keeper.MethodClaim, command)
	}
	claim := func(workspace, key, attempt string, revision tabler.Revision) claimer.Command {
		return claimer.Command{Claim: &claimer.Claim{
			Key: claimer.Key{Workspace: workspace, Route: "swaps", Key: key}, Attempt: attempt, Revision: revision,
			ProposedAt: time.Now(), UnknownAfter: time.Now().Add(time.Minute),
		}}
	}
	var outcome claimer.Outcome
	f.eventually("claimed at home", func() error {
		var err error
		outcome, err = do(claim("members", "key", "first", before))
		return err
	})
	assert.Equal(t, outcome.Phase, claimer.PhaseNew)
	f.moveHomeSouth()
	f.eventually("a new claim is refused", func() error {
		outcome, err := do(claim("members", "other", "second", before))
		if !errors.Is(err, keeper.ErrHomeElsewhere) {
			return fmt.Errorf("claimed: %+v, %w", outcome, err)
		}
		return nil
	})
	finish := claimer.Finish{Key: claimer.Key{Workspace: "members", Route: "swaps", Key: "key"}, Attempt: "first", Response: &claimer.Response{Status: 200}}
	_, err = do(claimer.Command{Finish: &finish})
	assert.NilError(t, err)
	outcome, err = do(claim("members", "key", "third", before))
	assert.Assert(t, errors.Is(err, keeper.ErrHomeElsewhere), "replayed: %+v, %v", outcome, err)

	// A keeper that lags behind the instance leaves the decision to it.
	outcome, err = do(claim("members", "key", "fourth", before+1000))
	assert.NilError(t, err)
	assert.Equal(t, outcome.Phase, claimer.PhaseDone)
	outcome, err = do(claim("roaming", "key", "fifth", before))
	assert.NilError(t, err)
	assert.Equal(t, outcome.Phase, claimer.PhaseNew)
}

// TestQueueOfFormerHomeIsServed fills the servers of a workspace's home, so that
// requests wait, and moves the home. Those that run go on. Those that wait are
// sent to the new home at once, and none of them reaches a server of the old one.
func TestQueueOfFormerHomeIsServed(t *testing.T) {
	t.Parallel()
	// requests is more than the server of the home takes at once.
	const requests = 80
	f := newFleet(t)
	member, _ := f.createKey("members", "")
	f.eventually("key works", func() error { return f.checkChat("n1", member, http.StatusOK, "") })
	server := f.backends["engine-n"]
	runsBefore := server.TotalRuns()
	release := server.PauseStreams()
	defer release()
	type answer struct {
		status int
		err    error
	}
	type stream struct {
		status int
		text   string
		err    error
	}
	answers := make(chan answer, requests)
	streams := make(chan stream, requests)
	for range requests {
		go func() {
			response, err := f.startRequest("n1", member, "/v1/chat/completions", chatBody, nil)
			if err != nil {
				answers <- answer{err: err}
				return
			}
			answers <- answer{status: response.StatusCode}
			text, err := io.ReadAll(response.Body)
			if closeErr := response.Body.Close(); err == nil {
				err = closeErr
			}
			streams <- stream{status: response.StatusCode, text: string(text), err: err}
		}()
	}
	f.eventually("requests run", func() error {
		if runs := server.TotalRuns() - runsBefore; runs < 10 {
			return fmt.Errorf("%d requests", runs)
		}
		return nil
	})
	f.moveHomeSouth()
	moved := time.Now()
	accepted, redirected := 0, 0
	for range requests {
		received := <-answers
		assert.NilError(t, received.err)
		switch received.status {
		case http.StatusOK:
			accepted++
		case http.StatusTemporaryRedirect:
			redirected++
		default:
			t.Errorf("status %d", received.status)
		}
	}
	assert.Assert(t, time.Since(moved) < propagationLimit, "took %s", time.Since(moved))
	assert.Assert(t, redirected > 0)
	assert.Equal(t, server.TotalRuns()-runsBefore, accepted)
	release()
	for range requests {
		received := <-streams
		assert.NilError(t, received.err)
		if received.status == http.StatusOK {
			assert.Assert(t, strings.Contains(received.text, "[DONE]"), "%s", received.text)
		}
	}
}
