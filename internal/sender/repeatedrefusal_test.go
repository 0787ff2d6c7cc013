package sender_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/sender"
)

// refusalWithID is a server's refusal; the id's line may be empty.
func refusalWithID(line string) string {
	return "HTTP/1.1 503 Refused\r\nBoragehead-Outcome: not-run\r\n" + line + "Content-Length: 0\r\n\r\n"
}

// repeatingServer answers requests in turn by texts, and works from each request on that
// is answered by the repeated text, until the sender closes the connection.
type repeatingServer struct {
	texts    []string
	repeated string

	mu            sync.Mutex
	requests      int
	runs, working int
}

func (s *repeatingServer) start(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var open sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		open.Wait()
	})
	open.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Go(func() { s.serve(conn) })
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for carried := 0; ; carried++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.mu.Lock()
		text := s.texts[min(s.requests, len(s.texts)-1)]
		s.requests++
		s.mu.Unlock()
		if carried > 0 && text == s.repeated {
			s.run(conn, reader)
			return
		}
		_, _ = io.WriteString(conn, text)
		if request.Close || text == cutStream {
			return
		}
	}
}

// run writes the repeated text and works for some seconds.
func (s *repeatingServer) run(conn net.Conn, reader *bufio.Reader) {
	s.count(1)
	defer s.count(-1)
	_, _ = io.WriteString(conn, s.repeated)
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	if _, err := reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
		_, _ = io.WriteString(conn, jsonHead+`{"late":1}`)
	}
}

func (s *repeatingServer) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working += change
	s.runs += max(change, 0)
}

func (s *repeatingServer) counts() (runs, working int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs, s.working
}

const cutStream = streamHead + firstEvent

// TestEarlierRefusalIsTakenForLaterRequest guards against a server that writes a refusal
// once more on a kept connection: its caller is told that the request has not run.
func TestEarlierRefusalIsTakenForLaterRequest(t *testing.T) {
	anonymous, own := refusalWithID(""), refusalWithID("Boragehead-Request-Id: request-1\r\n")
	tests := []struct {
		name string
		once bool
		// texts answer the requests in turn; the last one is repeated.
		texts   []string
		ids     []string
		outcome exchanger.Outcome
		runs    int
	}{
		{"without id", false, []string{anonymous}, []string{"request-1", "request-2"}, exchanger.OutcomeUnknown, 1},
		{"id of the earlier request", false, []string{own}, []string{"request-1", "request-2"}, exchanger.OutcomeUnknown, 1},
		{"the same id", false, []string{own}, []string{"request-1", "request-1"}, exchanger.OutcomeUnknown, 1},
		{"a resumed stream", false, []string{cutStream, own}, []string{"request-1"}, exchanger.OutcomePartial, 1},
		{"of a request that runs once", true, []string{anonymous}, []string{"request-1", "request-2"}, exchanger.OutcomeNotRun, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := &repeatingServer{texts: test.texts, repeated: test.texts[len(test.texts)-1]}
			address := server.start(t)
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
				if _, working := server.counts(); working > 0 {
					return poll.Continue("the server works on a request that nobody waits for")
				}
				return poll.Success()
			}, poll.WithTimeout(time.Second))
			runs, _ := server.counts()
			assert.Equal(t, runs, test.runs)
		})
	}
}
