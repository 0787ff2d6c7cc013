package messenger

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/decoder"
)

// silenceTimeout is how long sent bytes may stay unacknowledged before the
// kernel closes a connection, and how long a connection may be idle before the
// kernel sends keep-alive probes. A peer behind a cut link, or one that lost
// power, sends no reset.
const silenceTimeout = 3 * time.Second

// plainDialTimeout bounds the opening of a connection without TLS: two round
// trips between regions. If the first packet is lost, as while a machine
// starts, dialing again is faster than the kernel, which retransmits it after a
// second.
const plainDialTimeout = 300 * time.Millisecond

// maxHelloSize bounds an encoded helloFrame, in bytes.
const maxHelloSize = 1 << 10

// newDialer returns a dialer whose connections break when the peer stops
// responding.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Control: SetTCPUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: silenceTimeout, Interval: time.Second, Count: 3,
		},
	}
}

// SetTCPUserTimeout is a net.Dialer.Control function that limits how long sent
// bytes may stay unacknowledged.
func SetTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// helloFrame is the first frame on a connection without TLS: the identity of
// the side that opened it, in CBOR after its length in two bytes.
type helloFrame struct {
	Name string         `cbor:"n"`
	Role certifier.Role `cbor:"r"`
}

// sendHello sends this process's identity to the other side. It closes the
// connection if that fails.
func sendHello(ctx context.Context, conn net.Conn, identity certifier.Identity) (net.Conn, error) {
	body, err := cbor.Marshal(helloFrame(identity))
	if err != nil {
		return nil, trace.NewAggregate(err, conn.Close())
	}
	frame := binary.BigEndian.AppendUint16(nil, uint16(len(body)))
	if deadline, set := ctx.Deadline(); set {
		_ = conn.SetWriteDeadline(deadline)
	}
	if _, err := conn.Write(append(frame, body...)); err != nil {
		return nil, trace.NewAggregate(err, conn.Close())
	}
	return conn, nil
}

// readHello reads the identity of the other side. It waits for at most
// handshakeTimeout.
func readHello(conn net.Conn) (certifier.Identity, error) {
	var hello helloFrame
	if err := conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return certifier.Identity{}, trace.Wrap(err)
	}
	var length [2]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return certifier.Identity{}, trace.Wrap(err)
	}
	size := binary.BigEndian.Uint16(length[:])
	if size > maxHelloSize {
		return certifier.Identity{}, trace.BadParameter("hello frame of %d bytes is too large", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(conn, body); err != nil {
		return certifier.Identity{}, trace.Wrap(err)
	}
	if err := decoder.Message(body, &hello); err != nil {
		return certifier.Identity{}, trace.Wrap(err)
	}
	return certifier.Identity(hello), conn.SetReadDeadline(time.Time{})
}
