package forwarder

import (
	"io"
	"net/http"
)

// framing is how a response marks the end of its body.
type framing string

const (
	framingLength  framing = "length"
	framingChunked framing = "chunked"
	// framingClose means that the body ends with its connection. A server that
	// stops early may then look as if it had finished.
	framingClose framing = "close"
)

func framingOf(response *http.Response) framing {
	switch {
	case response.ContentLength >= 0:
		return framingLength
	case len(response.TransferEncoding) > 0:
		return framingChunked
	}
	return framingClose
}

// receivedBody describes what arrived of the body of a call's last response.
type receivedBody struct {
	framing framing
	bytes   int64
	// events is the number of complete events, and duplicates how many of them
	// were not forwarded because the caller already had them.
	events     int
	duplicates int
	// unfinishedBytes is the size of the event within which the stream ended.
	unfinishedBytes int
}

// countingReader counts the bytes that are read from a body.
type countingReader struct {
	io.ReadCloser
	count *int64
}

func (r countingReader) Read(buffer []byte) (int, error) {
	n, err := r.ReadCloser.Read(buffer)
	*r.count += int64(n)
	return n, err
}
