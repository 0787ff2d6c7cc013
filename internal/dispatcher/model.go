// Package dispatcher gives waiting requests to backend servers.
//
// The one idea: a [Model] takes messages and the time, and returns who is
// assigned or refused. It joins the tracker, the fair queues and the picker;
// a [Dispatcher] runs it in one goroutine.
package dispatcher

import (
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/picker"
	"github.com/boragehead/boragehead/internal/queuer"
	"github.com/boragehead/boragehead/internal/tracker"
)

// Msg is an input of the model.
type Msg interface{ isMsg() }

// Announce carries a server's announcement.
type Announce struct{ Announcement tracker.Announcement }

// Enqueue asks for a server.
type Enqueue struct {
	ID        uint64
	Workspace string
	Weight    float64
	// Pools are tried in order.
	Pools    []string
	Deadline time.Time
	// OutputTokens is the most that the answer may take.
	OutputTokens int64
	Request      picker.Request
}

// Began notes that an assigned request's first token has come: its prompt has
// been read.
type Began struct{ ID uint64 }

// Done ends the work of an assigned request.
type Done struct {
	ID uint64
	// Failed means that the server did not answer as it should.
	Failed bool
	// Unused means that the server was never asked.
	Unused bool
	// Tokens and Elapsed are what was generated and how long that took.
	Tokens  int64
	Elapsed time.Duration
}

// Cancel takes a waiting request out.
type Cancel struct{ ID uint64 }

// Tick tells the model the time.
type Tick struct{}

func (Announce) isMsg() {}
func (Enqueue) isMsg()  {}
func (Began) isMsg()    {}
func (Done) isMsg()     {}
func (Cancel) isMsg()   {}
func (Tick) isMsg()     {}

// Cmd is an output of the model.
type Cmd interface{ isCmd() }

// Assign gives a request to a server.
type Assign struct {
	ID     uint64
	Pool   string
	Server tracker.Announcement
}

// Refuse gives a request up, for a reason and with a time to come back.
type Refuse struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

func (Assign) isCmd() {}
func (Refuse) isCmd() {}

// Reason tells why a request was given up.
type Reason string

// The reasons.
const (
	// ReasonNoServer means that no usable server serves the route's pools.
	ReasonNoServer Reason = "no-server"
	// ReasonOverloaded means that the deadline cannot be met.
	ReasonOverloaded Reason = "overloaded"
)

// noServerRetry is when to come back while no server is known.
const noServerRetry = tracker.Silence

// Picker chooses the server for a request among those of a pool.
type Picker interface {
	Pick(now time.Time, servers []*tracker.Server, request picker.Request) *tracker.Server
}

// Model decides for one entry instance. The zero value knows no servers.
type Model struct {
	Servers tracker.Table
	// Picker, unless set, is picker.Picker.
	Picker Picker

	now time.Time
	// order holds the queues; there is one for each list of pools.
	order   []*queue
	waiting map[uint64]*queue
	running map[uint64]running
	cmds    []Cmd
}

// queue holds the requests that wait for the same pools.
type queue struct {
	queuer.Queue
	pools    []string
	requests map[uint64]Enqueue
}

// running is a request that a server works on.
type running struct {
	server string
	pool   string
	work   tracker.Work
}

// Update takes one message and returns the commands that follow from it.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if m.waiting == nil {
		m.waiting = map[uint64]*queue{}
		m.running = map[uint64]running{}
	}
	if m.Picker == nil {
		m.Picker = &picker.Picker{}
	}
	m.now = now
	m.cmds = nil
	switch msg := msg.(type) {
	case Announce:
		m.Servers.Announce(now, msg.Announcement)
	case Enqueue:
		m.enqueue(msg)
	case Began:
		m.began(msg.ID)
	case Done:
		m.done(msg)
	case Cancel:
		m.cancel(msg.ID)
	case Tick:
		m.expire()
		m.Servers.Forget(now)
	}
	m.dispatch()
	return m.cmds
}

func (m *Model) enqueue(request Enqueue) {
	if !m.served(request.Pools) {
		m.refuse(request.ID, ReasonNoServer, noServerRetry)
		return
	}
	q := m.queueOf(request.Pools)
	wait, ok := q.Push(m.now, queuer.Item{
		ID: request.ID, Workspace: request.Workspace, Weight: request.Weight,
		Cost: cost(request), Deadline: request.Deadline,
	})
	if !ok {
		m.refuse(request.ID, ReasonOverloaded, wait-request.Deadline.Sub(m.now))
		return
	}
	q.requests[request.ID] = request
	m.waiting[request.ID] = q
}

// queueOf returns the queue of the requests that wait for the same pools.
func (m *Model) queueOf(pools []string) *queue {
	for _, q := range m.order {
		if slices.Equal(q.pools, pools) {
			return q
		}
	}
	q := &queue{pools: pools, requests: map[uint64]Enqueue{}}
	m.order = append(m.order, q)
	return q
}

// cost is the work of a request: prefill is cheaper than decoding.
func cost(request Enqueue) float64 {
	const prefillCost = 0.2
	return prefillCost*float64(request.Request.PromptTokens) + float64(request.OutputTokens)
}

func (m *Model) served(pools []string) bool {
	return slices.ContainsFunc(pools, func(pool string) bool {
		return len(m.Servers.InPool(m.now, pool)) > 0
	})
}

