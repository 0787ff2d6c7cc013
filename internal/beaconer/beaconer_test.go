package beaconer

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/decoder"
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

// earlierDigest is what releases before slowdowns decode: loads of five numbers.
type earlierDigest struct {
	Loads map[string][5]int64 `cbor:"l,omitempty"`
}

// TestDigestOfAnotherRelease guards against digests and loads that instances of an earlier
// release cannot decode, or theirs that cannot be decoded here, while a fleet is updated.
func TestDigestOfAnotherRelease(t *testing.T) {
	loads, slowdowns := SplitSlowdowns(map[string]placer.Load{
		"busy": {Running: 2, PrefillTokens: 900, Slowdown: 250, SlowdownAge: 40}, "idle": {Slowdown: 90}, "plain": {Running: 1},
	})
	transfer := func(from, to any) {
		data, err := cbor.Marshal(from)
		assert.NilError(t, err)
		assert.NilError(t, decoder.Message(data, to))
	}
	var earlier earlierDigest
	var received, ofEarlier Digest
	sent := Digest{Loads: PackLoads(loads), Slowdowns: slowdowns}
	transfer(sent, &earlier)
	assert.DeepEqual(t, earlier.Loads, map[string][5]int64{"busy": {2, 900, 0, 0, 0}, "plain": {1, 0, 0, 0, 0}})
	transfer(sent, &received)
	assert.DeepEqual(t, received.SlowdownLoads(), map[string]placer.Load{"busy": {Slowdown: 250, SlowdownAge: 40}, "idle": {Slowdown: 90}})
	transfer(earlier, &ofEarlier)
	assert.Equal(t, ofEarlier.Loads["busy"].Load(), placer.Load{Running: 2, PrefillTokens: 900})
	// A load without a slowdown is encoded as before.
	data, err := cbor.Marshal(placer.Load{Running: 1})
	assert.NilError(t, err)
	assert.DeepEqual(t, data, []byte{0xa3, 0x61, 'r', 1, 0x61, 'p', 0, 0x61, 'm', 0})
}
