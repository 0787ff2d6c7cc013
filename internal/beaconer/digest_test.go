package beaconer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/decoder"
	"github.com/boragehead/boragehead/internal/placer"
)

// earlierLoad and earlierDigest are what releases before slowdowns decode.
type earlierLoad struct {
	_                         struct{} `cbor:",toarray"`
	Running                   int32
	PrefillTokens             int64
	MemoryTokens, PrefillRate int64
	EjectedBy                 int32
}

type earlierDigest struct {
	Complete bool                   `cbor:"c,omitempty"`
	Loads    map[string]earlierLoad `cbor:"l,omitempty"`
}

// TestDigestOfAnotherRelease guards against digests and loads that instances of an earlier
// release cannot decode, or theirs that cannot be decoded here, while a fleet is updated.
func TestDigestOfAnotherRelease(t *testing.T) {
	sums := map[string]placer.Load{
		"busy": {Running: 2, PrefillTokens: 900, Slowdown: 250, SlowdownAge: 40}, "idle": {Slowdown: 90}, "plain": {Running: 1},
	}
	loads, slowdowns := SplitSlowdowns(sums)
	sent := Digest{Complete: true, Loads: PackLoads(loads), Slowdowns: slowdowns}
	data, err := cbor.Marshal(sent)
	assert.NilError(t, err)

	var earlier earlierDigest
	assert.NilError(t, decoder.Message(data, &earlier))
	assert.Equal(t, len(earlier.Loads), 2)
	assert.Equal(t, earlier.Loads["busy"], earlierLoad{Running: 2, PrefillTokens: 900})

	var received Digest
	assert.NilError(t, decoder.Message(data, &received))
	assert.DeepEqual(t, received.SlowdownLoads(), map[string]placer.Load{"busy": {Slowdown: 250, SlowdownAge: 40}, "idle": {Slowdown: 90}})

	data, err = cbor.Marshal(earlier)
	assert.NilError(t, err)
	received = Digest{}
	assert.NilError(t, decoder.Message(data, &received))
	assert.Equal(t, received.Loads["busy"].Load(), placer.Load{Running: 2, PrefillTokens: 900})
	assert.Equal(t, len(received.SlowdownLoads()), 0)

	// A load without a slowdown is encoded as before.
	data, err = cbor.Marshal(placer.Load{Running: 1})
	assert.NilError(t, err)
	assert.DeepEqual(t, data, []byte{0xa3, 0x61, 'r', 1, 0x61, 'p', 0, 0x61, 'm', 0})
}
