// Package beaconer carries what changes by the moment between the processes of
// a fleet: who is alive, what each entry instance has spent of the quotas, and
// what work it has at which server.
//
// The one idea: a [Beacon] is a whole, numbered statement of its sender in one
// datagram. A lost one costs nothing but time, since the next says it all again;
// a late one is dropped by its number.
package beaconer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/placer"
)

// State is what a process says of itself.
type State string

// The states.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateStopping State = "stopping"
)

// Beacon is what an entry instance says of itself.
type Beacon struct {
	Instance
	State State `cbor:"t"`
	// Sequence numbers the beacons of an incarnation.
	Sequence uint64 `cbor:"q"`
	// Spent is what the instance has spent of each workspace's quota since it
	// started.
	Spent map[string]float64 `cbor:"x,omitempty"`
	// Levels is what it believes to be left of them.
	Levels map[string]float64 `cbor:"e,omitempty"`
	// Changes means that the beacon holds only the Loads that have changed since
	// the sender last told all, and nothing of quotas.
	Changes bool `cbor:"h,omitempty"`
	// Loads is the work that it has at each backend server of its region.
	Loads map[string]placer.Load `cbor:"l,omitempty"`
	// Readings are the prompts that were lately placed where they were not kept.
	Readings []placer.Reading `cbor:"k,omitempty"`
	// Services is what its region can do.
	Services map[string]placer.Summary `cbor:"v,omitempty"`
	// Zone, unless nil, makes the beacon one of the sender's whole failure
	// domain: Spent and Loads are then sums over its instances.
	Zone *Zone `cbor:"z,omitempty"`
}

// Zone tells for whom a beacon speaks.
type Zone struct {
	// Since is when the sender began to speak for its failure domain, in
	// nanoseconds.
	Since int64 `cbor:"s"`
	// Relays are the relay addresses of its ready instances.
	Relays []netip.AddrPort `cbor:"r,omitempty"`
	// Instances is how many instances it speaks for.
	Instances int `cbor:"i"`
}

// Instance is where an entry instance is.
type Instance struct {
	Name          string `cbor:"n"`
	Region        string `cbor:"r"`
	FailureDomain string `cbor:"d"`
	// Incarnation is the start of the process, in nanoseconds.
	Incarnation int64          `cbor:"i"`
	Peer        netip.AddrPort `cbor:"p"`
	Callers     netip.AddrPort `cbor:"c"`
	Relay       netip.AddrPort `cbor:"y"`
}

// maxDatagram bounds a received datagram, in bytes.
const maxDatagram = 16 << 10

// Port sends and receives beacons.
type Port struct {
	conn *net.UDPConn

	mu sync.Mutex
	// last is the newest beacon of each sender.
	last map[string]stamp
}

type stamp struct {
	incarnation int64
	sequence    uint64
}

// Listen opens the port.
func Listen(address netip.AddrPort) (*Port, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Port{conn: conn, last: map[string]stamp{}}, nil
}

// Send sends one beacon to some addresses. It may be lost on the way; the error
// is the first of those that are known here.
func (p *Port) Send(beacon Beacon, to ...netip.AddrPort) error {
	data, err := cbor.Marshal(beacon)
	if err != nil {
		return trace.Wrap(err)
	}
	var first error
	for _, address := range to {
		if _, err := p.conn.WriteToUDPAddrPort(data, address); err != nil && first == nil {
			first = trace.Wrap(err, "to %s", address)
		}
	}
	return first
}

// Run hands every new beacon to a function until the context ends.
func (p *Port) Run(ctx context.Context, hear func(now time.Time, beacon Beacon)) error {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// An unreachable receiver may be reported here; the port stays open.
			conductor.Pause(ctx, readPause)
			continue
		}
		var beacon Beacon
		if cbor.Unmarshal(buffer[:size], &beacon) == nil && p.fresh(beacon) {
			hear(time.Now(), beacon)
		}
	}
	return nil
}

// readPause keeps a port whose reads fail from spinning.
const readPause = 10 * time.Millisecond

// fresh reports whether a beacon is newer than all that its sender has sent.
func (p *Port) fresh(beacon Beacon) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := stamp{incarnation: beacon.Incarnation, sequence: beacon.Sequence}
	last := p.last[beacon.Name]
	if next.incarnation < last.incarnation || next.incarnation == last.incarnation && next.sequence <= last.sequence {
		return false
	}
	p.last[beacon.Name] = next
	return true
}
