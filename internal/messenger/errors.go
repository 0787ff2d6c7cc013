package messenger

import (
	"errors"

	"github.com/gravitational/trace"
)

// sentinelsByCode holds the errors that keep their identity across a call.
var sentinelsByCode = map[string]error{}

// RegisterError makes a sentinel error keep its identity across a call, under a
// code that must not change. It returns the sentinel. Call it only to
// initialize package variables: the registry is not locked.
func RegisterError(code string, sentinel error) error {
	sentinelsByCode[code] = sentinel
	return sentinel
}

func errorCode(err error) string {
	for code, sentinel := range sentinelsByCode {
		if errors.Is(err, sentinel) {
			return code
		}
	}
	return ""
}

func decodeError(answer answerFrame) error {
	if sentinel, known := sentinelsByCode[answer.Code]; known {
		return trace.Wrap(sentinel, answer.Error)
	}
	return trace.Errorf("%s", answer.Error)
}
