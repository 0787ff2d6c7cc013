package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"

	"github.com/boragehead/boragehead/internal/reserver"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLarge means that an event did not end within maxEventBytes.
var errEventTooLarge = errors.New("an event exceeds 1 MiB")

// readEvent reads up to and including the next blank line. At the end of the body
// it returns the remaining bytes with io.EOF, whether or not that is the end of the
// stream. If reading fails, it returns the incomplete event with another error.
func readEvent(reader *bufio.Reader, memory *reserver.Reservation) ([]byte, error) {
	var event []byte
	held := memory.Held()
	for {
		line, err := reader.ReadSlice('\n')
		size := len(event) + len(line)
		switch {
		case size > maxEventBytes:
			return event, errEventTooLarge
		case !memory.TryGrow(held + int64(size-size%reserver.StepBytes)):
			return event, reserver.ErrExhausted
		}
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		}
	}
}

// eventID returns the id field of an event, or an empty string if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// eventFollows reports whether the event with an id comes after the one with the
// last id. Ids that are not numbers are assumed to arrive in order.
func eventFollows(id, last string) bool {
	next, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	before, err := strconv.ParseInt(last, 10, 64)
	return err != nil || next > before
}
