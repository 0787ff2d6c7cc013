package forwarder

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// fingerprint identifies what a caller asks for: two calls have the same one if their
// method, host, path with query, workspace and body are the same, whatever ids, keys and
// other headers they have. The body must have been read.
//
// Both instances of a relay find the same one, since a relay changes none of this.
func fingerprint(call *Call) uint64 {
	digest := xxhash.New()
	workspace := ""
	if call.Workspace != nil {
		workspace = call.Workspace.Name
	}
	request := call.Request
	for _, field := range []string{request.Method, request.Host, request.URL.RequestURI(), workspace} {
		writeField(digest, []byte(field))
	}
	writeField(digest, call.Body)
	return digest.Sum64()
}

// writeField adds a field with its length, so that no two lists of fields are the same.
func writeField(digest *xxhash.Digest, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:]) // never fails
	_, _ = digest.Write(field)
}
