package detector

import (
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
)

// SoundAfter is how long a server must go on after the first event of an answer
// to show that the answer did not crash it.
const SoundAfter = time.Second

// Begin observes how an answer begins at a server: whether the server goes on
// or ends.
type Begin struct {
	server registrar.Server
	traits quarantiner.Traits
	sentAt time.Time

	mu      sync.Mutex
	beganAt time.Time
	failed  bool
}

// Observe starts to observe an attempt at a server by a request with some traits. It
// returns nil without a quarantine.
func (d *Detector) Observe(server registrar.Server, traits quarantiner.Traits) *Begin {
	if d.Quarantine == nil {
		return nil
	}
	b := &Begin{server: server, traits: traits, sentAt: time.Now()}
	d.add(b)
	return b
}

func (b *Begin) crashID() quarantiner.CrashID {
	return quarantiner.NewCrashID(b.server.Name, b.server.StartedAtMillis)
}

// NoteBegin records that the answer has begun. It counts as sound a while later, if
// nothing has failed until then: also if it was complete by then and the server crashed
// afterwards, under another one.
func (d *Detector) NoteBegin(b *Begin) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	began := time.Now()
	b.beganAt = began
	time.AfterFunc(SoundAfter, func() {
		b.mu.Lock()
		failed := b.failed
		b.mu.Unlock()
		if !failed {
			d.Quarantine.RecordSoundBegin(began, b.server, b.traits)
		}
	})
}

// Finish records how the attempt ended. If the server closed the connection before the
// answer was sound, the server may have crashed because of it. Answered means that the
// answer is complete as far as known; an answer without a length (isUnframed) that ends
// sooner may have been cut off by the crash.
func (d *Detector) Finish(b *Begin, answered, isUnframed bool, end End) {
	if b == nil {
		return
	}
	now := time.Now()
	b.mu.Lock()
	mayBeCut := isUnframed && now.Sub(b.beganAt) < SoundAfter
	b.failed = !answered || mayBeCut
	isSuspect := b.beganAt.IsZero() || now.Sub(b.beganAt) < SoundAfter
	b.mu.Unlock()
	d.remove(b)
	if end.IsAbrupt() {
		d.report(now, b, isSuspect)
	}
}
