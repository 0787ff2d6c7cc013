package runner

import (
	"net"
	"net/netip"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/loader"
)

// standinAddressVariable makes TestHangupAtStartEndsProcess run a stand-in.
const standinAddressVariable = "TEST_STANDIN_ADDRESS"

// TestHangupAtStartEndsProcess sends SIGHUP to processes as soon as their port is open, as an
// operator's tools do.
func TestHangupAtStartEndsProcess(t *testing.T) {
	if address := os.Getenv(standinAddressVariable); address != "" {
		assert.NilError(t, RunStandin(t.Context(), loader.Standin{
			Name: "s", Address: netip.MustParseAddrPort(address), Pools: []string{"p"},
		}))
		return
	}
	for range 10 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		process := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$")
		process.Env = append(os.Environ(), standinAddressVariable+"="+address)
		assert.NilError(t, process.Start())
		for started := time.Now(); ; {
			conn, err := net.Dial("tcp4", address)
			if err == nil {
				assert.NilError(t, conn.Close())
				break
			}
			assert.Assert(t, time.Since(started) < 10*time.Second, "not started: %v", err)
		}
		assert.NilError(t, process.Process.Signal(syscall.SIGHUP))
		time.Sleep(30 * time.Millisecond)
		assert.NilError(t, process.Process.Kill())
		assert.Assert(t, process.Wait() != nil)
		assert.Equal(t, process.ProcessState.Sys().(syscall.WaitStatus).Signal(), syscall.SIGKILL)
	}
}
