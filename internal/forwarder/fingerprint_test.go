package forwarder

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
)

// TestFingerprintNamesWholeRequest checks what makes two requests the same one.
func TestFingerprintNamesWholeRequest(t *testing.T) {
	newCall := func(method, uri, workspace, body string) *Call {
		call := &Call{ID: "a", Request: httptest.NewRequest(method, "http://gateway"+uri, strings.NewReader(body)), Body: []byte(body)}
		if workspace != "" {
			call.Workspace = &definer.Workspace{Name: workspace}
		}
		return call
	}
	original := newCall("POST", "/a?x=1", "one", "body")
	tests := []struct {
		name  string
		other *Call
		same  bool
	}{
		{"again", newCall("POST", "/a?x=1", "one", "body"), true},
		{"other path", newCall("POST", "/b?x=1", "one", "body"), false},
		{"other query", newCall("POST", "/a?x=2", "one", "body"), false},
		{"other workspace", newCall("POST", "/a?x=1", "two", "body"), false},
		{"no workspace", newCall("POST", "/a?x=1", "", "body"), false},
		{"other body", newCall("POST", "/a?x=1", "one", "bodies"), false},
		{"no body", newCall("POST", "/a?x=1", "one", ""), false},
		{"other method", newCall("PUT", "/a?x=1", "one", "body"), false},
		{"bytes moved between fields", newCall("POST", "/a?x=1", "onebo", "dy"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.other.ID, test.other.Key = "b", "other-key"
			test.other.Request.Header.Set("Last-Event-Id", "7")
			assert.Equal(t, fingerprint(test.other) == fingerprint(original), test.same)
		})
	}
}
