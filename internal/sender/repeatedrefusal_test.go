package sender_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/imitator"
	"github.com/boragehead/boragehead/internal/sender"
)

// refusalWithID is a server's refusal; the id's line may be empty.
func refusalWithID(line string) string {
	return "HTTP/1.1 503 Refused\r\nBoragehead-Outcome: not-run\r\n" + line + "Content-Length: 0\r\n\r\n"
}

// TestEarlierRefusalIsTakenForLaterRequest guards against a server that writes a refusal
// once more on a kept connection: its caller is told that the request has not run.
func TestEarlierRefusalIsTakenForLaterRequest(t *testing.T) {
	anonymous, own := refusalWithID(""), refusalWithID("Boragehead-Request-Id: request-1\r\n")
	tests := []struct {
		name string
		once bool
		// first are the responses to the first requests of connections; the last one is
		// repeated.
		first   []string
		ids     []string
		outcome exchanger.Outcome
		runs    int
	}{
		{"without id", false, []string{anonymous}, []string{"request-1", "request-2"}, exchanger.OutcomeUnknown, 1},
		{"id of the earlier request", false, []string{own}, []string{"request-1", "request-2"}, exchanger.OutcomeUnknown, 1},
		{"the same id", false, []string{own}, []string{"request-1", "request-1"}, exchanger.OutcomeUnknown, 1},
		{"a resumed stream", false, []string{streamHead + firstEvent, own}, []string{"request-1"}, exchanger.OutcomePartial, 1},
		{"of a request that runs once", true, []string{anonymous}, []string{"request-1", "request-2"}, exchanger.OutcomeNotRun, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := &imitator.Repeater{
				IDHeader: exchanger.HeaderRequestID, First: test.first, Repeated: test.first[len(test.first)-1],
				Work: 4 * time.Second, Answer: jsonHead + `{"late":1}`,
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go server.Serve(listener)
			t.Cleanup(func() { _ = listener.Close() })
			address := netip.MustParseAddrPort(listener.Addr().String())
			// Each request has the server to itself, and the sender's kept connections.
			f := &fakeDependencies{servers: []netip.AddrPort{address}}
			s := sender.New(f, f, f, f, 1)
			var outcome exchanger.Outcome
			for _, id := range test.ids {
				x, _ := newExchange(`{}`, test.once)
				x.ID = id
				refusal := s.Handle(context.Background(), x)
				if refusal == nil {
					refusal = x.Result.StreamError
				}
				assert.Assert(t, refusal != nil)
				outcome = refusal.OutcomeOrNotRun()
			}
			assert.Equal(t, outcome, test.outcome)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if server.Working() > 0 {
					return poll.Continue("the server works on a request that nobody waits for")
				}
				return poll.Success()
			}, poll.WithTimeout(time.Second))
			assert.Equal(t, server.Runs(test.ids[len(test.ids)-1]), test.runs)
		})
	}
}
