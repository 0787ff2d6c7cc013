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
