package quarantiner

import "time"

// maxRequestBegins is how many requests have their last sound begin remembered.
const maxRequestBegins = 1 << 14

// recentBegins remembers when answers on requests last began soundly. Most requests come
// only once, so that a newer one takes the place of an older one with the same remainder,
// and what comes often is remembered best. The zero value is empty.
type recentBegins struct {
	slots []requestBegin
}

type requestBegin struct {
	request uint64
	began   time.Time
}

func (r *recentBegins) record(request uint64, began time.Time) {
	if r.slots == nil {
		r.slots = make([]requestBegin, maxRequestBegins)
	}
	slot := &r.slots[request%maxRequestBegins]
	if slot.request != request || began.After(slot.began) {
		*slot = requestBegin{request: request, began: began}
	}
}

// last returns the last begin of a request; zero if none is remembered.
func (r *recentBegins) last(request uint64) time.Time {
	if r.slots == nil || r.slots[request%maxRequestBegins].request != request {
		return time.Time{}
	}
	return r.slots[request%maxRequestBegins].began
}

// expire forgets the begins that are older than beginRetention.
func (r *recentBegins) expire(now time.Time) {
	for i := range r.slots {
		if now.Sub(r.slots[i].began) > beginRetention {
			r.slots[i] = requestBegin{}
		}
	}
}

// recordBegin remembers a sound begin for crashes that are reported later.
func (t *Table) recordBegin(began time.Time, partID uint64, isRequest bool) {
	if isRequest {
		t.beginsByRequest.record(partID, began)
		return
	}
	last, known := t.beginsByPart[partID]
	if (known || len(t.beginsByPart) < maxBegins) && began.After(last) {
		t.beginsByPart[partID] = began
	}
}

// lastBegin returns the last sound begin on a part that was recorded here and is still
// remembered; zero if there is none.
func (t *Table) lastBegin(partID uint64, p *part) time.Time {
	if p.isRequest {
		return t.beginsByRequest.last(partID)
	}
	return t.beginsByPart[partID]
}
