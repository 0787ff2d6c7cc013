// Package imitator is a stand-in for a backend server, for demonstrations and
// tests: it streams tokens, answers bookings, announces itself to entry instances,
// and injects faults on request.
package imitator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// Fault is a kind of misbehavior that a test can inject into one response.
type Fault string

// The faults.
const (
	// FaultNone answers correctly.
	FaultNone Fault = ""
	// FaultConnectionDropped drops the connection in the middle of a response.
	FaultConnectionDropped Fault = "cut"
	// FaultMissingEnd ends a stream without the [DONE] event, and cuts other
	// completions short as FaultConnectionDropped does.
	FaultMissingEnd Fault = "no-end"
	// FaultWrongRequestID answers with the ID of another request.
	FaultWrongRequestID Fault = "crossed"
	// FaultWrongEventID inserts an event of another request into the stream.
	FaultWrongEventID Fault = "crossed-event"
	// FaultDuplicateEvents sends every event twice.
	FaultDuplicateEvents Fault = "doubled"
	// FaultNoAnswer runs the request and drops the connection without an answer.
	FaultNoAnswer Fault = "silent"
	// FaultRefuse answers 503 with the outcome "not run", and does not run the request.
	FaultRefuse Fault = "refuse"
)

// Server is a stand-in backend server. The zero value answers without delay or
// faults. It is safe for concurrent use; set the exported fields before serving.
type Server struct {
	Name string
	// TokenInterval is the time between two streamed tokens.
	TokenInterval time.Duration
	// RecordRequests makes the server record all requests for Received.
	RecordRequests bool
	// ChecksFencing makes the server refuse orders with a fencing number below the
	// highest that it has seen.
	ChecksFencing bool

	mu         sync.Mutex
	faults     []Fault
	runsByBody map[string]int
	received   bytes.Buffer
	running    int
	tokens     int64
	totalRuns  int
	// resumed is closed when paused streams may go on; nil if they are not paused.
	resumed              chan struct{}
	orders               []string
	highestFencingNumber uint64
}

// InjectFaults queues faults for the next requests, one for each request.
func (s *Server) InjectFaults(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// PauseStreams makes streams pause after their next token, until release is called.
func (s *Server) PauseStreams() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resumed := make(chan struct{})
	s.resumed = resumed
	return sync.OnceFunc(func() {
		s.mu.Lock()
		s.resumed = nil
		s.mu.Unlock()
		close(resumed)
	})
}

// RunsByBody returns how many requests ran, by request body.
func (s *Server) RunsByBody() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runsByBody))
	for body, count := range s.runsByBody {
		runs[body] = count
	}
	return runs
}

// TotalRuns returns how many requests ran.
func (s *Server) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalRuns
}

// Received returns all requests received while RecordRequests was set, as text.
func (s *Server) Received() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received.String()
}

// Load returns the number of running requests. Their tokens are not counted: the
// second result is always 0.
func (s *Server) Load() (running int, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.tokens
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == ordersPath {
		s.takeOrder(w, r, body)
		return
	}
	fault := s.receive(r, body)
	if fault == FaultRefuse {
		w.Header().Set(exchanger.HeaderOutcome, string(exchanger.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.startRun(string(body))
	defer s.finishRun()
	if fault == FaultNoAnswer {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(exchanger.HeaderRequestID)
	if fault == FaultWrongRequestID {
		id = "another-request"
	}
	w.Header().Set(exchanger.HeaderRequestID, id)
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		s.answerCompletion(w, r, body, id, fault)
		return
	}
	s.answerBooking(w, body, fault)
}

// receive records a request if RecordRequests is set, and returns the fault to
// inject into its response.
func (s *Server) receive(r *http.Request, body []byte) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.RecordRequests {
		_, _ = fmt.Fprintf(&s.received, "%s %s\n", r.Method, r.URL.RequestURI())
		_ = r.Header.Write(&s.received)
		s.received.Write(body)
	}
	if len(s.faults) == 0 {
		return FaultNone
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

func (s *Server) startRun(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runsByBody == nil {
		s.runsByBody = map[string]int{}
	}
	s.runsByBody[body]++
	s.totalRuns++
	s.running++
}

func (s *Server) finishRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// booking is the JSON answer to requests outside /v1/.
type booking struct {
	Booking int    `json:"booking"`
	Server  string `json:"server"`
}

func (s *Server) answerBooking(w http.ResponseWriter, _ []byte, fault Fault) {
	text, _ := json.Marshal(booking{Booking: s.TotalRuns(), Server: s.Name})
	w.Header().Set("Content-Type", "application/json")
	if fault == FaultConnectionDropped {
		cutShort(w, text)
	}
	_, _ = w.Write(text)
}

// completionRequest holds the fields of a completion request that are used here.
type completionRequest struct {
	Stream    bool  `json:"stream"`
	MaxTokens int64 `json:"max_tokens"`
}

// defaultMaxTokens is the length of a response to a request without max_tokens.
const defaultMaxTokens = 16

func (s *Server) answerCompletion(w http.ResponseWriter, r *http.Request, body []byte, id string, fault Fault) {
	request := completionRequest{MaxTokens: defaultMaxTokens}
	if err := json.Unmarshal(body, &request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !request.Stream {
		s.answerUnstreamed(w, body, request, fault)
		return
	}
	out := &tokenStream{w: w, id: id, fault: fault, server: s, r: r}
	out.run(request.MaxTokens, int64(len(body)))
}

func (s *Server) answerUnstreamed(w http.ResponseWriter, body []byte, request completionRequest, fault Fault) {
	text := fmt.Sprintf(`{"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"%s"},"finish_reason":"stop"}],"usage":{"total_tokens":%d}}`,
		strings.Repeat("word ", int(request.MaxTokens)), request.MaxTokens+int64(len(body)/4))
	w.Header().Set("Content-Type", "application/json")
	if fault == FaultConnectionDropped || fault == FaultMissingEnd {
		cutShort(w, []byte(text))
	}
	_, _ = io.WriteString(w, text)
}

// cutShort sends half of a response and drops the connection.
func cutShort(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text[:len(text)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (s *Server) resumedChannel() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumed
}
