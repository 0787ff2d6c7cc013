package claimer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/claimer"
	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/tabler"
)

// newFaultlessGroup returns a claim group without faults.
func newFaultlessGroup() *faultyGroup {
	return &faultyGroup{drawFault: func() int { return 9 }, now: time.Unix(9000, 0)}
}

// handleWith sends one booking through a new filter of the group.
func handleWith(g *faultyGroup, id string, next exchanger.Handler) (*exchanger.Refusal, *httptest.ResponseRecorder) {
	writer := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/swaps", nil)
	request.Header.Set(claimer.HeaderIdempotencyKey, "key")
	x := &exchanger.Exchange{
		Writer: writer, Request: request, ID: id, Deadline: time.Now().Add(time.Minute),
		Workspace: tabler.Workspace{Name: "w"}, Route: tabler.Route{Name: "swaps", Once: true},
	}
	return claimer.NewFilter(g, g).Handle(context.Background(), x, next), writer
}

// runTwice is a handler that must not be reached.
func runTwice(context.Context, *exchanger.Exchange) *exchanger.Refusal {
	panic("the request ran twice")
}

// TestBrokenStreamIsReplayedAsWhole resends a booking whose streamed answer broke
// off.
func TestBrokenStreamIsReplayedAsWhole(t *testing.T) {
	g := newFaultlessGroup()
	const part = "data: one\n\nevent: error\ndata: {}\n\n"
	refusal, writer := handleWith(g, "request-1", func(_ context.Context, x *exchanger.Exchange) *exchanger.Refusal {
		_, _ = x.Writer.Write([]byte(part))
		x.Result.StreamError = exchanger.Refuse(http.StatusBadGateway, exchanger.CodeServerFailed, "").WithOutcome(exchanger.OutcomePartial)
		return nil
	})
	assert.Assert(t, refusal == nil)
	assert.Equal(t, writer.Body.String(), part)

	refusal, writer = handleWith(g, "request-2", runTwice)
	assert.Assert(t, refusal != nil, "replayed: %s", writer.Body)
	assert.Equal(t, refusal.Code, exchanger.CodeOutcomeUnknown)
	assert.Equal(t, refusal.OutcomeOrNotRun(), exchanger.OutcomeUnknown)
}

// TestReplayDropsHeaders resends a booking whose answer has more headers than its
// type.
func TestReplayDropsHeaders(t *testing.T) {
	g := newFaultlessGroup()
	_, first := handleWith(g, "request-1", func(_ context.Context, x *exchanger.Exchange) *exchanger.Refusal {
		header := x.Writer.Header()
		header.Set("Content-Type", "text/plain")
		header.Set("Content-Language", "ms")
		header.Set(exchanger.HeaderUsage, "12")
		header.Set("Content-Length", "6")
		x.Writer.WriteHeader(http.StatusCreated)
		_, _ = x.Writer.Write([]byte("booked"))
		return nil
	})
	refusal, replayed := handleWith(g, "request-2", runTwice)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, replayed.Code, first.Code)
	assert.Equal(t, replayed.Body.String(), first.Body.String())
	assert.Equal(t, replayed.Header().Get("Idempotency-Replayed"), "true")
	replayed.Header().Del("Idempotency-Replayed")
	assert.DeepEqual(t, replayed.Header(), first.Header())
}

// TestReplayOfEarlierRecord replays a response that was stored without its headers.
func TestReplayOfEarlierRecord(t *testing.T) {
	g := newFaultlessGroup()
	key := claimer.Key{Workspace: "w", Route: "swaps", Key: "key"}
	_, _ = handleWith(g, "request-1", func(context.Context, *exchanger.Exchange) *exchanger.Refusal {
		g.claims.Apply(claimer.Command{Finish: &claimer.Finish{Key: key, Attempt: "request-1", Response: &claimer.Response{
			Status: http.StatusOK, ContentType: "text/plain", Body: []byte("booked"),
		}}})
		return nil
	})
	refusal, replayed := handleWith(g, "request-2", runTwice)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, replayed.Header().Get("Content-Type"), "text/plain")
	assert.Equal(t, replayed.Body.String(), "booked")
}
