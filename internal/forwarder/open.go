package forwarder

import (
	"sync"
	"sync/atomic"
	"time"
)

// phase is how far a request has come.
type phase int32

const (
	phaseHead phase = iota
	phaseChecks
	phaseBody
	phaseChoice
	phaseWaiting
	phaseServer
	phaseRelay
	phaseAnswer
	// phaseRefused is that of a request that gets a refusal. Its caller may still send.
	phaseRefused
)

var phaseNames = []string{"head", "checks", "body", "choice", "waiting", "server", "relay", "answer", "refused"}

// openRequest is a request in progress.
type openRequest struct {
	id      atomic.Pointer[string]
	arrived time.Time
	phase   atomic.Int32
}

func (o *openRequest) setID(id string) { o.id.Store(&id) }

// enter records that the request has come to a phase. The request may be nil.
func (o *openRequest) enter(p phase) {
	if o != nil {
		o.phase.Store(int32(p))
	}
}

// openRequests holds the requests in progress. The zero value is empty.
type openRequests struct {
	mu  sync.Mutex
	all map[*openRequest]struct{}
}

func (o *openRequests) add(arrived time.Time) *openRequest {
	request := &openRequest{arrived: arrived}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = map[*openRequest]struct{}{}
	}
	o.all[request] = struct{}{}
	return request
}

// isRefused reports whether the request has its answer, as far as it is decided.
func (o *openRequest) isRefused() bool { return phase(o.phase.Load()) == phaseRefused }

func (o *openRequests) remove(request *openRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.all, request)
}

// OpenRequest describes a request in progress.
type OpenRequest struct {
	// ID is empty until the head has been decoded.
	ID      string
	Arrived time.Time
	// Phase is "head", "checks", "body", "choice" of a server, "server" or "relay" while
	// no answer has begun, or "answer".
	Phase string
}

// OpenRequests returns the requests in progress that are not refused, including relayed ones.
func (f *Forwarder) OpenRequests() (requests []OpenRequest) {
	f.openRequests.mu.Lock()
	defer f.openRequests.mu.Unlock()
	for request := range f.openRequests.all {
		if request.isRefused() {
			continue
		}
		described := OpenRequest{Arrived: request.arrived, Phase: phaseNames[request.phase.Load()]}
		if id := request.id.Load(); id != nil {
			described.ID = *id
		}
		requests = append(requests, described)
	}
	return requests
}

// ActiveRequests returns the number of requests in progress that are not refused, including
// relayed ones.
func (f *Forwarder) ActiveRequests() int {
	active, _ := f.openRequests.count()
	return active
}

// RefusedRequests returns the number of requests that are refused and whose callers may still
// send, which takes a moment at most.
func (f *Forwarder) RefusedRequests() int {
	_, refused := f.openRequests.count()
	return refused
}

func (o *openRequests) count() (active, refused int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for request := range o.all {
		if request.isRefused() {
			refused++
		} else {
			active++
		}
	}
	return active, refused
}
