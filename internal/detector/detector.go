// Package detector tells servers that crashed under a request from other reasons why an
// answer breaks off, and reports to a [Quarantine] which requests were at the crashed
// ones.
package detector

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
)

// Times of crash detection.
const (
	// crashMemory is how long a crash is remembered for requests that break late.
	crashMemory = 10 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 350 * time.Millisecond
	// maxPendingBreaks bounds the broken requests of a server that are kept until it
	// is known whether the server has ended.
	maxPendingBreaks = 256
)

// crashChecks are the pauses before the connections that are tried to a server after
// it broke one off. A server that is about to end may still accept the first.
var crashChecks = []time.Duration{0, 150 * time.Millisecond, 250 * time.Millisecond}

// Quarantine takes the evidence against requests and parts of prompts. Its methods must be
// safe for concurrent use.
type Quarantine interface {
	// RecordCrash records that a server has ended while a request with some traits
	// was there, which had not begun long before.
	RecordCrash(at time.Time, server registrar.Server, traits quarantiner.Traits)
	// RecordSoundBegin records that an answer on some traits has begun and that the
	// server still worked SoundAfter later.
	RecordSoundBegin(began time.Time, server registrar.Server, traits quarantiner.Traits)
}

// Reach tells whether this instance reaches servers. Its methods must be safe for
// concurrent use.
type Reach interface {
	// ReachesOther reports whether a connection can be opened to another server of this
	// region.
	ReachesOther(than registrar.Server) bool
	// AnnouncedSince reports whether a start of a server has announced itself since a time.
	AnnouncedSince(server registrar.Server, since time.Time) bool
}

// Metrics receives the detector's counters. It must be safe for concurrent use.
type Metrics interface {
	// Count adds one to a counter.
	Count(name string)
}

// Detector tells servers that have ended from connections that were broken off for other
// reasons: the former accept no connections any more. It reports the requests that the
// ended servers had to the quarantine. It is safe for concurrent use.
type Detector struct {
	Quarantine Quarantine
	Metrics    Metrics
	// Reach, unless nil, is asked before a server is taken to have ended.
	Reach Reach

	mu sync.Mutex
	// byStart holds the servers that broke off connections.
	byStart map[quarantiner.CrashID]*possibleCrash
	// inProgress holds the attempts at each start of a server.
	inProgress map[quarantiner.CrashID]map[*Begin]bool
}

// possibleCrash is a start of a server that broke off connections.
type possibleCrash struct {
	// brokeAt is when the first connection broke.
	brokeAt   time.Time
	confirmed bool
	// longest is the longest time that one of the broken requests had been there.
	longest time.Duration
	// pending are the broken requests that wait for the confirmation.
	pending []*Begin
}

// add records an attempt at a server until remove is called.
func (d *Detector) add(b *Begin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inProgress == nil {
		d.inProgress = map[quarantiner.CrashID]map[*Begin]bool{}
	}
	if d.inProgress[b.crashID()] == nil {
		d.inProgress[b.crashID()] = map[*Begin]bool{}
	}
	d.inProgress[b.crashID()][b] = true
}

func (d *Detector) remove(b *Begin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.inProgress[b.crashID()], b)
	if len(d.inProgress[b.crashID()]) == 0 {
		delete(d.inProgress, b.crashID())
	}
}

// BrokeOff reports whether a server has lately broken off connections of this instance, and
// is not known to go on.
func (d *Detector) BrokeOff(server registrar.Server) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.byStart[quarantiner.NewCrashID(server.Name, server.StartedAtMillis)]
	return known
}

