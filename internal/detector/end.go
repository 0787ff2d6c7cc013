package detector

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
)

// End is how a server's connection ended under an attempt.
type End string

// The ends of a connection.
const (
	// EndedInOrder means that the connection did not end the attempt.
	EndedInOrder   End = ""
	EndedByReset   End = "reset"
	EndedByClose   End = "closed"
	EndedByTimeout End = "timeout"
	EndedOtherwise End = "other"
)

// EndOf returns how a connection ended, given the error of the attempt.
func EndOf(err error) End {
	var timeout net.Error
	switch {
	case err == nil:
		return EndedInOrder
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, context.Canceled):
		return EndedByTimeout
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return EndedByReset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return EndedByClose
	case strings.Contains(err.Error(), "server closed idle connection"): // net/http does not export this error
		return EndedByClose
	}
	return EndedOtherwise
}

// IsAbrupt reports whether the server has closed or reset the connection before
// its response was complete.
func (e End) IsAbrupt() bool {
	return e == EndedByReset || e == EndedByClose
}
