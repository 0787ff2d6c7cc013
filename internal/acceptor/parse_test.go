package acceptor_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/acceptor"
)

// FuzzParseCompletion checks that the parser accepts only valid JSON and returns
// plausible sizes for it.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"when"}],"max_tokens":5,"stream":true}`))
	f.Add([]byte(`{"model":"m","prompt":["a","b"],"n":3,"max_completion_tokens":9}`))
	f.Add([]byte(`{"model":"m","messages":[],"max_tokens":-1}`))
	f.Add([]byte(`{"model":1}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, err := acceptor.ParseCompletion(body)
		if err != nil {
			return
		}
		assert.Assert(t, json.Valid(body))
		assert.Assert(t, parsed.Work.Model != "")
		assert.Assert(t, parsed.Work.OutputTokens >= 0)
		assert.Assert(t, parsed.PrefixSize >= 0 && parsed.PromptSize > 0)
	})
}

// TestPrefixIsSharedWithinConversation checks that requests of one conversation
// have the same prefix, and those of another conversation have not.
func TestPrefixIsSharedWithinConversation(t *testing.T) {
	prefix := func(system, question string) uint64 {
		body := fmt.Sprintf(`{"model":"m","messages":[{"content":%q},{"content":%q}]}`, system, question)
		parsed, err := acceptor.ParseCompletion([]byte(body))
		assert.NilError(t, err)
		return parsed.Work.Prefix
	}
	assert.Equal(t, prefix("history", "first"), prefix("history", "second"))
	assert.Assert(t, prefix("history", "first") != prefix("another", "first"))
}

// ExampleParseCompletion shows that an error names the invalid field.
func ExampleParseCompletion() {
	_, err := acceptor.ParseCompletion([]byte(`{"model":"m","messages":[],"max_tokens":0}`))
	fmt.Println(err)
	// Output: max_tokens: 0 is not allowed: use 1 to 1048576
}
