package queuer_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragehead/boragehead/internal/queuer"
)

// TestMain fixes the seed of the property tests, so that every run draws the same
// cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var startTime = time.Unix(1000, 0)

// referenceQueue is a plain implementation of start-time fair queueing: a list
// that is sorted after every push.
type referenceQueue struct {
	items             []referenceItem
	finishByWorkspace map[string]float64
	virtualTime       float64
	lastArrival       int
}

type referenceItem struct {
	id           uint64
	virtualStart float64
	arrival      int
}

func (n *referenceQueue) push(item queuer.Item) {
	if len(n.items) == 0 {
		n.finishByWorkspace, n.virtualTime = map[string]float64{}, 0
	}
	virtualStart := max(n.virtualTime, n.finishByWorkspace[item.Workspace])
	n.finishByWorkspace[item.Workspace] = virtualStart + item.Cost/item.Weight
	n.lastArrival++
	n.items = append(n.items, referenceItem{id: item.ID, virtualStart: virtualStart, arrival: n.lastArrival})
	slices.SortFunc(n.items, func(a, b referenceItem) int {
		return cmp.Or(cmp.Compare(a.virtualStart, b.virtualStart), cmp.Compare(a.arrival, b.arrival))
	})
}

func (n *referenceQueue) pop() (uint64, bool) {
	if len(n.items) == 0 {
		return 0, false
	}
	first := n.items[0]
	n.items = n.items[1:]
	n.virtualTime = max(n.virtualTime, first.virtualStart)
	return first.id, true
}

func (n *referenceQueue) remove(id uint64) {
	n.items = slices.DeleteFunc(n.items, func(item referenceItem) bool { return item.id == id })
}

// TestOrderMatchesReferenceQueue applies random operations to a queue and to the
// reference, and checks that both pop the same requests.
func TestOrderMatchesReferenceQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue queuer.Queue
		var reference referenceQueue
		for id := range uint64(rapid.IntRange(1, 100).Draw(t, "steps")) {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				item := queuer.Item{
					ID: id + 1, Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					Weight: float64(rapid.IntRange(1, 3).Draw(t, "weight")), Cost: float64(rapid.IntRange(1, 50).Draw(t, "cost")),
					Deadline: startTime.Add(time.Hour),
				}
				_, ok := queue.Push(startTime, item)
				assert.Assert(t, ok)
				reference.push(item)
			case 3:
				got, ok := queue.Pop(startTime)
				want, wanted := reference.pop()
				assert.Equal(t, ok, wanted)
				assert.Equal(t, got.ID, want)
			case 4:
				removed := rapid.Uint64Range(1, id+1).Draw(t, "gone")
				queue.Remove(removed)
				reference.remove(removed)
			}
			assert.Equal(t, queue.Len(), len(reference.items))
		}
	})
}

// TestUnsuitableRequestIsNotStarved checks that a request that is never suitable
// is passed over at most 16 times.
func TestUnsuitableRequestIsNotStarved(t *testing.T) {
	var queue queuer.Queue
	push := func(id uint64) {
		queue.Push(startTime, queuer.Item{ID: id, Workspace: fmt.Sprint(id), Weight: 1, Cost: 1, Deadline: startTime.Add(time.Hour)})
	}
	for id := range uint64(100) {
		push(id)
	}
	for turn := range 100 {
		item, ok := queue.PopSuitable(startTime, func(id uint64) bool { return id != 0 })
		assert.Assert(t, ok)
		if item.ID == 0 {
			assert.Assert(t, turn <= 16, "popped after %d others", turn)
			return
		}
	}
	t.Fatal("request 0 was never popped")
}

// TestUnmeetableDeadlineIsRefusedOnArrival checks that Push refuses a request
// that would wait beyond its deadline at the measured drain rate, and that an
// accepted request expires at its deadline.
func TestUnmeetableDeadlineIsRefusedOnArrival(t *testing.T) {
	var queue queuer.Queue
	now := startTime
	item := queuer.Item{Workspace: "w", Weight: 1, Cost: 100, Deadline: startTime.Add(time.Hour)}
	for id := range uint64(20) {
		item.ID = id
		queue.Push(now, item)
	}
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		queue.Pop(now)
	}
	// 10 requests of 100 tokens wait, and the queue drains 200 tokens per second:
	// a wait of 5 s.
	late := queuer.Item{ID: 99, Workspace: "v", Weight: 1, Cost: 1, Deadline: now.Add(3 * time.Second)}
	wait, ok := queue.Push(now, late)
	assert.Assert(t, !ok)
	assert.Assert(t, wait > 4*time.Second && wait < 6*time.Second, "%s", wait)
	late.Deadline = now.Add(10 * time.Second)
	_, ok = queue.Push(now, late)
	assert.Assert(t, ok)
	assert.Equal(t, len(queue.RemoveExpired(now.Add(10*time.Second))), 1)
}

// ExampleQueue shows that a workspace with many requests delays only itself.
func ExampleQueue() {
	var queue queuer.Queue
	for id := range uint64(3) {
		queue.Push(startTime, queuer.Item{ID: id, Workspace: "flood", Weight: 1, Cost: 100, Deadline: startTime.Add(time.Hour)})
	}
	queue.Push(startTime, queuer.Item{ID: 9, Workspace: "other", Weight: 1, Cost: 100, Deadline: startTime.Add(time.Hour)})
	for queue.Len() > 0 {
		item, _ := queue.Pop(startTime)
		fmt.Print(item.ID, " ")
	}
	// Output: 0 9 1 2
}