func (m *Model) refuse(id uint64, reason Reason, after time.Duration) {
	m.cmds = append(m.cmds, Refuse{ID: id, Reason: reason, RetryAfter: max(after, time.Second)})
}

func (m *Model) cancel(id uint64) {
	q, known := m.waiting[id]
	if !known {
		return
	}
	q.Remove(id)
	m.forget(q, id)
}

func (m *Model) forget(q *queue, id uint64) {
	delete(q.requests, id)
	delete(m.waiting, id)
}

func (m *Model) expire() {
	for _, q := range m.order {
		gone := !m.served(q.pools)
		for _, item := range q.Overdue(m.now) {
			m.forget(q, item.ID)
			m.refuse(item.ID, ReasonOverloaded, q.Delay(m.now))
		}
		for gone && q.Len() > 0 {
			item, _ := q.Pop(m.now)
			m.forget(q, item.ID)
			m.refuse(item.ID, ReasonNoServer, noServerRetry)
		}
	}
}

// dispatch assigns waiting requests while servers have room.
func (m *Model) dispatch() {
	for _, q := range m.order {
		for q.Len() > 0 && m.assignNext(q) {
			continue
		}
	}
}

// assignNext gives the next request of a queue to a server, if one has room.
func (m *Model) assignNext(q *queue) bool {
	if m.room(q.pools) == 0 {
		return false
	}
	item, _ := q.PopSuited(m.now, func(id uint64) bool { return m.suits(q.requests[id]) })
	request := q.requests[item.ID]
	m.forget(q, item.ID)
	for _, pool := range request.Pools {
		server := m.Picker.Pick(m.now, m.Servers.InPool(m.now, pool), request.Request)
		if server == nil {
			continue
		}
		m.assign(request, pool, server)
		return true
	}
	m.refuse(request.ID, ReasonNoServer, noServerRetry)
	return true
}

// suits reports whether the server that has a request's prefix has room, or
// whether the request has no prefix that is worth waiting for.
func (m *Model) suits(request Enqueue) bool {
	if request.Request.PrefixTokens < picker.WorthwhilePrefix {
		return true
	}
	return slices.ContainsFunc(request.Pools, func(pool string) bool {
		return picker.HomeHasRoom(m.now, m.Servers.InPool(m.now, pool), request.Request)
	})
}

func (m *Model) assign(request Enqueue, pool string, server *tracker.Server) {
	prefill := picker.Prefill(m.Servers.InPool(m.now, pool), server, request.Request)
	work := tracker.Work{Requests: 1, Tokens: request.OutputTokens, Prefill: prefill}
	server.Own.Requests += work.Requests
	server.Own.Tokens += work.Tokens
	server.Own.Prefill += work.Prefill
	m.running[request.ID] = running{server: server.Name, pool: pool, work: work}
	m.cmds = append(m.cmds, Assign{ID: request.ID, Pool: pool, Server: server.Announcement})
}

func (m *Model) room(pools []string) int {
	room := 0
	for _, pool := range pools {
		room += picker.Room(m.now, m.Servers.InPool(m.now, pool))
	}
	return room
}

func (m *Model) began(id uint64) {
	work, known := m.running[id]
	if !known {
		return
	}
	if server, known := m.Servers.Server(work.server); known {
		server.Own.Prefill -= work.work.Prefill
	}
	work.work.Prefill = 0
	m.running[id] = work
}

func (m *Model) done(done Done) {
	work, known := m.running[done.ID]
	if !known {
		return
	}
	delete(m.running, done.ID)
	server, known := m.Servers.Server(work.server)
	if !known {
		return
	}
	server.Own.Requests -= work.work.Requests
	server.Own.Tokens -= work.work.Tokens
	server.Own.Prefill -= work.work.Prefill
	if done.Unused {
		return
	}
	if done.Failed {
		picker.Failed(m.now, server, m.Servers.InPool(m.now, work.pool))
		return
	}
	picker.Succeeded(server)
	m.noteSpeed(server, done)
}

// noteSpeed averages what a server generates over all requests of its batch.
func (m *Model) noteSpeed(server *tracker.Server, done Done) {
	const weight = 0.2
	if done.Tokens == 0 || done.Elapsed <= 0 {
		return
	}
	batch := float64(server.Own.Requests + server.Others().Requests + 1)
	seen := float64(done.Tokens) / done.Elapsed.Seconds() * batch
	if server.Speed == 0 {
		server.Speed = seen
	}
	server.Speed += weight * (seen - server.Speed)
}

// Summary returns what other failure domains learn of the pools here.
func (m *Model) Summary(now time.Time) []gossiper.PoolSummary {
	var summaries []gossiper.PoolSummary
	for _, pool := range m.Servers.Pools(now) {
		servers := m.Servers.InPool(now, pool)
		summaries = append(summaries, gossiper.PoolSummary{
			Pool: pool, Servers: len(servers), Free: picker.Room(now, servers), Delay: m.delay(now, pool),
		})
	}
	return summaries
}

func (m *Model) delay(now time.Time, pool string) time.Duration {
	var longest time.Duration
	for _, q := range m.order {
		if slices.Contains(q.pools, pool) {
			longest = max(longest, q.Delay(now))
		}
	}
	return longest
}
