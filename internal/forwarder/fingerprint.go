package forwarder

import "github.com/boragehead/boragehead/internal/quarantiner"

// fingerprint identifies what a caller asks for: two calls have the same one if their
// method, host, path with query, workspace and body are the same, whatever ids, keys and
// other headers they have. The body must have been read.
//
// Both instances of a relay find the same one, since a relay changes none of this.
func fingerprint(call *Call) uint64 {
	workspace := ""
	if call.Workspace != nil {
		workspace = call.Workspace.Name
	}
	return quarantiner.HashRequest(call.Body, call.Request.Method, call.Request.Host, call.Request.URL.RequestURI(), workspace)
}
