package authenticator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// TestKeyInForwardedHeaderIsFound checks each place of a request that a backend server sees.
func TestKeyInForwardedHeaderIsFound(t *testing.T) {
	const secret = "bh-secret"
	tests := []struct {
		name, uri, header, body string
		want                    bool
	}{
		{"nowhere", "/a", "", "x", false},
		{"URL", "/a?key=" + secret, "", "x", true},
		{"body", "/a", "", "my key is " + secret, true},
		{"Content-Type", "/a", "Content-Type", "x", true},
		{"Accept", "/a", "Accept", "x", true},
		{"Accept-Language", "/a", "Accept-Language", "x", true},
		{"a header that is not forwarded", "/a", "X-Other", "x", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := &exchanger.Exchange{Request: httptest.NewRequest(http.MethodPost, test.uri, strings.NewReader(test.body)), Body: []byte(test.body), Secret: secret}
			if test.header != "" {
				x.Request.Header.Set(test.header, "a "+secret)
			}
			assert.Equal(t, ForwardsSecret(x), test.want)
		})
	}
}
