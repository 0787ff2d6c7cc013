package imitator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// tokenStream writes one response as server-sent events with the IDs
// "REQUEST/NUMBER".
type tokenStream struct {
	w      http.ResponseWriter
	r      *http.Request
	id     string
	fault  Fault
	server *Server
}

func (t *tokenStream) run(tokens, promptSize int64) {
	t.w.Header().Set("Content-Type", "text/event-stream")
	first := t.resumeAfter() + 1
	for number := first; number <= tokens; number++ {
		if t.fault == FaultConnectionDropped && number > first+(tokens-first)/2 {
			panic(http.ErrAbortHandler)
		}
		t.writeEvent(number, fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":"word%d "}}]}`, number))
		if !t.waitInterval() {
			return
		}
	}
	t.writeEvent(tokens+1, fmt.Sprintf(`{"choices":[],"usage":{"total_tokens":%d}}`, tokens+promptSize/4))
	if t.fault == FaultMissingEnd {
		return
	}
	t.writeEvent(tokens+2, "[DONE]")
}

// resumeAfter returns the number of the last event that the client has received, 0
// if none.
func (t *tokenStream) resumeAfter() int64 {
	_, number, _ := strings.Cut(t.r.Header.Get("Last-Event-ID"), "/")
	last, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return 0
	}
	return last
}

func (t *tokenStream) writeEvent(number int64, data string) {
	text := fmt.Sprintf("id: %s/%d\ndata: %s\n\n", t.id, number, data)
	if t.fault == FaultWrongEventID && number == 2 {
		text = "id: another-request/2\ndata: {\"choices\":[{\"delta\":{\"content\":\"stray\"}}]}\n\n" + text
	}
	if t.fault == FaultDuplicateEvents {
		text += text
	}
	_, _ = fmt.Fprint(t.w, text)
	_ = http.NewResponseController(t.w).Flush()
}

// waitInterval waits between two tokens, and until a paused stream is resumed. It
// returns false if the request was cancelled.
func (t *tokenStream) waitInterval() bool {
	if resumed := t.server.resumedChannel(); resumed != nil {
		select {
		case <-resumed:
		case <-t.r.Context().Done():
			return false
		}
	}
	timer := time.NewTimer(t.server.TokenInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.r.Context().Done():
		return false
	}
}
