package matcher

import (
	"errors"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead means that the head of a response cannot be relied on. Its body may be
// another one than the server meant: a field like "Content-Length " frames nothing.
var ErrMalformedHead = errors.New("the head of the response is malformed")

// maxStatus is the highest status that HTTP defines a class for.
const maxStatus = 599

// CheckHead returns ErrMalformedHead for a final response whose status or header fields no
// HTTP server may send. net/http passes on such responses.
func CheckHead(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return ErrMalformedHead
	}
	for name, values := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrMalformedHead
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return ErrMalformedHead
			}
		}
	}
	return nil
}
