package claimer_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragehead/boragehead/internal/claimer"
	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/tabler"
)

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// errLost is a message that did not come back.
var errLost = errors.New("lost")

// group is a claim group whose calls are lost before or after they take
// effect, doubled, and whose process restarts from its snapshot.
type group struct {
	claims claimer.Claims
	draw   func() int
	now    time.Time
}

func (g *group) Do(_ context.Context, _ string, command claimer.Command) (claimer.Outcome, error) {
	if command.Claim != nil {
		claim := *command.Claim
		claim.At = g.now
		claim.Until = g.now.Add(time.Minute)
		command.Claim = &claim
	}
	switch g.draw() {
	case 0:
		return claimer.Outcome{}, errLost
	case 1:
		g.claims.Apply(command)
		return claimer.Outcome{}, errLost
	case 2:
		g.claims.Apply(command)
	case 3:
		data, err := g.claims.Snapshot()
		if err != nil {
			return claimer.Outcome{}, err
		}
		if err := g.claims.Restore(data); err != nil {
			return claimer.Outcome{}, err
		}
	}
	return g.claims.Apply(command), nil
}

func (g *group) ClaimRegion(*exchanger.Exchange) string { return "home" }

// backend counts what it runs. A crash of the instance shows as a panic.
type backend struct {
	runs map[string]int
	draw func() int
}

var errCrash = errors.New("the instance crashed")

func (b *backend) handle(_ context.Context, x *exchanger.Exchange) *exchanger.Refusal {
	body := string(x.Body)
	switch b.draw() {
	case 0: // the connection was never made
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNoServer, "")
	case 1: // the instance crashes before it sends
		panic(errCrash)
	case 2: // it runs, and the instance crashes
		b.runs[body]++
		panic(errCrash)
	case 3: // it runs, and the answer is lost
		b.runs[body]++
		return exchanger.Refuse(http.StatusBadGateway, exchanger.CodeServerFailed, "").WithOutcome(exchanger.OutcomeUnknown)
	}
	b.runs[body]++
	_, _ = fmt.Fprintf(x.Writer, "booked %s, run %d", body, b.runs[body])
	return nil
}

// TestBookingsRunAtMostOnce sends and resends bookings through instances that
// crash, over calls that are lost or doubled, and judges by the backend's own
// counter. A refusal that says not-run must be true of its attempt.
func TestBookingsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() int { return rapid.IntRange(0, 9).Draw(t, "fault") }
		g := &group{draw: draw, now: time.Unix(9000, 0)}
		b := &backend{runs: map[string]int{}, draw: draw}
		answers := map[string]string{}
		for number := range rapid.IntRange(1, 60).Draw(t, "requests") {
			body := fmt.Sprintf("swap-%d", rapid.IntRange(0, 3).Draw(t, "booking"))
			g.now = g.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			before := b.runs[body]
			status, outcome, answer := send(t, g, b, fmt.Sprintf("request-%d", number), body)
			assert.Assert(t, b.runs[body] <= 1, "%s ran %d times", body, b.runs[body])
			if outcome == string(exchanger.OutcomeNotRun) {
				assert.Equal(t, b.runs[body], before, "said not-run and ran")
			}
			if status != http.StatusOK {
				continue
			}
			if first, known := answers[body]; known {
				assert.Equal(t, answer, first)
			}
			answers[body] = answer
		}
	})
}

// send is one request through an instance of its own.
func send(t *rapid.T, g *group, b *backend, id, body string) (status int, outcome, answer string) {
	writer := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/swaps", strings.NewReader(body))
	request.Header.Set(claimer.HeaderIdempotencyKey, body)
	x := &exchanger.Exchange{
		Writer: writer, Request: request, ID: id, Body: []byte(body), Deadline: time.Now().Add(time.Hour),
		Workspace: tabler.Workspace{Name: "w"}, Route: tabler.Route{Name: "swaps", Once: true},
	}
	defer func() {
		if crash := recover(); crash != nil {
			assert.Equal(t, crash, errCrash)
			status, outcome = 0, ""
		}
	}()
	refusal := claimer.NewFilter(g, g, claimer.WithLater(func(work func()) { work() })).Handle(context.Background(), x, b.handle)
	if refusal != nil {
		return refusal.Status, string(refusal.Known()), ""
	}
	return writer.Code, "", writer.Body.String()
}

// TestClaims checks the answers to a second claim.
func TestClaims(t *testing.T) {
	key := claimer.Key{Workspace: "w", Route: "r", Key: "k"}
	start := time.Unix(9000, 0)
	claim := func(attempt string, body uint64, at time.Time) claimer.Command {
		return claimer.Command{Claim: &claimer.Claim{Key: key, Attempt: attempt, Body: body, At: at, Until: at.Add(time.Minute)}}
	}
	done := claimer.Command{Finish: &claimer.Finish{Key: key, Attempt: "a", Answer: &claimer.Answer{Status: 200}}}
	tests := []struct {
		name   string
		before []claimer.Command
		claim  claimer.Command
		want   claimer.Phase
	}{
		{name: "first", claim: claim("a", 1, start), want: claimer.PhaseNew},
		{name: "same attempt again", before: []claimer.Command{claim("a", 1, start)}, claim: claim("a", 1, start), want: claimer.PhaseNew},
		{name: "under way", before: []claimer.Command{claim("a", 1, start)}, claim: claim("b", 1, start), want: claimer.PhaseRunning},
		{name: "other body", before: []claimer.Command{claim("a", 1, start)}, claim: claim("b", 2, start), want: claimer.PhaseMismatch},
		{name: "overdue", before: []claimer.Command{claim("a", 1, start)}, claim: claim("b", 1, start.Add(time.Hour)), want: claimer.PhaseUnknown},
		{name: "overdue, same attempt", before: []claimer.Command{claim("a", 1, start), claim("b", 1, start.Add(time.Hour))}, claim: claim("b", 1, start), want: claimer.PhaseUnknown},
		{name: "done", before: []claimer.Command{claim("a", 1, start), done}, claim: claim("b", 1, start), want: claimer.PhaseDone},
		{name: "done, same attempt", before: []claimer.Command{claim("a", 1, start), done}, claim: claim("a", 1, start), want: claimer.PhaseDone},
		{name: "released", before: []claimer.Command{claim("a", 1, start), {Release: &claimer.Release{Key: key, Attempt: "a"}}}, claim: claim("b", 1, start), want: claimer.PhaseNew},
		{name: "released by another", before: []claimer.Command{claim("a", 1, start), {Release: &claimer.Release{Key: key, Attempt: "b"}}}, claim: claim("b", 1, start), want: claimer.PhaseRunning},
		{name: "forgotten after a day", before: []claimer.Command{claim("a", 1, start), done}, claim: claim("b", 1, start.Add(claimer.Retention+time.Second)), want: claimer.PhaseNew},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var claims claimer.Claims
			for _, command := range test.before {
				claims.Apply(command)
			}
			assert.Equal(t, claims.Apply(test.claim).Phase, test.want)
		})
	}
}
