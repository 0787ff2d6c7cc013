package forwarder

import (
	"net/http"
	"net/url"
	"strings"
)

// sentPath returns the path of a request as its caller sent it. URL.Path is decoded, so that a
// slash within a segment looks like one between two.
func sentPath(r *http.Request) string {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") { // in absolute form, or none, as in tests
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// keepPath makes a URL have the path on the wire that a caller sent. net/http would encode what
// RFC 3986 does not allow.
func keepPath(address *url.URL, path string) {
	if path != address.EscapedPath() && strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		address.Opaque = path
	}
}
