package beaconer

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/placer"
)

// TestBeaconWithManyServersIsReceived sends the loads of many servers, as when an instance has
// ejected hundreds of entries that lead nowhere, one of them with an odd name. Its neighbours
// must still hear it.
func TestBeaconWithManyServersIsReceived(t *testing.T) {
	address := func(last byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 185, byte(os.Getpid()), last}), 7300)
	}
	sender, err := Listen(address(1))
	assert.NilError(t, err)
	receiver, err := Listen(address(2))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	received := make(chan Beacon, 1)
	go func() { ended <- sender.Run(ctx, func(time.Time, Beacon) {}) }()
	go func() { ended <- receiver.Run(ctx, func(_ time.Time, beacon Beacon) { received <- beacon }) }()
	loads := map[string]placer.Load{"\xff": {EjectedBy: 1}}
	for i := range 1200 {
		loads[fmt.Sprintf("i-%08x", i)] = placer.Load{EjectedBy: 1}
	}
	assert.NilError(t, sender.Send(Beacon{Instance: Instance{Name: "a"}, Sequence: 1, Loads: loads}, address(2)))
	select {
	case beacon := <-received:
		assert.Equal(t, len(beacon.Loads), len(loads))
	case <-time.After(2 * time.Second):
		t.Error("the beacon was not received")
	}
	cancel()
	assert.NilError(t, <-ended)
	assert.NilError(t, <-ended)
}
