// Package dispatcher assigns waiting requests to backend servers.
//
// A [Model] is a state machine: it takes a message and the current time, and
// returns the requests that are assigned or refused as a result. It combines the
// server table of package tracker, the fair queues of package queuer and the
// server choice of package picker. A [Dispatcher] runs a model in one goroutine.
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
	// ID identifies the request in later messages and in commands.
	ID        uint64
	Workspace string
	// Weight is the workspace's weight in fair queueing; it must be above 0.
	Weight float64
	// Pools are tried in order.
	Pools    []string
	Deadline time.Time
	// OutputTokens is the largest number of tokens that the answer may have.
	OutputTokens int64
	Request      picker.Request
}

// FirstToken reports that the first token of an assigned request has arrived,
// which means that the server has finished prefilling its prompt.
type FirstToken struct{ ID uint64 }

// Done ends an assignment and frees its slot.
type Done struct {
	ID uint64
	// Failed means that the server failed the request. It counts towards
	// ejecting the server.
	Failed bool
	// Unused means that the result says nothing about the server: the
	// request was not sent, or its caller left before the answer was complete.
	Unused bool
	// Tokens is the number of tokens generated, and Elapsed the time that
	// took. They update the server's speed unless one of them is 0.
	Tokens  int64
	Elapsed time.Duration
}

// Cancel removes a waiting request. It has no effect on an assigned one.
type Cancel struct{ ID uint64 }

// Tick makes the model refuse requests whose deadline has passed and drop
// servers that have been silent for long.
type Tick struct{}

func (Announce) isMsg()   {}
func (Enqueue) isMsg()    {}
func (FirstToken) isMsg() {}
func (Done) isMsg()       {}
func (Cancel) isMsg()     {}
func (Tick) isMsg()       {}

// Cmd is an output of the model.
type Cmd interface{ isCmd() }

// Assign assigns a request to a server of a pool.
type Assign struct {
	ID     uint64
	Pool   string
	Server tracker.Announcement
}

// Refuse refuses a request.
type Refuse struct {
	ID     uint64
	Reason Reason
	// RetryAfter is how long the caller should wait before it tries again; it
	// is at least a second.
	RetryAfter time.Duration
}

func (Assign) isCmd() {}
func (Refuse) isCmd() {}

// Reason tells why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// ReasonNoServer means that no usable server of the requested pools is
	// known, or that none of those with a free slot may be given the request.
	ReasonNoServer Reason = "no-server"
	// ReasonOverloaded means that the request cannot be assigned before its
	// deadline.
	ReasonOverloaded Reason = "overloaded"
)

// noServerRetryAfter is the retry time given while no usable server is known.
const noServerRetryAfter = tracker.SilenceTimeout

// Picker chooses the server for a request among the usable servers of a pool.
// Pick returns nil if none can take the request now.
type Picker interface {
	Pick(now time.Time, servers []*tracker.Server, request picker.Request) *tracker.Server
}

// Model assigns requests on behalf of one entry instance. The zero value is
// ready to use and knows no servers. It is not safe for concurrent use.
type Model struct {
	Servers tracker.Table
	// Picker defaults to [picker.Picker].
	Picker Picker

	now time.Time
	// queues has one queue for each distinct list of pools, in the order in
	// which they are served.
	queues              []*queue
	queueByRequest      map[uint64]*queue
	assignmentByRequest map[uint64]assignment
	cmds                []Cmd
}

// queue holds the requests that wait for the same pools.
type queue struct {
	queuer.Queue
	pools        []string
	requestsByID map[uint64]Enqueue
}

// assignment is a request that a server works on, with the share of the
// server's Own work that it accounts for.
type assignment struct {
	serverName string
	pool       string
	work       tracker.Work
}

// Update handles one message at the given time and returns the assignments and
// refusals that follow from it. They may concern any waiting request.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if m.queueByRequest == nil {
		m.queueByRequest = map[uint64]*queue{}
		m.assignmentByRequest = map[uint64]assignment{}
	}
	if m.Picker == nil {
		m.Picker = &picker.Picker{}
	}
	m.now = now
	m.cmds = nil
	switch msg := msg.(type) {
	case Announce:
		m.Servers.Record(now, msg.Announcement)
	case Enqueue:
		m.enqueue(msg)
	case FirstToken:
		m.markPromptRead(msg.ID)
	case Done:
		m.finish(msg)
	case Cancel:
		m.cancel(msg.ID)
	case Tick:
		m.expireWaiting()
		m.Servers.RemoveSilent(now)
	}
	m.assignWaiting()
	return m.cmds
}

