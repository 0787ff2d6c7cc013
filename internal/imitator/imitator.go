// Package imitator is a small stand-in for a backend server: it streams
// tokens, books what it is asked to book, announces itself, and can be told to
// misbehave. It serves the demonstration and the tests.
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

// Fault is a way to misbehave.
type Fault string

// The faults.
const (
	// FaultNone serves as it should.
	FaultNone Fault = ""
	// FaultCut drops the connection in the middle of an answer.
	FaultCut Fault = "cut"
	// FaultNoEnd ends a stream without its end mark.
	FaultNoEnd Fault = "no-end"
	// FaultCrossed answers with another request's id.
	FaultCrossed Fault = "crossed"
	// FaultCrossedEvent puts an event of another request into the stream.
	FaultCrossedEvent Fault = "crossed-event"
	// FaultDoubled sends every event twice.
	FaultDoubled Fault = "doubled"
	// FaultSilent runs the work and drops the connection before answering.
	FaultSilent Fault = "silent"
	// FaultRefuse refuses before running.
	FaultRefuse Fault = "refuse"
)

// Server is a stand-in. The zero value answers at once and without faults.
type Server struct {
	Name string
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// Keep makes it remember all bytes that it gets.
	Keep bool
	// ChecksFencing makes it refuse orders with an old fencing number.
	ChecksFencing bool

	mu       sync.Mutex
	faults   []Fault
	runs     map[string]int
	received bytes.Buffer
	running  int
	tokens   int64
	total    int
	hold     chan struct{}
	orders   []string
	newest   uint64
}

// Misbehave sets the faults of the next requests, one each.
func (s *Server) Misbehave(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// Hold makes streams wait after their first token until the returned function
// is called.
func (s *Server) Hold() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hold := make(chan struct{})
	s.hold = hold
	return sync.OnceFunc(func() {
		s.mu.Lock()
		s.hold = nil
		s.mu.Unlock()
		close(hold)
	})
}

// Runs returns how often each piece of work ran, by its body.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, count := range s.runs {
		runs[body] = count
	}
	return runs
}

// Total returns how many requests ran.
func (s *Server) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Received returns all bytes of all requests, if Keep is set.
func (s *Server) Received() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received.String()
}

// Load returns the requests and the tokens under way.
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
	fault := s.begin(r, body)
	if fault == FaultRefuse {
		w.Header().Set(exchanger.HeaderOutcome, string(exchanger.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.ran(string(body))
	defer s.end()
	if fault == FaultSilent {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(exchanger.HeaderRequestID)
	if fault == FaultCrossed {
		id = "another-request"
	}
	w.Header().Set(exchanger.HeaderRequestID, id)
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		s.complete(w, r, body, id, fault)
		return
	}
	s.book(w, body, fault)
}

func (s *Server) begin(r *http.Request, body []byte) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Keep {
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

func (s *Server) ran(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	s.runs[body]++
	s.total++
	s.running++
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// booking is the answer of the stand-in's plain service.
type booking struct {
	Booking int    `json:"booking"`
	Server  string `json:"server"`
}

func (s *Server) book(w http.ResponseWriter, _ []byte, fault Fault) {
	text, _ := json.Marshal(booking{Booking: s.Total(), Server: s.Name})
	w.Header().Set("Content-Type", "application/json")
	if fault == FaultCut {
		cutShort(w, text)
	}
	_, _ = w.Write(text)
}

// completionRequest is the part of a completion that the stand-in needs.
type completionRequest struct {
	Stream    bool  `json:"stream"`
	MaxTokens int64 `json:"max_tokens"`
}

// defaultTokens is the length of an answer without a limit.
const defaultTokens = 16

func (s *Server) complete(w http.ResponseWriter, r *http.Request, body []byte, id string, fault Fault) {
	request := completionRequest{MaxTokens: defaultTokens}
	if err := json.Unmarshal(body, &request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !request.Stream {
		s.answerWhole(w, body, request, fault)
		return
	}
	out := &tokenStream{w: w, id: id, fault: fault, server: s, r: r}
	out.run(request.MaxTokens, int64(len(body)))
}

func (s *Server) answerWhole(w http.ResponseWriter, body []byte, request completionRequest, fault Fault) {
	text := fmt.Sprintf(`{"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"%s"},"finish_reason":"stop"}],"usage":{"total_tokens":%d}}`,
		strings.Repeat("word ", int(request.MaxTokens)), request.MaxTokens+int64(len(body)/4))
	w.Header().Set("Content-Type", "application/json")
	if fault == FaultCut || fault == FaultNoEnd {
		cutShort(w, []byte(text))
	}
	_, _ = io.WriteString(w, text)
}

// cutShort sends half of an answer and drops the connection.
func cutShort(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text[:len(text)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (s *Server) holding() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hold
}
