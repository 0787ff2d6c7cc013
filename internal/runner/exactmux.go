package runner

import "net/http"

// exactMux routes GET and HEAD requests for its paths to their handlers and
// passes all other requests to a fallback handler with their paths unchanged.
// http.ServeMux would redirect requests whose path is not clean.
type exactMux struct {
	handlersByPath map[string]http.Handler
	fallback       http.Handler
}

// ServeHTTP implements http.Handler.
func (m exactMux) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler, exact := m.handlersByPath[r.URL.Path]
	if !exact || r.Method != http.MethodGet && r.Method != http.MethodHead {
		handler = m.fallback
	}
	handler.ServeHTTP(w, r)
}
