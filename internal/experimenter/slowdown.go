package experimenter

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragehead/boragehead/internal/placer"
)

// Slowdowns describes engines that share their machines with other work. The time of
// each engine is divided into periods; in a share of them, drawn by period, all its
// steps take longer, by a factor that is drawn evenly between 1 and Factor.
type Slowdowns struct {
	Share  float64       `yaml:"share" validate:"gt=0,lte=1"`
	Factor float64       `yaml:"factor" validate:"gt=1"`
	Period time.Duration `yaml:"period" validate:"gt=0"`
	// Reported means that engines name their slowdown in each response.
	Reported bool `yaml:"reported"`
}

// slowdownAt returns the factor of an engine at a time since the start, and when its
// next period begins. Engines begin their periods at different times. The result
// depends on the arguments alone, so that the bound knows what a simulation does.
func (s Slowdowns) slowdownAt(seed uint64, engine string, at time.Duration) (factor float64, next time.Duration) {
	hash := xxhash.Sum64String(engine)
	phase := time.Duration(hash % uint64(s.Period))
	number := (at + phase) / s.Period
	next = (number+1)*s.Period - phase
	random := rand.New(rand.NewPCG(seed^hash, uint64(number)))
	if random.Float64() >= s.Share {
		return 1, next
	}
	return 1 + random.Float64()*(s.Factor-1), next
}

// updateSlowdown sets the speed of an engine and schedules the next change.
func (s *simulation) updateSlowdown(e *engine) {
	if s.pattern.Slowdowns == nil {
		return
	}
	now := s.now.Sub(epoch)
	factor, next := s.pattern.Slowdowns.slowdownAt(s.seed, e.server.Name, now)
	e.Slowdown = factor
	s.schedule(next-now, func() { s.updateSlowdown(e) })
}

// reportSlowdown reports the slowdown of an engine in the head of a response.
func (s *simulation) reportSlowdown(e *engine, to Policy, id uint64) {
	if s.pattern.Slowdowns == nil || !s.pattern.Slowdowns.Reported {
		return
	}
	percent := int32(math.Round(e.Slowdown * 100))
	to.RecordNotice(s.now, id, placer.Notice{Load: placer.ServerLoad{Reported: true, Slowdown: percent}})
}

// engineTime returns how much time at normal speed an engine has from a time since
// the start until another. A step keeps the speed at which it began; therefore
// longestStep is added for each change to a slower speed whose last faster step may
// reach into this time.
func (s *Slowdowns) engineTime(seed uint64, engine string, from, until, longestStep time.Duration) float64 {
	if s == nil {
		return (until - from).Seconds()
	}
	at := max(from-time.Duration(s.Factor*float64(longestStep)), 0)
	total, before := 0.0, math.Inf(1)
	if at > 0 {
		before, _ = s.slowdownAt(seed, engine, at-1)
	}
	for at < until {
		factor, next := s.slowdownAt(seed, engine, at)
		if factor > before {
			total += longestStep.Seconds()
		}
		total += max(min(next, until)-max(at, from), 0).Seconds() / factor
		at, before = next, factor
	}
	return total
}
