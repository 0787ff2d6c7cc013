package sender_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/sender"
	"github.com/boragehead/boragehead/internal/tracker"
)

// TestStreamGoesOnAtRestartedServer has the server of a stream break off and come back at
// its address with another software version, of which its announcements do not tell yet.
// What two versions write does not fit together.
func TestStreamGoesOnAtRestartedServer(t *testing.T) {
	tests := []struct {
		name     string
		versions []string // of the answers to the first request and to the resumed one
		restart  bool     // a later start has announced itself
		goesOn   bool
	}{
		{"same version", []string{"v1", "v1"}, false, true},
		{"other version", []string{"v1", "v2"}, false, false},
		{"version not told any more", []string{"v1", ""}, false, false},
		{"version told only now", []string{"", "v1"}, false, false},
		{"never told", []string{"", ""}, false, true},
		{"never told, and started again", []string{"", ""}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			requests := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				version, first, last := test.versions[min(requests, 1)], 1+3*min(requests, 1), 3+3*min(requests, 1)
				requests++
				id := r.Header.Get(exchanger.HeaderRequestID)
				w.Header().Set(exchanger.HeaderRequestID, id)
				w.Header().Set("Content-Type", "text/event-stream")
				if version != "" {
					w.Header().Set("Boragehead-Server-Version", version)
				}
				for number := first; number <= last; number++ {
					_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: \"piece %d\"\n\n", id, number, number)
				}
				_ = http.NewResponseController(w).Flush()
				if first == 1 {
					panic(http.ErrAbortHandler)
				}
				_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: [DONE]\n\n", id, last+1)
			}))
			t.Cleanup(server.Close)
			f := &fakeDependencies{servers: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}}
			if test.restart {
				f.announced = map[string]tracker.Announcement{"s0": {Name: "s0", Incarnation: 2}}
			}
			x, writer := newExchange(streamedRequest, false)
			assert.Assert(t, sender.New(f, f, f, f, 1).Handle(context.Background(), x) == nil)
			body := writer.Body.String()
			assert.Assert(t, strings.Contains(body, "piece 3"))
			assert.Equal(t, strings.Contains(body, "piece 4"), test.goesOn, "%s", body)
			assert.Equal(t, strings.Contains(body, "[DONE]"), test.goesOn)
			assert.Equal(t, x.Result.StreamError == nil, test.goesOn)
		})
	}
}
