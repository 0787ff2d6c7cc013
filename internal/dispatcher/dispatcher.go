package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/carrier"
	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/tracker"
)

const (
	inboxSize    = 4096
	tickInterval = 100 * time.Millisecond
	// abandonTimeout bounds how long abandon waits for room in the inbox.
	abandonTimeout = time.Second
)

// Dispatcher runs a [Model] in one goroutine, the one that calls Run. All other
// methods are safe for concurrent use.
type Dispatcher struct {
	model       Model
	inbox       *carrier.Ring[envelope]
	repliesByID map[uint64]chan Cmd
	nextID      atomic.Uint64
	summary     atomic.Pointer[[]gossiper.PoolSummary]
	servers     atomic.Pointer[map[string]tracker.Announcement]
}

// envelope is a message to the model. If reply is set, the Assign or Refuse for
// the request with this id is sent on it; it must have a buffer of one.
type envelope struct {
	msg   Msg
	id    uint64
	reply chan Cmd
}

// New returns a dispatcher. It handles no messages until Run is called.
func New() *Dispatcher {
	d := &Dispatcher{
		inbox:       carrier.NewRing[envelope](inboxSize),
		repliesByID: map[uint64]chan Cmd{},
	}
	d.summary.Store(&[]gossiper.PoolSummary{})
	d.servers.Store(&map[string]tracker.Announcement{})
	return d
}

// Run handles messages until ctx is done, and then returns nil.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.deliver(d.model.Update(time.Now(), Tick{}))
			d.publish(time.Now())
		case e := <-d.inbox.Items():
			d.registerReply(e)
			d.deliver(d.model.Update(time.Now(), e.msg))
		}
	}
}

// publish stores the current servers and pool summaries where other goroutines
// can read them.
func (d *Dispatcher) publish(now time.Time) {
	summary := d.model.Summary(now)
	d.summary.Store(&summary)
	servers := d.model.Servers.UsableAnnouncements(now)
	d.servers.Store(&servers)
}

// Servers returns the usable servers of this failure domain by name, as of the
// last tick. The map is shared and must not be modified.
func (d *Dispatcher) Servers() map[string]tracker.Announcement {
	return *d.servers.Load()
}

// registerReply stores the reply channel of a request. A cancelled request loses
// its channel, as its caller no longer waits.
func (d *Dispatcher) registerReply(e envelope) {
	if e.reply != nil {
		d.repliesByID[e.id] = e.reply
	}
	if _, cancelled := e.msg.(Cancel); cancelled {
		delete(d.repliesByID, e.id)
	}
}

// deliver sends each command to the caller that waits for it.
func (d *Dispatcher) deliver(cmds []Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case Assign:
			d.reply(cmd.ID, cmd)
		case Refuse:
			d.reply(cmd.ID, cmd)
		}
	}
}

func (d *Dispatcher) reply(id uint64, cmd Cmd) {
	if reply, waiting := d.repliesByID[id]; waiting {
		reply <- cmd
		delete(d.repliesByID, id)
	}
}

// Acquire waits until the request is assigned or refused, and returns an
// [Assign] or a [Refuse]. It sets the request's ID. Release must be called for
// every Assign. The error is that of ctx when it ends first; the request is then
// cancelled.
func (d *Dispatcher) Acquire(ctx context.Context, request Enqueue) (Cmd, error) {
	request.ID = d.nextID.Add(1)
	reply := make(chan Cmd, 1)
	if err := d.inbox.Put(ctx, envelope{msg: request, id: request.ID, reply: reply}); err != nil {
		return nil, trace.Wrap(err)
	}
	select {
	case cmd := <-reply:
		return cmd, nil
	case <-ctx.Done():
		d.abandon(request.ID)
		return nil, trace.Wrap(ctx.Err())
	}
}

// abandon cancels a request whose caller has gone. The request may have been
// assigned in the meantime, so abandon releases that assignment as well.
func (d *Dispatcher) abandon(id uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	_ = d.inbox.Put(ctx, envelope{msg: Cancel{ID: id}, id: id})
	_ = d.inbox.Put(ctx, envelope{msg: Done{ID: id, Unused: true}})
}

// FirstToken reports that the first byte of the answer to an assigned request
// has arrived.
func (d *Dispatcher) FirstToken(ctx context.Context, id uint64) {
	_ = d.inbox.Put(ctx, envelope{msg: FirstToken{ID: id}})
}

// Release ends an assignment and frees its slot. done.ID is the ID of the
// [Assign]. The release is lost, and the slot stays in use, if ctx ends before
// the inbox has room: ctx should outlive the request.
func (d *Dispatcher) Release(ctx context.Context, done Done) {
	_ = d.inbox.Put(ctx, envelope{msg: done})
}

// Announce passes a server's announcement to the model. The error is that of
// ctx when it ends before the inbox has room.
func (d *Dispatcher) Announce(ctx context.Context, announcement tracker.Announcement) error {
	return trace.Wrap(d.inbox.Put(ctx, envelope{msg: Announce{Announcement: announcement}}))
}

// Summary returns a summary of each pool that has usable servers in this
// failure domain, as of the last tick. The slice is shared and must not be
// modified.
func (d *Dispatcher) Summary() []gossiper.PoolSummary {
	return *d.summary.Load()
}
