package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
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

// TestSilentServerIsGivenUp guards against connections that end while a sound server is silent
// for a second or so: neither unacknowledged data nor keep-alive probes may end them before two
// seconds have passed.
func TestSilentServerIsGivenUp(t *testing.T) {
	const longestSilence = 2 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	for _, timeout := range []time.Duration{serverAckTimeout, relayAckTimeout} {
		conn, err := newDialer(timeout).Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		raw, err := conn.(*net.TCPConn).SyscallConn()
		assert.NilError(t, err)
		options := map[int]int{unix.TCP_USER_TIMEOUT: 0, unix.TCP_KEEPIDLE: 0, unix.TCP_KEEPINTVL: 0, unix.TCP_KEEPCNT: 0}
		assert.NilError(t, raw.Control(func(descriptor uintptr) {
			for option := range options {
				value, err := unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, option)
				assert.Check(t, err == nil)
				options[option] = value
			}
		}))
		unacknowledged := time.Duration(options[unix.TCP_USER_TIMEOUT]) * time.Millisecond
		idle := time.Duration(options[unix.TCP_KEEPIDLE]+options[unix.TCP_KEEPINTVL]*options[unix.TCP_KEEPCNT]) * time.Second
		assert.Check(t, unacknowledged > longestSilence && idle > longestSilence, "%v, %v", unacknowledged, idle)
		assert.NilError(t, conn.Close())
	}
}
