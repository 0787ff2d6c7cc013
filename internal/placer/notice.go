package placer

import (
	"maps"
	"time"
)

// Notice is what a server said about itself in a response.
type Notice struct {
	// Leaving means that the server gets no more requests until it starts again.
	Leaving bool
}

// serverStart identifies one start of a server.
type serverStart struct {
	name     string
	atMillis int64
}

// notice is what one start of a server has said so far.
type notice struct {
	leaving    bool
	recordedAt time.Time
}

// noticeRetention is how long a notice is kept for a server that is not listed: such
// a server may be listed again, as after a cut, and still be leaving.
const noticeRetention = 10 * time.Minute

// RecordNotice records what the server of a placement said about itself. It ignores
// unknown IDs.
func (p *Placer) RecordNotice(now time.Time, id uint64, said Notice) {
	placed, known := p.placementsByID[id]
	if !known {
		return
	}
	if p.noticesByStart == nil {
		p.noticesByStart = map[serverStart]notice{}
	}
	recorded := p.noticesByStart[placed.start]
	recorded.recordedAt = now
	recorded.leaving = recorded.leaving || said.Leaving
	p.noticesByStart[placed.start] = recorded
	if s, listed := p.serversByName[placed.start.name]; listed && s.start() == placed.start {
		s.notice = recorded
	}
}

// dropOldNotices forgets the notices of servers that have not been listed for long.
func (p *Placer) dropOldNotices(now time.Time) {
	maps.DeleteFunc(p.noticesByStart, func(start serverStart, recorded notice) bool {
		s, listed := p.serversByName[start.name]
		return now.Sub(recorded.recordedAt) > noticeRetention && !(listed && s.start() == start)
	})
}

func (s *server) start() serverStart {
	return serverStart{name: s.Name, atMillis: s.StartedAtMillis}
}
