package runner

import (
	"net"
	"net/netip"

	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/conductor"
)

// Shares of the process's descriptors that the connections of a port may have. A caller's
// request takes a second descriptor, to its server. What the shares of a process leave is for
// its files and the connections that it opens itself.
const (
	shareCallers     = 9. / 32
	shareBackends    = 8. / 32
	shareGatePeers   = 4. / 32
	shareKeeperPeers = 24. / 32
	shareOperators   = 4. / 32
)

// maxHeaderBytes is the limit at which net/http itself rejects a header. The
// acceptor has a lower limit, whose error answer has the gateway's format.
const maxHeaderBytes = 1 << 20

// listenPeers opens the port for other processes.
func listenPeers(address netip.AddrPort, resources *conductor.Resources, share float64) (net.Listener, error) {
	listener, err := conductor.Listen(address.String())
	if err != nil {
		return nil, trace.Wrap(err, "peer-address")
	}
	listener.Limits = resources.Port("peers", share).Secure()
	return listener, nil
}
