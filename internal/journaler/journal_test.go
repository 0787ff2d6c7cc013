package journaler_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragehead/boragehead/internal/imitator"
	"github.com/boragehead/boragehead/internal/journaler"
)

// TestSyncedBatchesSurviveCrashes appends and compacts while the machine
// crashes at any step, and compares what a restart reads with a naive list:
// it is what was confirmed, or that with the one operation under way.
func TestSyncedBatchesSurviveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := imitator.NewDisk(rapid.Uint64().Draw(t, "seed"))
		var confirmed, attempted []string
		for life := range rapid.IntRange(1, 8).Draw(t, "lives") {
			journal, contents, err := journaler.Open(disk, "log")
			assert.NilError(t, err)
			got := listed(contents)
			if !slices.Equal(got, attempted) {
				assert.DeepEqual(t, got, confirmed)
			}
			disk.CrashAfter(rapid.IntRange(0, 30).Draw(t, "fuse"))
			confirmed, attempted = useUntilCrash(t, journal, life, got)
			disk.Restart()
		}
	})
}

func listed(contents journaler.Contents) []string {
	var got []string
	if contents.Snapshot != nil {
		got = append(got, string(contents.Snapshot))
	}
	for _, batch := range contents.Batches {
		got = append(got, string(batch))
	}
	return got
}

// useUntilCrash returns what was confirmed, and that with the operation that
// the crash cut off.
func useUntilCrash(t *rapid.T, journal *journaler.Journal, life int, confirmed []string) (kept, attempted []string) {
	for number := 0; ; number++ {
		name := fmt.Sprintf("%d-%d", life, number)
		next := append(slices.Clone(confirmed), name)
		var err error
		if rapid.IntRange(0, 4).Draw(t, "compact") == 0 {
			next = []string{"snapshot " + name, name}
			err = journal.Compact([]byte(next[0]), []byte(name))
		} else {
			err = journal.Append([]byte(name))
		}
		if err != nil {
			return confirmed, next
		}
		confirmed = next
	}
}

// TestChangedBytesAreNoticed flips a byte of a batch that is not the last.
func TestChangedBytesAreNoticed(t *testing.T) {
	folder, err := journaler.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	journal, _, err := journaler.Open(folder, "log")
	assert.NilError(t, err)
	assert.NilError(t, journal.Append([]byte("first")))
	assert.NilError(t, journal.Append([]byte("second")))
	assert.NilError(t, journal.Close())
	text, err := folder.Read("log.log-0")
	assert.NilError(t, err)
	text[9] ^= 1
	assert.NilError(t, folder.Replace("log.log-0", text))
	_, _, err = journaler.Open(folder, "log")
	assert.Assert(t, errors.Is(err, journaler.ErrCorrupt), "got %v", err)
}

// TestTornTailIsCut writes half a batch after a whole one.
func TestTornTailIsCut(t *testing.T) {
	folder, err := journaler.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	journal, _, err := journaler.Open(folder, "log")
	assert.NilError(t, err)
	assert.NilError(t, journal.Append([]byte("whole")))
	assert.NilError(t, journal.Close())
	text, err := folder.Read("log.log-0")
	assert.NilError(t, err)
	assert.NilError(t, folder.Replace("log.log-0", append(text, text[:len(text)-1]...)))
	journal, contents, err := journaler.Open(folder, "log")
	assert.NilError(t, err)
	assert.Equal(t, len(contents.Batches), 1)
	assert.Equal(t, contents.Torn, int64(len(text)-1))
	assert.NilError(t, journal.Append([]byte("next")))
	_, contents, err = journaler.Open(folder, "log")
	assert.NilError(t, err)
	assert.Equal(t, len(contents.Batches), 2)
}