// report takes a request that a server broke off. The request may have crashed the
// server if it is a suspect.
func (d *Detector) report(now time.Time, broken *Begin, isSuspect bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := broken.crashID()
	if d.byStart == nil {
		d.byStart = map[quarantiner.CrashID]*possibleCrash{}
	}
	for other, crash := range d.byStart {
		if now.Sub(crash.brokeAt) > crashMemory {
			delete(d.byStart, other)
		}
	}
	crash, known := d.byStart[id]
	if !known {
		crash = &possibleCrash{brokeAt: now}
		d.byStart[id] = crash
		go d.check(id, crash, broken)
	}
	crash.longest = max(crash.longest, now.Sub(broken.sentAt))
	switch {
	case !isSuspect || broken.sentAt.After(crash.brokeAt): // it found the server ended
	case crash.confirmed:
		d.Quarantine.RecordCrash(crash.brokeAt, broken.server, broken.traits)
	case len(crash.pending) < maxPendingBreaks:
		crash.pending = append(crash.pending, broken)
	}
}

// check finds out whether a server has ended.
func (d *Detector) check(id quarantiner.CrashID, crash *possibleCrash, first *Begin) {
	sign := signOfEnd(first.server.Address)
	if sign != signNone && d.isCutOff(first.server, crash.brokeAt) {
		sign = signNone
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if sign == signNone || sign == signResets && d.mayBeFull(id, crash) {
		delete(d.byStart, id)
		d.Metrics.Count("server-connections-broken-by-live-servers")
		return
	}
	d.Metrics.Count("server-crashes")
	for _, broken := range crash.pending {
		klog.InfoS("server crashed under a request that had not begun long before", "server", broken.server.Name,
			"born", broken.server.StartedAtMillis, "request-hash", quarantiner.HashName(broken.traits.Request), "shared-parts", broken.traits.PartNames(), "requests", len(crash.pending),
			"after", crash.brokeAt.Sub(broken.sentAt))
		d.Quarantine.RecordCrash(crash.brokeAt, broken.server, broken.traits)
	}
	crash.confirmed, crash.pending = true, nil
}

// announcementTime is the time in which a server that has not ended announces itself.
const announcementTime = 2500 * time.Millisecond

// isCutOff reports whether a server that connections cannot be opened to goes on: this
// instance reaches no other one either, and the server announces itself.
func (d *Detector) isCutOff(server registrar.Server, brokeAt time.Time) bool {
	if d.Reach == nil || d.Reach.ReachesOther(server) {
		return false
	}
	time.Sleep(announcementTime)
	return d.Reach.AnnouncedSince(server, brokeAt)
}

// minWorkTime is how long a request must have been at a server that resets
// connections to show that the server did more than turn it away.
const minWorkTime = 100 * time.Millisecond

// mayBeFull reports whether a server that resets all new connections may have turned
// away those beyond its limit: it did so at once, or goes on with other requests.
// d.mu must be held.
func (d *Detector) mayBeFull(id quarantiner.CrashID, crash *possibleCrash) bool {
	for b := range d.inProgress[id] {
		if b.sentAt.Before(crash.brokeAt) {
			return true
		}
	}
	return crash.longest < minWorkTime
}

// endSign is what new connections to a server show.
type endSign uint8

const (
	// signNone means that the server may live: it accepts connections, or does not
	// answer at all, as behind a cut or without power.
	signNone endSign = iota
	// signRefused means that nothing listens there.
	signRefused
	// signResets means that all connections are opened and reset at once, as by a
	// port forwarder without a server behind it, or by a server that has too many.
	signResets
)

// signOfEnd opens some connections to the address of a server.
func signOfEnd(address netip.AddrPort) endSign {
	resets := 0
	for _, pause := range crashChecks {
		time.Sleep(pause)
		err := tryConnection(address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return signRefused
		case EndOf(err).IsAbrupt():
			resets++
		}
	}
	if resets == len(crashChecks) {
		return signResets
	}
	return signNone
}

// silenceOfLiveServer is how long an unused connection must stay open to show that
// a server is there.
const silenceOfLiveServer = 100 * time.Millisecond

// tryConnection opens a connection and returns the error with which it fails or
// ends, or a timeout if it stays open.
func tryConnection(address netip.AddrPort) error {
	conn, err := net.DialTimeout("tcp", address.String(), dialTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(silenceOfLiveServer)); err != nil {
		return err
	}
	_, err = conn.Read(make([]byte, 1))
	return err
}
