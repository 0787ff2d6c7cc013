package placer

import (
	"time"

	"github.com/boragehead/boragehead/internal/overflower"
)

// relay is a request that was relayed to another region, which has not taken or refused
// it yet.
type relay struct {
	key    overflower.Key
	sentAt time.Time
}

func overflowKey(request Request, region string) overflower.Key {
	return overflower.Key{Region: region, Service: request.Service.Name, Urgency: request.Urgency}
}

// sharesOverflow reports whether what is relayed of a request's kind is limited by what
// other regions accept. It is where kinds with different objectives compete: elsewhere
// summaries of regions decide alone.
func (p *Placer) sharesOverflow(now time.Time, request Request) bool {
	if request.goesOn() {
		return false
	}
	_, held := p.headroomBound(now, request)
	return held || p.isLeftHeadroom(now, request)
}

// mayOverflow reports whether another relay to a region may be open.
func (p *Placer) mayOverflow(now time.Time, request Request, region string) bool {
	return !p.sharesOverflow(now, request) || p.overflow.MayRelay(now, overflowKey(request, region))
}

// startRelay records that a request is relayed.
func (p *Placer) startRelay(now time.Time, request Request, region string) {
	if _, open := p.relaysByID[request.ID]; open || !p.sharesOverflow(now, request) {
		return
	}
	if p.relaysByID == nil {
		p.relaysByID = map[uint64]relay{}
	}
	key := overflowKey(request, region)
	p.relaysByID[request.ID] = relay{key: key, sentAt: now}
	p.overflow.Sent(now, key)
}

// FinishRelay records whether another region took a request that Place relayed there.
// It ignores unknown IDs.
func (p *Placer) FinishRelay(now time.Time, id uint64, accepted bool) {
	open, known := p.relaysByID[id]
	if !known {
		return
	}
	delete(p.relaysByID, id)
	if accepted {
		p.overflow.Accepted(now, open.key)
		return
	}
	p.overflow.Refused(now, open.sentAt, open.key)
}
