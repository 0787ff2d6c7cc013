package runner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/dispatcher"
)

// TestEndlessAnnouncementKeepsConnection covers a backend server whose announcement
// never ends, before or after the JSON body.
func TestEndlessAnnouncementKeepsConnection(t *testing.T) {
	for _, start := range []string{" ", `{"server":""}`} {
		t.Run(start, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := newAnnouncementServer(nil, conductor.NewResources(0, 0, nil))
			go func() { _ = server.Serve(listener) }() // ends with the listener
			defer func() { _ = server.Close() }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST /v1/backends HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(start), start)
			assert.NilError(t, err)
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				_, _ = io.Copy(io.Discard, conn)
			}()
			deadline := time.After(announcementTimeout + 3*time.Second)
			for {
				select {
				case <-closed:
					return
				case <-deadline:
					t.Fatal("the connection is still open")
				case <-time.After(50 * time.Millisecond):
					_, _ = io.WriteString(conn, "1\r\n \r\n")
				}
			}
		})
	}
}

// announcementWith returns a sound announcement in which one field has another value.
func announcementWith(field, value string) string {
	fields := map[string]string{
		"server": `"s"`, "address": `"10.0.0.1:80"`, "pools": `["p"]`, "models": `["m"]`, "state": `"ready"`, "incarnation": `5`, "counter": `1`,
		"max-running": `8`, "load": `{"running":1,"waiting":0,"tokens":9}`, "checks-fencing": `true`,
	}
	delete(fields, field)
	var parts []string
	for name, text := range fields {
		parts = append(parts, fmt.Sprintf("%q:%s", name, text))
	}
	parts = append(parts, fmt.Sprintf("%q:%s", field, value))
	return "{" + strings.Join(parts, ",") + "}"
}

// TestOddAnnouncementIsRefused sends announcements that cannot be those of a server, and
// some that are unusual.
func TestOddAnnouncementIsRefused(t *testing.T) {
	names := func(count int) string { return "[" + strings.Repeat(`"p",`, count) + `"p"]` }
	tests := []struct {
		field, value string
		status       int
	}{
		{"server", `"s"`, 204}, {"address", `"[2001:db8::1]:80"`, 204}, {"models", `null`, 204}, {"load", `{}`, 204},
		{"counter", `18446744073709551615`, 204}, {"max-running", `1048576`, 204},
		{"server", `"` + strings.Repeat("s", 300) + `"`, 400}, {"server", `"a\nb"`, 400}, {"server", `null`, 400}, {"server", `7`, 400},
		{"address", `"10.0.0.1:0"`, 400}, {"address", `"10.0.0.1:65536"`, 400}, {"address", `"0.0.0.0:80"`, 400}, {"address", `"224.0.0.1:1"`, 400},
		{"address", `null`, 400}, {"address", `"` + strings.Repeat("1", 60<<10) + `"`, 400},
		{"pools", names(300), 400}, {"pools", `[""]`, 400}, {"pools", `["` + strings.Repeat("p", 300) + `"]`, 400}, {"pools", `{"p":1}`, 400},
		{"models", names(300), 400}, {"models", strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), 400},
		{"incarnation", `1.5`, 400}, {"incarnation", `1e400`, 400}, {"counter", `-1`, 400},
		{"max-running", `9223372036854775807`, 400}, {"max-running", `1048577`, 400}, {"max-running", `-1`, 400},
		{"load", `{"running":-1}`, 400}, {"load", `{"waiting":9223372036854775807}`, 400}, {"load", `{"tokens":9223372036854775807}`, 400},
		{"checks-fencing", `true} {"server":"t"`, 400}, {"checks-fencing", "true}\x00", 400},
	}
	server := newAnnouncementServer(dispatcher.New(), conductor.NewResources(0, 0, nil))
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s %.30s", test.field, test.value), func(t *testing.T) {
			w := httptest.NewRecorder()
			server.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/backends", strings.NewReader(announcementWith(test.field, test.value))))
			assert.Equal(t, w.Code, test.status, "%s", w.Body)
			assert.Assert(t, w.Body.Len() < 500, "the answer has %d bytes", w.Body.Len())
		})
	}
}