func (m *Model) enqueue(request Enqueue) {
	if !m.hasUsableServer(request.Pools) {
		m.refuse(request.ID, ReasonNoServer, noServerRetryAfter)
		return
	}
	q := m.queueFor(request.Pools)
	wait, ok := q.Push(m.now, queuer.Item{
		ID: request.ID, Workspace: request.Workspace, Weight: request.Weight,
		Cost: expectedCost(request), Deadline: request.Deadline,
	})
	if !ok {
		m.refuse(request.ID, ReasonOverloaded, wait-request.Deadline.Sub(m.now))
		return
	}
	q.requestsByID[request.ID] = request
	m.queueByRequest[request.ID] = q
}

// queueFor returns the queue for a list of pools, and creates it if needed.
func (m *Model) queueFor(pools []string) *queue {
	for _, q := range m.queues {
		if slices.Equal(q.pools, pools) {
			return q
		}
	}
	q := &queue{pools: pools, requestsByID: map[uint64]Enqueue{}}
	m.queues = append(m.queues, q)
	return q
}

// expectedCost returns the expected work of a request, in output tokens. A
// prompt token counts for less, because prefill is cheaper than decoding.
func expectedCost(request Enqueue) float64 {
	const prefillCost = 0.2
	return prefillCost*float64(request.Request.PromptTokens) + float64(request.OutputTokens)
}

// hasUsableServer reports whether any of the pools has a usable server.
func (m *Model) hasUsableServer(pools []string) bool {
	return slices.ContainsFunc(pools, func(pool string) bool {
		return len(m.Servers.UsableInPool(m.now, pool)) > 0
	})
}

func (m *Model) refuse(id uint64, reason Reason, retryAfter time.Duration) {
	m.cmds = append(m.cmds, Refuse{ID: id, Reason: reason, RetryAfter: max(retryAfter, time.Second)})
}

func (m *Model) cancel(id uint64) {
	q, known := m.queueByRequest[id]
	if !known {
		return
	}
	q.Remove(id)
	m.dropWaiting(q, id)
}

// dropWaiting deletes what the model stores of a request that has left its
// queue.
func (m *Model) dropWaiting(q *queue, id uint64) {
	delete(q.requestsByID, id)
	delete(m.queueByRequest, id)
}

// expireWaiting refuses the waiting requests whose deadline has passed, and all
// that wait for pools without a usable server.
func (m *Model) expireWaiting() {
	for _, q := range m.queues {
		noUsableServer := !m.hasUsableServer(q.pools)
		for _, item := range q.RemoveExpired(m.now) {
			m.dropWaiting(q, item.ID)
			m.refuse(item.ID, ReasonOverloaded, q.DrainTime(m.now))
		}
		for noUsableServer && q.Len() > 0 {
			item, _ := q.Pop(m.now)
			m.dropWaiting(q, item.ID)
			m.refuse(item.ID, ReasonNoServer, noServerRetryAfter)
		}
	}
}

// assignWaiting assigns waiting requests while servers have assignable slots.
func (m *Model) assignWaiting() {
	for _, q := range m.queues {
		for q.Len() > 0 && m.assignNext(q) {
			continue
		}
	}
}

// assignNext assigns or refuses the next request of a queue. It returns false if
// no server has an assignable slot.
func (m *Model) assignNext(q *queue) bool {
	if m.assignableSlots(q.pools) == 0 {
		return false
	}
	item, _ := q.PopSuitable(m.now, func(id uint64) bool { return m.worthAssigningNow(q.requestsByID[id]) })
	request := q.requestsByID[item.ID]
	m.dropWaiting(q, item.ID)
	for _, pool := range request.Pools {
		server := m.Picker.Pick(m.now, m.Servers.UsableInPool(m.now, pool), request.Request)
		if server == nil {
			continue
		}
		m.assign(request, pool, server)
		return true
	}
	m.refuse(request.ID, ReasonNoServer, noServerRetryAfter)
	return true
}

