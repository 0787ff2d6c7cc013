package keeper

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/journaler"
	"github.com/boragehead/boragehead/internal/tabler"
	"github.com/boragehead/boragehead/internal/watcher"
)

// TestOddKeyWithdrawalStopsReaders withdraws keys whose ids no key has. They would go into
// every answer to a watch, which no instance can decode then, and into the journal, so that
// this would hold after every start.
func TestOddKeyWithdrawalStopsReaders(t *testing.T) {
	disk, err := journaler.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	store, err := openRevocationStore(disk)
	assert.NilError(t, err)
	added, err := store.add("sound")
	assert.NilError(t, err)
	assert.Assert(t, added)
	for _, id := range []string{"\xff", strings.Repeat("k", 10<<10), ""} {
		_, err := store.add(id)
		assert.ErrorIs(t, err, tabler.ErrUnknown)
		// One of an earlier release has written it.
		assert.NilError(t, store.journal.Append([]byte(id+"\xfe")))
	}
	reopened, err := openRevocationStore(disk)
	assert.NilError(t, err)
	assert.DeepEqual(t, reopened.all(), []string{"sound"})
	data, err := cbor.Marshal(watcher.Update{Revoked: reopened.all()})
	assert.NilError(t, err)
	var answer watcher.Update
	assert.NilError(t, cbor.Unmarshal(data, &answer))
}
