package conductor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestDrainBesideBusyGoroutinesResetsNoConnection drains listeners while callers connect
// in a loop and Accept gets the processor late.
func TestDrainBesideBusyGoroutinesResetsNoConnection(t *testing.T) {
	const drains, atOnce, callers, busyGoroutines = 48, 8, 6, 3
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range busyGoroutines {
		go func() {
			for ctx.Err() == nil {
			}
		}()
	}
	var resets atomic.Int64
	for range drains / atOnce {
		var draining sync.WaitGroup
		for range atOnce {
			draining.Go(func() { drainBesideCallers(t, callers, &resets) })
		}
		draining.Wait()
	}
	assert.Equal(t, resets.Load(), int64(0), "connections that callers had opened were reset")
}

// drainBesideCallers closes a port while callers connect in a loop, until it refuses
// them.
func drainBesideCallers(t *testing.T, callers int, resets *atomic.Int64) {
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}
	port, err := NewPort(server, "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return
	}
	go func() { _ = server.Serve(port.Listener) }() // returns when the port is closed
	var calling sync.WaitGroup
	for range callers {
		calling.Go(func() {
			for callOnce(port.Listener.Addr().(*net.TCPAddr), resets) {
			}
		})
	}
	time.Sleep(5 * time.Millisecond)
	if err := port.Close(t.Context(), 0); err != nil {
		t.Error(err)
	}
	calling.Wait()
}

// callOnce makes a request on a connection of its own, with system calls that block, so
// that it does not need the scheduler to connect. It returns false if the port is closed.
func callOnce(address *net.TCPAddr, resets *atomic.Int64) bool {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		return false
	}
	defer func() { _ = unix.Close(socket) }()
	err = unix.Connect(socket, &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())})
	if errors.Is(err, unix.ECONNREFUSED) {
		return false
	}
	if err == nil {
		_, err = unix.Write(socket, []byte("GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"))
	}
	buffer := make([]byte, 1<<10)
	for n := 1; err == nil && n > 0; {
		n, err = unix.Read(socket, buffer)
	}
	if err != nil {
		resets.Add(1)
	}
	return err == nil
}
