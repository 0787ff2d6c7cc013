package runner_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// transcript records the requests of a caller and their answers. Text that
// differs from run to run is replaced.
type transcript struct {
	f            *testFleet
	text         strings.Builder
	replacements []string
}

func (s *transcript) replace(old, by string) {
	s.replacements = append(s.replacements, old, by)
}

var requestID = regexp.MustCompile(`[0-9a-f]{24}`)

// shownHeaders are the answer headers that a transcript contains.
var shownHeaders = []string{"Content-Type", "Boragehead-Outcome", "Retry-After", "Location", "Idempotency-Replayed"}

func (s *transcript) send(title, method, gate, secret, path, body string, header http.Header) {
	request, err := http.NewRequest(method, "http://"+s.f.gates[gate].CallerAddress.String()+path, strings.NewReader(body))
	assert.NilError(s.f.t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(s.f.t, err)
	text, err := io.ReadAll(response.Body)
	assert.NilError(s.f.t, err)
	assert.NilError(s.f.t, response.Body.Close())
	out := &strings.Builder{}
	_, _ = fmt.Fprintf(out, "== %s\n> %s %s at %s\n> %s\n", title, method, path, gate, truncate(body))
	_, _ = fmt.Fprintf(out, "< %d\n", response.StatusCode)
	for _, name := range shownHeaders {
		if value := response.Header.Get(name); value != "" {
			_, _ = fmt.Fprintf(out, "< %s: %s\n", name, value)
		}
	}
	_, _ = fmt.Fprintf(out, "%s\n\n", strings.TrimRight(string(text), "\n"))
	shown := strings.NewReplacer(s.replacements...).Replace(out.String())
	s.text.WriteString(requestID.ReplaceAllString(shown, "REQUEST"))
}

func truncate(body string) string {
	const limit = 200
	if len(body) <= limit {
		return body
	}
	return fmt.Sprintf("%s... (%d bytes)", body[:limit], len(body))
}

// TestCallerTranscript sends valid and invalid requests and compares the
// transcript with the golden file. Run with -update to rewrite that file.
func TestCallerTranscript(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	member, _ := f.createKey("members", "")
	f.eventually("member's key works", func() error { return f.checkChat("n1", member, http.StatusOK, "") })
	f.stopByName["n2"]() // a single instance in the region north makes the transcript deterministic
	f.eventually("n2 has left the directory", func() error {
		return f.checkNotInDirectory("s1", "n2")
	})
	s := &transcript{f: f}
	s.replace(member, "KEY")
	for name, gate := range f.gates {
		s.replace(gate.CallerAddress.String(), name)
	}
	const chat = "/v1/chat/completions"
	bookingKey := http.Header{"Idempotency-Key": {"swap-1"}}
	s.send("which instances to use", "GET", "s1", member, "/v1/instances", "", nil)
	s.send("a streamed answer", "POST", "n1", member, chat, chatBody, nil)
	s.send("a whole answer", "POST", "n1", member, chat, strings.Replace(chatBody, `"stream":true,`, "", 1), nil)
	s.send("a booking", "POST", "n1", member, "/swaps", `{"cylinder":1}`, bookingKey)
	s.send("the same booking again", "POST", "n1", member, "/swaps", `{"cylinder":1}`, bookingKey)
	s.send("another booking under its key", "POST", "n1", member, "/swaps", `{"cylinder":2}`, bookingKey)
	s.send("bound work elsewhere", "POST", "s1", member, chat, chatBody, nil)
	s.send("an open route", "POST", "n1", "", "/hours", "{}", nil)
	s.send("no key", "POST", "n1", "", chat, chatBody, nil)
	s.send("a malformed key", "POST", "n1", "secret", chat, chatBody, nil)
	s.send("an unknown key", "POST", "n1", "bh-"+strings.Repeat("A", 43), chat, chatBody, nil)
	s.send("an unknown route", "POST", "n1", member, "/nothing", "{}", nil)
	s.send("an unknown model", "POST", "n1", member, chat, strings.Replace(chatBody, `"m"`, `"other"`, 1), nil)
	s.send("broken JSON", "POST", "n1", member, chat, `{"model":`, nil)
	s.send("no messages", "POST", "n1", member, chat, `{"model":"m"}`, nil)
	s.send("a wrong limit", "POST", "n1", member, chat, `{"model":"m","messages":[],"max_tokens":0}`, nil)
	s.send("a cost above the burst", "POST", "n1", member, chat, `{"model":"m","messages":[],"max_tokens":1048576}`, nil)
	s.send("a body that is too large", "POST", "n1", member, chat, strings.Repeat("x", 65<<10), nil)
	s.send("a header that is too large", "POST", "n1", member, chat, chatBody, http.Header{"X-Large": {strings.Repeat("x", 40<<10)}})
	s.send("a wrong method", "GET", "n1", member, chat, "", nil)
	golden.Assert(t, s.text.String(), "session.golden")
}

// checkNotInDirectory checks that an instance's directory does not list another.
func (f *testFleet) checkNotInDirectory(at, gone string) error {
	response, err := http.Get("http://" + f.gates[at].CallerAddress.String() + "/v1/instances")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && strings.Contains(string(text), gone) {
		err = fmt.Errorf("%s is listed", gone)
	}
	return err
}
