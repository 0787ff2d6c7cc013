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
)

// silenceLimit is how long sent bytes may stay unacknowledged before the kernel
// breaks a connection. A peer behind a cut link, or one that lost power, sends
// no reset.
const silenceLimit = 3 * time.Second

// plainDialTimeout bounds the opening of a link without TLS: two round trips
// between regions. When the first packet is lost, as while a machine comes up,
// dialing anew is faster than the kernel, which repeats it after a second.
const plainDialTimeout = 300 * time.Millisecond

// maxGreeting bounds a greeting, in bytes.
const maxGreeting = 1 << 10

// newDialer returns a dialer whose connections notice a silent peer.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Control: LimitSilence,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: silenceLimit, Interval: time.Second, Count: 3,
		},
	}
}

// LimitSilence is a net.Dialer.Control function that bounds how long sent bytes
// may stay unacknowledged.
func LimitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// greeting is the first frame on a link without TLS.
type greeting struct {
	Name string         `cbor:"n"`
	Role certifier.Role `cbor:"r"`
}

// greet tells the other side who this process is.
func greet(ctx context.Context, raw net.Conn, identity certifier.Identity) (net.Conn, error) {
	body, err := cbor.Marshal(greeting(identity))
	if err != nil {
		return nil, trace.NewAggregate(err, raw.Close())
	}
	frame := binary.BigEndian.AppendUint16(nil, uint16(len(body)))
	if deadline, set := ctx.Deadline(); set {
		_ = raw.SetWriteDeadline(deadline)
	}
	if _, err := raw.Write(append(frame, body...)); err != nil {
		return nil, trace.NewAggregate(err, raw.Close())
	}
	return raw, nil
}

// meet reads who is at the other end.
func meet(raw net.Conn) (certifier.Identity, error) {
	var said greeting
	if err := raw.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return certifier.Identity{}, trace.Wrap(err)
	}
	var length [2]byte
	if _, err := io.ReadFull(raw, length[:]); err != nil {
		return certifier.Identity{}, trace.Wrap(err)
	}
	size := binary.BigEndian.Uint16(length[:])
	if size > maxGreeting {
		return certifier.Identity{}, trace.BadParameter("a greeting of %d bytes is too large", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(raw, body); err != nil {
		return certifier.Identity{}, trace.Wrap(err)
	}
	if err := cbor.Unmarshal(body, &said); err != nil {
		return certifier.Identity{}, trace.Wrap(err)
	}
	return certifier.Identity(said), raw.SetReadDeadline(time.Time{})
}
