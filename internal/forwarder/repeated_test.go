package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
)

const (
	// crashesBeforeRefusal is after how many crashes, and contactTime after the last of
	// them, a request that crashes servers may hardly reach any more.
	crashesBeforeRefusal = 3
	// maxLateRepeats is how many may even then.
	maxLateRepeats = 3
)

// TestRepeatedRequestCrashesServerAfterServer guards against a request that comes again
// whole, by the same path, caller and body, and ends a server each time: its prompt's
// parts are those of sound requests, or it has none.
func TestRepeatedRequestCrashesServerAfterServer(t *testing.T) {
	t.Parallel()
	idempotent := definer.Route{Kind: definer.KindIdempotent, Attempts: 3}
	booking := definer.Route{Kind: definer.KindAtMostOnce, Attempts: 1}
	stream := definer.Route{Kind: definer.KindStream, Attempts: 3, Resumable: true}
	tests := []struct {
		name     string
		route    definer.Route
		method   string
		body     string
		parts    string
		chunked  bool
		culprits int
	}{
		{"popular parts", idempotent, http.MethodPost, "history", "a f01 c0ffee", false, 1},
		{"no parts", idempotent, http.MethodPost, "history", "", false, 1},
		{"one part", idempotent, http.MethodPost, "history", "a", false, 1},
		{"unknown length", idempotent, http.MethodPost, "history", "a f01 c0ffee", true, 1},
		{"no body", idempotent, http.MethodGet, "", "", false, 1},
		{"booking", booking, http.MethodPost, "order", "", false, 1},
		{"stream", stream, http.MethodPost, "question", "a f01 c0ffee", false, 1},
		{"several at once", idempotent, http.MethodPost, "history", "a f01 c0ffee", false, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newCrashingFleet(t, 8, test.route, func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/bad") })
			gateway := httptest.NewServer(newCrashTestForwarder(f))
			t.Cleanup(gateway.Close)
			traffic := newRepeatedTraffic(t, gateway)
			started := time.Now()
			for step := 0; time.Since(started) < 11*time.Second; step++ {
				traffic.sendSound(step, time.Since(started) > 9*time.Second)
				if step%20 == 0 {
					for culprit := range test.culprits {
						traffic.sendCulprit(step, culprit, test.method, test.body, test.parts, test.chunked)
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			traffic.waiting.Wait()
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Assert(t, len(f.crashes) >= crashesBeforeRefusal, "only %d crashes", len(f.crashes))
			for culprit, reached := range f.reachedByPath() {
				if len(reached) < crashesBeforeRefusal {
					continue // refused sooner, with the others
				}
				late := countAfter(reached, reached[crashesBeforeRefusal-1].Add(answerTime+contactTime))
				t.Logf("%s: %d runs, %d of them late; %d crashes; %d of %d late sound requests answered",
					culprit, len(reached), late, len(f.crashes), traffic.answered, traffic.sound)
				assert.Check(t, late <= maxLateRepeats, "%s reached servers %d times later than %s after the third crash", culprit, late, contactTime)
			}
			assert.Check(t, traffic.answered*10 >= traffic.sound*9, "%d of %d sound requests answered", traffic.answered, traffic.sound)
		})
	}
}

func countAfter(times []time.Time, limit time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(limit) {
			count++
		}
	}
	return count
}

// repeatedTraffic sends sound requests and culprits to a gateway.
type repeatedTraffic struct {
	t       *testing.T
	gateway *httptest.Server
	waiting sync.WaitGroup

	mu sync.Mutex
	// sound and answered count the late sound requests.
	sound, answered int
}

func newRepeatedTraffic(t *testing.T, gateway *httptest.Server) *repeatedTraffic {
	return &repeatedTraffic{t: t, gateway: gateway}
}

// sendSound sends a request that shares its parts with the culprits, and one that many
// callers send in the same words.
func (r *repeatedTraffic) sendSound(step int, isLate bool) {
	for _, request := range []*http.Request{
		r.newRequest(http.MethodPost, "/sound", strings.NewReader(fmt.Sprint("history ", step)), fmt.Sprint("own-", step), fmt.Sprintf("a f0%x %x", step%5, 1000+step)),
		r.newRequest(http.MethodGet, "/popular", nil, fmt.Sprint("popular-", step), ""),
	} {
		r.waiting.Go(func() {
			status := r.do(request)
			if !isLate {
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.sound++
			if status == http.StatusOK {
				r.answered++
			}
		})
	}
}

// sendCulprit repeats a culprit, with an id of its own.
func (r *repeatedTraffic) sendCulprit(step, culprit int, method, body, parts string, chunked bool) {
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	if chunked {
		content = io.MultiReader(content) // hides the length
	}
	request := r.newRequest(method, fmt.Sprint("/bad-", culprit), content, fmt.Sprint("bad-", culprit, "-", step), parts)
	r.waiting.Go(func() { r.do(request) })
}

func (r *repeatedTraffic) newRequest(method, path string, body io.Reader, id, parts string) *http.Request {
	request, err := http.NewRequest(method, r.gateway.URL+path, body)
	assert.NilError(r.t, err)
	request.Host = "gateway"
	request.Header.Set("Id", id)
	request.Header.Set("Key", "key-one")
	request.Header.Set("Parts", parts)
	return request
}

// do returns the status of the response, or 0.
func (r *repeatedTraffic) do(request *http.Request) int {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
