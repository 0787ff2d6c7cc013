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

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// naive is start-time fair queueing by the book: a list, sorted at every look.
type naive struct {
	items    []naiveItem
	finishes map[string]float64
	virtual  float64
	order    int
}

type naiveItem struct {
	id    uint64
	start float64
	order int
}

func (n *naive) push(item queuer.Item) {
	if len(n.items) == 0 {
		n.finishes, n.virtual = map[string]float64{}, 0
	}
	begin := max(n.virtual, n.finishes[item.Workspace])
	n.finishes[item.Workspace] = begin + item.Cost/item.Weight
	n.order++
	n.items = append(n.items, naiveItem{id: item.ID, start: begin, order: n.order})
	slices.SortFunc(n.items, func(a, b naiveItem) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.order, b.order))
	})
}

func (n *naive) pop() (uint64, bool) {
	if len(n.items) == 0 {
		return 0, false
	}
	first := n.items[0]
	n.items = n.items[1:]
	n.virtual = max(n.virtual, first.start)
	return first.id, true
}

func (n *naive) remove(id uint64) {
	n.items = slices.DeleteFunc(n.items, func(item naiveItem) bool { return item.id == id })
}

// TestOrderIsFair compares the queue with the naive one.
func TestOrderIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue queuer.Queue
		var plain naive
		for id := range uint64(rapid.IntRange(1, 100).Draw(t, "steps")) {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				item := queuer.Item{
					ID: id + 1, Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					Weight: float64(rapid.IntRange(1, 3).Draw(t, "weight")), Cost: float64(rapid.IntRange(1, 50).Draw(t, "cost")),
					Deadline: start.Add(time.Hour),
				}
				_, ok := queue.Push(start, item)
				assert.Assert(t, ok)
				plain.push(item)
			case 3:
				got, ok := queue.Pop(start)
				want, wanted := plain.pop()
				assert.Equal(t, ok, wanted)
				assert.Equal(t, got.ID, want)
			case 4:
				gone := rapid.Uint64Range(1, id+1).Draw(t, "gone")
				queue.Remove(gone)
				plain.remove(gone)
			}
			assert.Equal(t, queue.Len(), len(plain.items))
		}
	})
}

// TestPassedOverBoundedly keeps a request that never suits from starving.
func TestPassedOverBoundedly(t *testing.T) {
	var queue queuer.Queue
	push := func(id uint64) {
		queue.Push(start, queuer.Item{ID: id, Workspace: fmt.Sprint(id), Weight: 1, Cost: 1, Deadline: start.Add(time.Hour)})
	}
	for id := range uint64(100) {
		push(id)
	}
	for turn := range 100 {
		item, ok := queue.PopSuited(start, func(id uint64) bool { return id != 0 })
		assert.Assert(t, ok)
		if item.ID == 0 {
			assert.Assert(t, turn <= 16, "went after %d others", turn)
			return
		}
	}
	t.Fatal("starved")
}

// TestDeadlinesAreRefusedOnArrival fills a queue whose drain rate is known.
func TestDeadlinesAreRefusedOnArrival(t *testing.T) {
	var queue queuer.Queue
	now := start
	item := queuer.Item{Workspace: "w", Weight: 1, Cost: 100, Deadline: start.Add(time.Hour)}
	for id := range uint64(20) {
		item.ID = id
		queue.Push(now, item)
	}
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		queue.Pop(now)
	}
	// 10 x 100 tokens wait, and 200 tokens a second drain: 5 s.
	late := queuer.Item{ID: 99, Workspace: "v", Weight: 1, Cost: 1, Deadline: now.Add(3 * time.Second)}
	wait, ok := queue.Push(now, late)
	assert.Assert(t, !ok)
	assert.Assert(t, wait > 4*time.Second && wait < 6*time.Second, "%s", wait)
	late.Deadline = now.Add(10 * time.Second)
	_, ok = queue.Push(now, late)
	assert.Assert(t, ok)
	assert.Equal(t, len(queue.Overdue(now.Add(10*time.Second))), 1)
}

// ExampleQueue shows that a flood delays itself.
func ExampleQueue() {
	var queue queuer.Queue
	for id := range uint64(3) {
		queue.Push(start, queuer.Item{ID: id, Workspace: "flood", Weight: 1, Cost: 100, Deadline: start.Add(time.Hour)})
	}
	queue.Push(start, queuer.Item{ID: 9, Workspace: "other", Weight: 1, Cost: 100, Deadline: start.Add(time.Hour)})
	for queue.Len() > 0 {
		item, _ := queue.Pop(start)
		fmt.Print(item.ID, " ")
	}
	// Output: 0 9 1 2
}
