package runner

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFallbackGetsPathUnchanged(t *testing.T) {
	respondWith := func(text string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, text+" "+r.URL.Path)
		})
	}
	p := exactMux{handlersByPath: map[string]http.Handler{"/v1/health": respondWith("health")}, fallback: respondWith("other")}
	cases := []struct {
		method, path, want string
	}{
		{http.MethodGet, "/v1/health", "health /v1/health"},
		{http.MethodPost, "/v1/health", "other /v1/health"},
		{http.MethodGet, "/depots//a/../b", "other /depots//a/../b"},
		{http.MethodPost, "//v1/health/", "other //v1/health/"},
	}
	for _, c := range cases {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			answer := httptest.NewRecorder()
			request := httptest.NewRequest(c.method, "http://gate/", nil)
			request.URL.Path = c.path
			p.ServeHTTP(answer, request)
			assert.Equal(t, answer.Code, http.StatusOK)
			assert.Equal(t, answer.Body.String(), c.want)
		})
	}
}
