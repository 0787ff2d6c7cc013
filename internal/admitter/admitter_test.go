package admitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func entry(id uint64, urgency int, workspace string) Entry {
	return Entry{ID: id, Service: "engines", Urgency: urgency, Workspace: workspace, Tokens: 1000, LeaveBy: start.Add(time.Second)}
}

// leave lets up to a number of requests leave and returns them in their order.
func leave(r *Room, now time.Time, most int) (left []uint64) {
	r.Heads(now, func(id uint64) bool {
		if len(left) == most {
			return false
		}
		left = append(left, id)
		return true
	})
	return left
}

// TestOrderOfWaitingRequests guards against a workspace whose burst goes before another
// one's usual requests, and against urgent requests behind less urgent ones.
func TestOrderOfWaitingRequests(t *testing.T) {
	cases := []struct {
		name    string
		entries []Entry
		want    []uint64
	}{
		{"first come", []Entry{entry(1, 2, "a"), entry(2, 2, "a"), entry(3, 2, "a")}, []uint64{1, 2, 3}},
		{"urgent first", []Entry{entry(1, 2, "a"), entry(2, 0, "a"), entry(3, 1, "a")}, []uint64{2, 3, 1}},
		{"burst of one workspace", []Entry{entry(1, 2, "hot"), entry(2, 2, "hot"), entry(3, 2, "hot"), entry(4, 2, "b")}, []uint64{1, 4, 2, 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r Room
			for _, e := range c.entries {
				assert.Assert(t, r.Add(start, e))
			}
			assert.DeepEqual(t, leave(&r, start, 10), c.want)
			assert.Equal(t, r.Len(), 0)
		})
	}
}

// TestRequestsThatCannotLeaveInTimeAreRefused lets 10 requests a second leave while 100
// come. It guards against requests that are kept until they have to leave although the
// ones before them take longer, and against refusals after a time in which few came.
func TestRequestsThatCannotLeaveInTimeAreRefused(t *testing.T) {
	var r Room
	now := start
	added, refused, left, expired := 0, 0, 0, 0
	for id := range uint64(500) {
		now = now.Add(10 * time.Millisecond)
		e := entry(id, 2, "a")
		e.LeaveBy = now.Add(500 * time.Millisecond)
		if r.Add(now, e) {
			added++
		} else {
			refused++
		}
		if id%10 == 0 {
			left += len(leave(&r, now, 1))
		}
		expired += len(r.Expire(now))
	}
	assert.Equal(t, added, left+expired+r.Len())
	assert.Assert(t, left >= 45, "%d left", left)
	assert.Assert(t, refused >= 5*expired, "%d were refused at once and %d waited in vain", refused, expired)

	var calm Room
	for id := range uint64(100) {
		assert.Assert(t, calm.Add(start.Add(time.Duration(id)*time.Millisecond), entry(id, 2, "a")))
		assert.Equal(t, len(leave(&calm, start.Add(time.Duration(id)*time.Millisecond), 1)), 1)
	}
	burst := start.Add(200 * time.Millisecond)
	for id := range uint64(50) {
		assert.Assert(t, calm.Add(burst, entry(1000+id, 2, "a")), "request %d of a burst after a calm time is refused", id)
	}
}

// TestCallerThatLeavesFreesItsPlace guards against places that stay taken.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	var r Room
	for id := range uint64(maxWaiting) {
		assert.Assert(t, r.Add(start, entry(id, 2, "a")))
	}
	assert.Assert(t, !r.Add(start, entry(maxWaiting, 2, "a")))
	assert.Assert(t, r.Remove(start, 7))
	assert.Assert(t, !r.Remove(start, 7))
	assert.Assert(t, r.Add(start, entry(maxWaiting, 2, "a")))
	assert.Equal(t, len(r.Expire(start.Add(time.Second))), maxWaiting)
	assert.Equal(t, r.Len(), 0)
}

// TestUrgentRequestThatCannotLeaveHoldsBackOthers guards against less urgent requests that
// take what becomes free before an urgent one of the same service, and against services
// that wait for each other.
func TestUrgentRequestThatCannotLeaveHoldsBackOthers(t *testing.T) {
	var r Room
	other := entry(3, 2, "a")
	other.Service = "other"
	for _, e := range []Entry{entry(1, 0, "a"), entry(2, 2, "a"), other} {
		assert.Assert(t, r.Add(start, e))
	}
	var tried []uint64
	r.Heads(start, func(id uint64) bool {
		tried = append(tried, id)
		return id == other.ID
	})
	assert.DeepEqual(t, tried, []uint64{1, 3})
	assert.Equal(t, r.Len(), 2)
}
