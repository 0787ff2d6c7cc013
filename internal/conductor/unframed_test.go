package conductor

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCutResponseToHTTP10CallerLooksComplete has a stop end while a caller that reads slowly
// gets a response that ends with its connection.
func TestCutResponseToHTTP10CallerLooksComplete(t *testing.T) {
	port, conn, reader := startPort(t, func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 64<<10)
		for {
			if _, err := w.Write(chunk); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	})
	_, err := io.WriteString(conn, "GET / HTTP/1.0\r\nHost: test\r\n\r\n")
	assert.NilError(t, err)
	_, err = reader.ReadByte()
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, port.Close(ctx, 0), ErrRequestsCut)
	_, err = io.Copy(io.Discard, reader)
	assert.ErrorContains(t, err, "reset")
}