// worthAssigningNow reports whether a request may be assigned to the server that
// is expected to have its prefix cached, or whether its prefix is too short to be
// worth waiting for that server.
func (m *Model) worthAssigningNow(request Enqueue) bool {
	if request.Request.PrefixTokens < picker.MinPrefixToWaitFor {
		return true
	}
	return slices.ContainsFunc(request.Pools, func(pool string) bool {
		return picker.PreferredIsAssignable(m.now, m.Servers.UsableInPool(m.now, pool), request.Request)
	})
}

// assign adds a request to the work of a server and notes the command for it.
func (m *Model) assign(request Enqueue, pool string, server *tracker.Server) {
	prefill := picker.PrefillTokens(m.Servers.UsableInPool(m.now, pool), server, request.Request)
	work := tracker.Work{Requests: 1, Tokens: request.OutputTokens, Prefill: prefill}
	server.Own.Requests += work.Requests
	server.Own.Tokens += work.Tokens
	server.Own.Prefill += work.Prefill
	m.assignmentByRequest[request.ID] = assignment{serverName: server.Name, pool: pool, work: work}
	m.cmds = append(m.cmds, Assign{ID: request.ID, Pool: pool, Server: server.Announcement})
}

// assignableSlots returns the sum of the assignable slots of each pool.
func (m *Model) assignableSlots(pools []string) int {
	slots := 0
	for _, pool := range pools {
		slots += picker.AssignableSlots(m.now, m.Servers.UsableInPool(m.now, pool))
	}
	return slots
}

// markPromptRead subtracts the prompt of an assigned request from the prefill
// that its server has yet to do.
func (m *Model) markPromptRead(id uint64) {
	assigned, known := m.assignmentByRequest[id]
	if !known {
		return
	}
	if server, known := m.Servers.Server(assigned.serverName); known {
		server.Own.Prefill -= assigned.work.Prefill
	}
	assigned.work.Prefill = 0
	m.assignmentByRequest[id] = assigned
}

// finish ends an assignment and updates its server's failures and speed.
func (m *Model) finish(done Done) {
	assigned, known := m.assignmentByRequest[done.ID]
	if !known {
		return
	}
	delete(m.assignmentByRequest, done.ID)
	server, known := m.Servers.Server(assigned.serverName)
	if !known {
		return
	}
	server.Own.Requests -= assigned.work.Requests
	server.Own.Tokens -= assigned.work.Tokens
	server.Own.Prefill -= assigned.work.Prefill
	if done.Unused {
		return
	}
	if done.Failed {
		picker.RecordFailure(m.now, server, m.Servers.UsableInPool(m.now, assigned.pool))
		return
	}
	picker.RecordSuccess(server)
	m.updateSpeed(server, done)
}

// updateSpeed updates the moving average of the tokens per second that a server
// generates over all requests of its batch. Only the speed of the finished
// request is known; it is multiplied by the size of the batch.
func (m *Model) updateSpeed(server *tracker.Server, done Done) {
	const smoothing = 0.2
	if done.Tokens == 0 || done.Elapsed <= 0 {
		return
	}
	batch := float64(server.Own.Requests + server.WorkOfOthers().Requests + 1)
	sample := float64(done.Tokens) / done.Elapsed.Seconds() * batch
	if server.Speed == 0 {
		server.Speed = sample
	}
	server.Speed += smoothing * (sample - server.Speed)
}

// Summary returns a summary of each pool that has usable servers, for the entry
// instances of other failure domains.
func (m *Model) Summary(now time.Time) []gossiper.PoolSummary {
	var summaries []gossiper.PoolSummary
	for _, pool := range m.Servers.UsablePools(now) {
		servers := m.Servers.UsableInPool(now, pool)
		summaries = append(summaries, gossiper.PoolSummary{
			Pool: pool, Servers: len(servers), FreeSlots: picker.AssignableSlots(now, servers), ExpectedWait: m.longestDelay(now, pool),
		})
	}
	return summaries
}

// longestDelay returns the longest delay among the queues that wait for a pool.
func (m *Model) longestDelay(now time.Time, pool string) time.Duration {
	var longest time.Duration
	for _, q := range m.queues {
		if slices.Contains(q.pools, pool) {
			longest = max(longest, q.DrainTime(now))
		}
	}
	return longest
}
