package acceptor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// maxOutputTokens bounds what a request may ask for.
const maxOutputTokens = 1 << 20

// completion is the part of a chat or text completion that decisions need.
// Unknown fields are passed on untouched.
type completion struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
}

// Parsed is a completion request with its sizes in bytes.
type Parsed struct {
	Work exchanger.Work
	// PromptSize is the size of the prompt and PrefixSize that of the part
	// that later requests are likely to share.
	PromptSize int
	PrefixSize int
	// Limited means that the request itself bounds its output.
	Limited bool
}

// ParseCompletion reads a completion request. Errors name the field.
func ParseCompletion(body []byte) (Parsed, error) {
	var request completion
	if err := json.Unmarshal(body, &request); err != nil {
		return Parsed{}, fmt.Errorf("not a JSON object of the expected form: %w", err)
	}
	if request.Model == "" {
		return Parsed{}, fmt.Errorf("model: must name a model")
	}
	prompt := request.Messages
	if prompt == nil {
		prompt = request.Prompt
	}
	if len(prompt) == 0 || bytes.Equal(prompt, []byte("null")) {
		return Parsed{}, fmt.Errorf("messages: must not be empty")
	}
	output, limited, err := outputLimit(request)
	if err != nil {
		return Parsed{}, err
	}
	prefix := sharedPrefix(request.Messages, prompt)
	return Parsed{
		Work: exchanger.Work{
			Model: request.Model, Stream: request.Stream, OutputTokens: output,
			Prefix: xxhash.Sum64(prefix),
		},
		PromptSize: len(prompt),
		PrefixSize: len(prefix),
		Limited:    limited,
	}, nil
}

func outputLimit(request completion) (limit int64, limited bool, err error) {
	asked := request.MaxCompletionTokens
	field := "max_completion_tokens"
	if asked == nil {
		asked = request.MaxTokens
		field = "max_tokens"
	}
	if asked == nil {
		return 0, false, nil
	}
	if *asked < 1 || *asked > maxOutputTokens {
		return 0, false, fmt.Errorf("%s: %d is not allowed: use 1 to %d", field, *asked, maxOutputTokens)
	}
	answers := int64(1)
	if request.N != nil {
		answers = *request.N
	}
	if answers < 1 || answers > math.MaxInt8 {
		return 0, false, fmt.Errorf("n: %d is not allowed: use 1 to %d", answers, math.MaxInt8)
	}
	return *asked * answers, true, nil
}

// sharedPrefix returns the part of a prompt before its last message: the
// history that the next question of the same conversation repeats.
func sharedPrefix(messages, prompt json.RawMessage) []byte {
	var list []json.RawMessage
	if err := json.Unmarshal(messages, &list); err != nil || len(list) < 2 {
		const head = 256
		return prompt[:min(len(prompt), head)]
	}
	return list[0]
}
