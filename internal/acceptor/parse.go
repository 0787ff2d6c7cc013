package acceptor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// maxOutputTokens is the largest output limit that a request may set.
const maxOutputTokens = 1 << 20

// completion holds the fields of a chat or text completion request that the
// gateway reads. The body is forwarded unchanged, with all other fields.
type completion struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
}

// ParsedCompletion is a completion request with its sizes in bytes. The token
// counts in Work that depend on these sizes are not set.
type ParsedCompletion struct {
	Work exchanger.Work
	// PromptSize is the size of the prompt. PrefixSize is the size of the part
	// that later requests are likely to repeat.
	PromptSize int
	PrefixSize int
	// Limited is true if the request limits its output. Work.OutputTokens is
	// 0 otherwise.
	Limited bool
}

// ParseCompletion parses the body of a completion request. Errors name the invalid
// field and are returned to the caller of the gateway.
func ParseCompletion(body []byte) (ParsedCompletion, error) {
	var request completion
	if err := json.Unmarshal(body, &request); err != nil {
		return ParsedCompletion{}, fmt.Errorf("not a JSON object of the expected form: %w", err)
	}
	if request.Model == "" {
		return ParsedCompletion{}, fmt.Errorf("model: must name a model")
	}
	prompt := request.Messages
	if prompt == nil {
		prompt = request.Prompt
	}
	if len(prompt) == 0 || bytes.Equal(prompt, []byte("null")) {
		return ParsedCompletion{}, fmt.Errorf("messages: must not be empty")
	}
	output, limited, err := outputLimit(request)
	if err != nil {
		return ParsedCompletion{}, err
	}
	prefix := sharedPrefix(request.Messages, prompt)
	return ParsedCompletion{
		Work: exchanger.Work{
			Model: request.Model, Stream: request.Stream, OutputTokens: output,
			Prefix: xxhash.Sum64(prefix),
		},
		PromptSize: len(prompt),
		PrefixSize: len(prefix),
		Limited:    limited,
	}, nil
}

// outputLimit returns the most output tokens of all choices together. limited is
// false if the request sets no limit.
func outputLimit(request completion) (limit int64, limited bool, err error) {
	requested := request.MaxCompletionTokens
	field := "max_completion_tokens"
	if requested == nil {
		requested = request.MaxTokens
		field = "max_tokens"
	}
	if requested == nil {
		return 0, false, nil
	}
	if *requested < 1 || *requested > maxOutputTokens {
		return 0, false, fmt.Errorf("%s: %d is not allowed: use 1 to %d", field, *requested, maxOutputTokens)
	}
	choices := int64(1)
	if request.N != nil {
		choices = *request.N
	}
	if choices < 1 || choices > math.MaxInt8 {
		return 0, false, fmt.Errorf("n: %d is not allowed: use 1 to %d", choices, math.MaxInt8)
	}
	return *requested * choices, true, nil
}

// sharedPrefix returns the part of a prompt that later requests are likely to
// repeat: the first of several messages, which the next request of the same
// conversation starts with, or else at most the first 256 bytes.
func sharedPrefix(messages, prompt json.RawMessage) []byte {
	var messageList []json.RawMessage
	if err := json.Unmarshal(messages, &messageList); err != nil || len(messageList) < 2 {
		const maxPrefix = 256
		return prompt[:min(len(prompt), maxPrefix)]
	}
	return messageList[0]
}
