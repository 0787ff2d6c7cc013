package placer

import (
	"time"

	"github.com/boragehead/boragehead/internal/estimator"
)

// outputFactor returns the factor that predicted times for outputs are multiplied by. Where
// servers report their slowdown the latency ratio is left out: it rises with queues before
// first events, which say nothing about the pace after them. It only bounds, compared with
// that of the other servers, how far a server is believed.
func (s *server) outputFactor(now time.Time) float64 {
	factor := s.slowdowns.factor(now)
	if factor == 0 {
		return s.timeFactor(now)
	}
	relative := s.latencyRatio / s.speed.usualLatencyRatio()
	if factor < 1 {
		return min(factor*max(relative, 1), 1)
	}
	return max(factor*min(relative, 1), 1)
}

// usualLatencyRatio returns the mean latency ratio of the servers that report their slowdown.
func (d *serviceSpeed) usualLatencyRatio() float64 {
	if d == nil || d.latencyRatio == 0 {
		return 1
	}
	return d.latencyRatio
}

// recordLength records the real length of a placed request's output, in tokens.
func (p *Placer) recordLength(placed *placement, length int64) {
	if p.lengths == nil {
		p.lengths = map[kindKey]*estimator.Length{}
	}
	if p.lengths[placed.kind] == nil {
		p.lengths[placed.kind] = &estimator.Length{}
	}
	p.lengths[placed.kind].Observe(placed.expectedOutput, length)
}

// correctLength replaces the length that a caller expects by the one that such outputs have.
func (p *Placer) correctLength(request *Request) {
	request.statedOutput = request.Work.Expected
	if length := p.lengths[kindOf(*request)]; length != nil {
		request.Work.Expected = length.Correct(request.Work.Expected)
	}
}
