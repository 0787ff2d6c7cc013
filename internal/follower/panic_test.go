package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/messenger"
)

// TestPanicLeavesInstanceThatFollowsNothing has the refresh fail. The process must end and
// start anew: one that went on would never notice a server that falls silent.
func TestPanicLeavesInstanceThatFollowsNothing(t *testing.T) {
	f, _, _ := newFollower(t)
	f.client = messenger.NewPlainClient(certifier.Identity{})
	f.controlAddresses, f.controlWatches = []string{"127.0.0.1:1"}, nil
	ended := make(chan any, 1)
	go func() {
		defer func() { ended <- recover() }()
		_ = f.Run(t.Context())
	}()
	select {
	case cause := <-ended:
		assert.Assert(t, cause != nil, "the refresh did not fail")
	case <-time.After(5 * time.Second):
		t.Fatal("the failed refresh has not ended the task")
	}
}
