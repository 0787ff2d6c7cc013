// Package beaconer sends and receives the state of entry instances that changes
// many times per second: who is alive, how much of the quotas each instance has
// spent, and how much work it has at each backend server.
//
// A [Beacon] is one numbered UDP datagram. It repeats the sender's state instead
// of listing events, so a lost beacon only delays an update until the next one.
// Beacons that arrive out of order are dropped by their sequence numbers.
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
	"github.com/boragehead/boragehead/internal/decoder"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/throttler"
)

// State is the lifecycle state of an entry instance.
type State string

// Lifecycle states.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateStopping State = "stopping"
)

// Beacon describes the state of an entry instance, or of all instances of its
// failure domain if Aggregate is set.
type Beacon struct {
	// Instance describes the sender.
	Instance
	State State `cbor:"t"`
	// Sequence orders the beacons of one incarnation.
	Sequence uint64 `cbor:"q"`
	// DefinitionVersion is the version that the instance has in force; 0 if it has
	// none.
	DefinitionVersion uint64 `cbor:"b,omitempty"`
	// CutOff means that the sender reaches no backend server of its region.
	CutOff bool `cbor:"j,omitempty"`
	// QuotaSpent is what the instance has spent of each workspace's quota since it
	// started, by workspace name.
	QuotaSpent map[string]float64 `cbor:"x,omitempty"`
	// QuotaLeft is the instance's estimate of what is left of each quota, by
	// workspace name.
	QuotaLeft map[string]float64 `cbor:"e,omitempty"`
	// Partial means that Loads holds only what has changed since the sender's last
	// complete beacon, and that the beacon says nothing about quotas.
	Partial bool `cbor:"h,omitempty"`
	// Loads is the instance's work at the backend servers of its region, by server
	// name.
	Loads map[string]placer.Load `cbor:"l,omitempty"`
	// CacheFills are prompts that were recently sent to servers that did not have
	// them cached.
	CacheFills []placer.CacheFill `cbor:"k,omitempty"`
	// Limits are what the sender knows of the limits of its region's servers. A partial
	// beacon has those that changed last.
	Limits []throttler.Report `cbor:"w,omitempty"`
	// Services summarizes the capacity of the services in the sender's region, by
	// service name.
	Services map[string]placer.ServiceSummary `cbor:"v,omitempty"`
	// Aggregate is set if the sender reports for its whole failure domain.
	// QuotaSpent and Loads are then sums over the instances of the domain.
	Aggregate *Aggregate `cbor:"z,omitempty"`
	// Digest is set if the sender tells the instances of its failure domain what it has
	// collected from all of them.
	Digest *Digest `cbor:"g,omitempty"`
	// Forward are the instances to which the receiver passes the beacon on, without this
	// field.
	Forward []netip.AddrPort `cbor:"f,omitempty"`
}

// Aggregate describes the failure domain that a beacon reports for.
type Aggregate struct {
	// Since is when the sender began to report for its failure domain, in
	// nanoseconds of Unix time.
	Since int64 `cbor:"s"`
	// Relays are the relay addresses of the domain's ready instances.
	Relays []netip.AddrPort `cbor:"r,omitempty"`
	// Instances is the number of instances that the beacon covers.
	Instances int `cbor:"i"`
	// Distributes means that the sender passes beacons of other failure domains on to
	// the instances of its own.
	Distributes bool `cbor:"d,omitempty"`
}

// Instance describes an entry instance and where it is reached.
type Instance struct {
	Name          string `cbor:"n"`
	Region        string `cbor:"r"`
	FailureDomain string `cbor:"d"`
	// Incarnation is when the process started, in nanoseconds of Unix time.
	Incarnation int64 `cbor:"i"`
	// PeerAddress is the address for the fleet's other processes, CallerAddress
	// the one for callers, and RelayAddress the one for requests that other entry
	// instances relay.
	PeerAddress   netip.AddrPort `cbor:"p"`
	CallerAddress netip.AddrPort `cbor:"c"`
	RelayAddress  netip.AddrPort `cbor:"y"`
}

// maxDatagram is the size of the receive buffer in bytes: no datagram is longer.
const maxDatagram = 64 << 10

// Socket is a UDP socket that sends and receives beacons. It is safe for concurrent
// use, except that Run must be called only once.
type Socket struct {
	conn *net.UDPConn

	mu sync.Mutex
	// latestBySender holds the newest beacon received from each sender.
	latestBySender map[string]beaconVersion
}

// beaconVersion orders the beacons of one sender, first by incarnation, then by
// sequence.
type beaconVersion struct {
	incarnation int64
	sequence    uint64
}

// Listen binds a port to an IPv4 address. Run closes it.
func Listen(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Socket{conn: conn, latestBySender: map[string]beaconVersion{}}, nil
}

// Send sends one beacon to every given address and returns the first error. A
// beacon may be lost without an error.
func (p *Socket) Send(beacon Beacon, to ...netip.AddrPort) error {
	data, err := cbor.Marshal(beacon)
	if err != nil {
		return trace.Wrap(err)
	}
	var firstErr error
	for _, address := range to {
		if _, err := p.conn.WriteToUDPAddrPort(data, address); err != nil && firstErr == nil {
			firstErr = trace.Wrap(err, "to %s", address)
		}
	}
	return firstErr
}

// Run calls handle for every beacon that is newer than those before from the same
// sender, one at a time, with the time of its arrival. Malformed beacons are
// ignored. When the context ends, Run closes the port and returns nil.
func (p *Socket) Run(ctx context.Context, handle func(now time.Time, beacon Beacon)) error {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The system may report an unreachable receiver as a read error, so errors
			// don't close the port.
			conductor.Sleep(ctx, readRetryDelay)
			continue
		}
		var beacon Beacon
		if decoder.Message(buffer[:size], &beacon) == nil && p.recordIfNewer(beacon) {
			handle(time.Now(), beacon)
		}
	}
	return nil
}

// readRetryDelay is the delay after a read error. It prevents a busy loop.
const readRetryDelay = 10 * time.Millisecond

// recordIfNewer reports whether a beacon is newer than all earlier ones from its
// sender, and if so records it as the latest.
func (p *Socket) recordIfNewer(beacon Beacon) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := beaconVersion{incarnation: beacon.Incarnation, sequence: beacon.Sequence}
	latest := p.latestBySender[beacon.Name]
	if next.incarnation < latest.incarnation || next.incarnation == latest.incarnation && next.sequence <= latest.sequence {
		return false
	}
	p.latestBySender[beacon.Name] = next
	return true
}
