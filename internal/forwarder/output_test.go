package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
)

func events(from, to int, end bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		}
		_ = http.NewResponseController(w).Flush()
		if !end {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func expected(to int) string {
	var text strings.Builder
	for i := 1; i <= to; i++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return text.String()
}

func TestStreams(t *testing.T) {
	plain := definer.Route{Kind: definer.KindStream, Attempts: 2}
	resumable := definer.Route{Kind: definer.KindStream, Attempts: 2, Resumable: true}
	resume := func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		events(last+1, 6, true)(w, r)
	}
	repeats := func(w http.ResponseWriter, r *http.Request) { events(2, 6, true)(w, r) }
	tests := []struct {
		name     string
		route    definer.Route
		handlers []http.HandlerFunc
		body     string
		whole    bool
	}{
		{"whole", plain, []http.HandlerFunc{events(1, 6, true)}, expected(6), true},
		{"cut off in an event", plain, []http.HandlerFunc{events(1, 3, false), resume}, expected(3), false},
		{"goes on elsewhere", resumable, []http.HandlerFunc{events(1, 3, false), resume}, expected(6), true},
		{"repeated events are dropped", resumable, []http.HandlerFunc{events(1, 3, false), repeats}, expected(6), true},
		{"cannot go on", resumable, []http.HandlerFunc{events(1, 3, false), respond(500, "x")}, expected(3), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPath(t, test.route, test.handlers...)
			status, body, err := p.ask("POST", "/a", "prompt")
			if status == 0 {
				assert.ErrorContains(t, err, "EOF")
				return
			}
			assert.Equal(t, status, 200)
			assert.Equal(t, body, test.body)
			assert.Equal(t, err == nil, test.whole, "%v", err)
		})
	}
}
