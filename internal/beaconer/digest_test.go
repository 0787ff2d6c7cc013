package beaconer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/decoder"
	"github.com/boragehead/boragehead/internal/placer"
)

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
