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
	ringSize     = 4096
	tickInterval = 100 * time.Millisecond
	// abandonTimeout bounds how long a caller's leaving may wait for room.
	abandonTimeout = time.Second
)

// Dispatcher runs a model in one goroutine.
type Dispatcher struct {
	model   Model
	ring    *carrier.Ring[envelope]
	waiting map[uint64]chan Cmd
	nextID  atomic.Uint64
	summary atomic.Pointer[[]gossiper.PoolSummary]
	servers atomic.Pointer[map[string]tracker.Announcement]
}

// envelope is a message with the channel that its answer goes to.
type envelope struct {
	msg    Msg
	id     uint64
	answer chan Cmd
}

// New returns a dispatcher. Run must be called to start it.
func New() *Dispatcher {
	d := &Dispatcher{
		ring:    carrier.NewRing[envelope](ringSize),
		waiting: map[uint64]chan Cmd{},
	}
	d.summary.Store(&[]gossiper.PoolSummary{})
	d.servers.Store(&map[string]tracker.Announcement{})
	return d
}

// Run performs the dispatcher's duty until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.perform(d.model.Update(time.Now(), Tick{}))
			d.publish(time.Now())
		case e := <-d.ring.Items():
			d.expect(e)
			d.perform(d.model.Update(time.Now(), e.msg))
		}
	}
}

// publish shows the servers to other goroutines.
func (d *Dispatcher) publish(now time.Time) {
	summary := d.model.Summary(now)
	d.summary.Store(&summary)
	servers := d.model.Servers.Announced(now)
	d.servers.Store(&servers)
}

// Servers returns the usable servers here, by name.
func (d *Dispatcher) Servers() map[string]tracker.Announcement {
	return *d.servers.Load()
}

// expect notes where the answer to a message goes, or that nobody waits for
// it any more.
func (d *Dispatcher) expect(e envelope) {
	if e.answer != nil {
		d.waiting[e.id] = e.answer
	}
	if _, cancelled := e.msg.(Cancel); cancelled {
		delete(d.waiting, e.id)
	}
}

func (d *Dispatcher) perform(cmds []Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case Assign:
			d.answer(cmd.ID, cmd)
		case Refuse:
			d.answer(cmd.ID, cmd)
		}
	}
}

func (d *Dispatcher) answer(id uint64, cmd Cmd) {
	if answer, waiting := d.waiting[id]; waiting {
		answer <- cmd
		delete(d.waiting, id)
	}
}

// Acquire waits for a server. It returns an Assign or a Refuse. Every Assign
// must be ended by Release.
func (d *Dispatcher) Acquire(ctx context.Context, request Enqueue) (Cmd, error) {
	request.ID = d.nextID.Add(1)
	answer := make(chan Cmd, 1)
	if err := d.ring.Put(ctx, envelope{msg: request, id: request.ID, answer: answer}); err != nil {
		return nil, trace.Wrap(err)
	}
	select {
	case cmd := <-answer:
		return cmd, nil
	case <-ctx.Done():
		d.abandon(request.ID)
		return nil, trace.Wrap(ctx.Err())
	}
}

// abandon takes a request out whose caller has gone. An assignment that came
// at the same moment is released.
func (d *Dispatcher) abandon(id uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	_ = d.ring.Put(ctx, envelope{msg: Cancel{ID: id}, id: id})
	_ = d.ring.Put(ctx, envelope{msg: Done{ID: id, Unused: true}})
}

// Began notes that the first byte of an assigned request's answer has come.
func (d *Dispatcher) Began(ctx context.Context, id uint64) {
	_ = d.ring.Put(ctx, envelope{msg: Began{ID: id}})
}

// Release ends the work of an assigned request.
func (d *Dispatcher) Release(ctx context.Context, done Done) {
	_ = d.ring.Put(ctx, envelope{msg: done})
}

// Announce takes a server's announcement in.
func (d *Dispatcher) Announce(ctx context.Context, announcement tracker.Announcement) error {
	return trace.Wrap(d.ring.Put(ctx, envelope{msg: Announce{Announcement: announcement}}))
}

// Summary returns the newest summary of the pools here.
func (d *Dispatcher) Summary() []gossiper.PoolSummary {
	return *d.summary.Load()
}
