package conductor

import (
	"bytes"
	"net/http"
	"sync"

	"github.com/boragehead/boragehead/internal/reserver"
)

const (
	// headLineBytes is what net/http holds for a line of a head besides its text, measured
	// with lines of six bytes: a string, a list of values and a place in a map.
	headLineBytes = 128
	// headByteFactor is how often it holds the text: in the line and in the read buffer.
	headByteFactor = 2
	// secureByteFactor stands for both where the bytes are encrypted, so that no lines can be
	// counted.
	secureByteFactor = 20
	// headStepBytes is how much is reserved at a time.
	headStepBytes = 4 << 10
	// settleBytes is the reservation beyond which that of a complete head is corrected: the
	// first bytes of a body were counted, too, and under TLS all bytes at their most.
	settleBytes = 16 << 10
)

// headMemory is what the unfinished or served head of a connection's request holds of the
// memory for requests. The zero value holds nothing.
type headMemory struct {
	mu          sync.Mutex
	reservation *reserver.Reservation
	size        int64
	closed      bool
}

// chargeHead reserves the memory for bytes of a head. It returns false after it has closed the
// connection, because there is none.
func (c *portConn) chargeHead(received []byte) bool {
	if c.limits == nil {
		return true
	}
	if c.head.grow(c, received) {
		return true
	}
	c.limits.count("heads-without-memory", "connection closed: no memory for the head of its request")
	_ = c.Close() // the caller may have closed it
	return false
}

func (h *headMemory) grow(c *portConn, received []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	if h.reservation == nil {
		h.reservation = &reserver.Reservation{Budget: c.limits.resources.Memory, Preferred: !c.limits.public, Drop: func() {
			c.limits.count("heads-dropped", "connection closed: the head of its request has stalled, and memory is short")
			_ = c.TCPConn.Close() // net/http closes the portConn then
		}}
	}
	if c.limits.secure {
		h.size += secureByteFactor * int64(len(received))
	} else {
		h.size += headByteFactor*int64(len(received)) + headLineBytes*int64(bytes.Count(received, []byte{'\n'}))
	}
	h.reservation.Progress(len(received))
	return h.reservation.TryGrow((h.size + headStepBytes - 1) / headStepBytes * headStepBytes)
}

// keep records that the head is complete. It returns false if it was dropped.
func (h *headMemory) keep() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reservation == nil || h.reservation.Keep()
}

// settle releases what a complete head holds less than was reserved for it.
func (h *headMemory) settle(r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reservation == nil || h.reservation.Held() <= settleBytes {
		return
	}
	size := int64(headStepBytes + headByteFactor*len(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			size += headLineBytes + int64(headByteFactor*(len(name)+len(value)))
		}
	}
	h.reservation.Shrink(size)
}

// release releases the memory of a head, for good if the connection is closed.
func (h *headMemory) release(closed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = h.closed || closed
	if h.reservation != nil {
		h.reservation.Shrink(0)
		h.reservation, h.size = nil, 0
	}
}
