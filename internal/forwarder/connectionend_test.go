package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/detector"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/quarantiner"
)

func TestConnectionEnds(t *testing.T) {
	tests := []struct {
		err    error
		want   detector.End
		abrupt bool
	}{
		{nil, detector.EndedInOrder, false},
		{fmt.Errorf("read: %w", syscall.ECONNRESET), detector.EndedByReset, true},
		{syscall.EPIPE, detector.EndedByReset, true},
		{io.EOF, detector.EndedByClose, true},
		{fmt.Errorf("body: %w", io.ErrUnexpectedEOF), detector.EndedByClose, true},
		{errEndedWithinEvent, detector.EndedByClose, true},
		{errors.New("http: server closed idle connection"), detector.EndedByClose, true},
		{os.ErrDeadlineExceeded, detector.EndedByTimeout, false},
		{syscall.ETIMEDOUT, detector.EndedByTimeout, false},
		{context.Canceled, detector.EndedByTimeout, false},
		{errors.New("malformed HTTP response"), detector.EndedOtherwise, false},
	}
	for _, test := range tests {
		assert.Equal(t, connectionEndOf(test.err), test.want, "%v", test.err)
		assert.Equal(t, connectionEndOf(test.err).IsAbrupt(), test.abrupt, "%v", test.err)
	}
}

// TestLastPartIsNotShared guards against accusing parts that no other request can
// have.
func TestLastPartIsNotShared(t *testing.T) {
	parts := []placer.PromptPart{{ID: 0xab}, {ID: 2}, {ID: 3}}
	assert.DeepEqual(t, sharedParts(placer.Work{Parts: parts}), []uint64{0xab, 2})
	assert.Equal(t, quarantiner.Traits{Parts: sharedParts(placer.Work{Parts: parts})}.PartNames(), "ab,2")
	assert.Equal(t, len(sharedParts(placer.Work{Parts: parts[:1]})), 0)
}
