package conductor

import (
	"container/list"
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/reserver"
)

const (
	// defaultRequestBytes is the budget for requests of a process without a memory setting.
	defaultRequestBytes = 64 << 20
	// minRequestBytes is the least budget: a body of 4 MiB takes up to 6 MiB while its buffer
	// grows, and large ones leave a quarter.
	minRequestBytes = 16 << 20
	// requestMemoryParts is how many parts of the process's memory there are for the one that
	// requests may take. The rest is for responses, the state, and what the collector has not
	// freed yet.
	requestMemoryParts = 4
	// connectionBytes is about what net/http holds for a connection that sends nothing.
	connectionBytes = 16 << 10
)

// Counter counts events by name. It must be safe for concurrent use.
type Counter interface {
	Count(name string)
}

// Resources are the memory and the descriptors that the requests of a process may use.
type Resources struct {
	// Memory is for the heads and bodies of all requests in progress.
	Memory *reserver.Budget

	// maxFiles and maxConnections are 0 if there is no limit.
	maxFiles, maxConnections int64
	counter                  Counter
	dropLogged               logger.RateLimiter
}

// NewResources returns the resources of a process with an amount of memory, in MB of 2^20
// bytes, and a number of descriptors. 0 stands for no limit of the memory, and for the
// process's own limit of descriptors.
func NewResources(memoryMB, maxFiles int64, counter Counter) *Resources {
	r := &Resources{Memory: &reserver.Budget{Bytes: defaultRequestBytes}, maxFiles: maxFiles, counter: counter}
	if memoryMB > 0 {
		r.Memory.Bytes = max(memoryMB<<20/requestMemoryParts, minRequestBytes)
		r.maxConnections = r.Memory.Bytes / connectionBytes
	}
	if maxFiles == 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			klog.ErrorS(err, "limit of descriptors unknown: connections are not limited")
		} else {
			r.maxFiles = int64(min(limit.Cur, 1<<30))
		}
	}
	return r
}

// Port returns the limits of a port that may use a share of the descriptors for its
// connections. The name is for logs and counters.
func (r *Resources) Port(name string, share float64) *PortLimits {
	p := &PortLimits{resources: r, name: name}
	if r.maxFiles > 0 {
		p.maxConnections = max(int(float64(r.maxFiles)*share), 1)
		if r.maxConnections > 0 {
			p.maxConnections = min(p.maxConnections, int(r.maxConnections))
		}
	}
	return p
}

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// countBody counts a body that was not read for lack of memory.
func (r *Resources) countBody() {
	(&PortLimits{resources: r, name: "control"}).count("bodies-without-memory", "body of a request not read: no memory")
}

// Secure records that the connections of the port are encrypted, and returns its limits.
func (p *PortLimits) Secure() *PortLimits {
	p.secure = true
	return p
}

// Public records that the connections of the port are callers', and returns its limits: they
// leave a part of the memory to others.
func (p *PortLimits) Public() *PortLimits {
	p.public = true
	return p
}

// count counts an event of a port and logs it at a bounded rate.
func (p *PortLimits) count(event, message string) {
	if p.resources.counter != nil {
		p.resources.counter.Count(event + "-" + p.name)
	}
	if leftOut, ok := p.resources.dropLogged.Allow(time.Now()); ok {
		klog.InfoS(message, "port", p.name, "most", p.maxConnections, "left-out", leftOut)
	}
}

// PortLimits limits the connections of a port. Beyond the limit, the connection is closed
// that has been without a request for longest. If there is none, a request is ended of which
// the head or body has stalled, and only if there is none either, the new connection is closed.
type PortLimits struct {
	resources *Resources
	name      string
	// maxConnections is 0 if there is no limit.
	maxConnections int
	// secure means that the connections are encrypted, and public that they are callers'.
	secure, public bool

	mu   sync.Mutex
	open int
	// waiting holds the connections on which no request is being served, in the order in
	// which they began to wait: *portConn.
	waiting list.List
}

// maxUnreadTries is how many connections are looked at for one on which nothing of a request
// has arrived, before one is closed on which something has.
const maxUnreadTries = 16

// admit counts a new connection, and closes another one if there are too many. It returns
// false if that is not possible.
func (p *PortLimits) admit(conn *portConn) bool {
	replaces := false // the one that it replaces is about to be closed
	for tries := 0; ; tries++ {
		p.mu.Lock()
		if p.maxConnections == 0 || p.open < p.maxConnections || replaces {
			p.open++
			conn.limits = p
			conn.place = p.waiting.PushBack(conn)
			p.mu.Unlock()
			return true
		}
		longest := p.waiting.Front()
		if longest == nil || tries > 2*maxUnreadTries {
			p.mu.Unlock()
			if replaces = p.resources.Memory.DropStalled(); replaces {
				p.count("requests-dropped", "stalled request ended to make room for another connection")
				continue
			}
			p.count("connections-refused", "connection refused: requests are being served on as many as the port may have")
			return false
		}
		other := longest.Value.(*portConn)
		p.waiting.MoveToBack(longest)
		p.mu.Unlock()
		if other.closeIfUnread() || tries >= maxUnreadTries && other.closeIfUnserved() {
			p.count("connections-evicted", "connection without a request closed to make room for another one")
		}
	}
}

// setServing records whether a request of the connection is being served.
func (p *PortLimits) setServing(conn *portConn, serving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case conn.place != nil && serving:
		p.waiting.Remove(conn.place)
		conn.place = nil
	case conn.place == nil && !serving && !conn.left:
		conn.place = p.waiting.PushBack(conn)
	}
}

// forget ends the count of a connection. It may be called more than once.
func (p *PortLimits) forget(conn *portConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.left {
		return
	}
	conn.left = true
	p.open--
	if conn.place != nil {
		p.waiting.Remove(conn.place)
		conn.place = nil
	}
}
