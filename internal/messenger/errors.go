package messenger

import (
	"errors"

	"github.com/gravitational/trace"
)

// registered maps the codes of errors that keep their sentinel over a call.
var registered = map[string]error{}

// RegisterError lets a sentinel survive a call under a stable code. Call it
// from package variables only.
func RegisterError(code string, sentinel error) error {
	registered[code] = sentinel
	return sentinel
}

func codeOf(err error) string {
	for code, sentinel := range registered {
		if errors.Is(err, sentinel) {
			return code
		}
	}
	return ""
}

func errorOf(answer answerFrame) error {
	if sentinel, known := registered[answer.Code]; known {
		return trace.Wrap(sentinel, answer.Error)
	}
	return trace.Errorf("%s", answer.Error)
}
