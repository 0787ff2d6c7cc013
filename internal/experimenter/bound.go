package experimenter

import (
	"fmt"
	"time"

	"github.com/boragehead/boragehead/internal/emulator"
)

// boundModel is a linear relaxation of a simulation in which all arrivals are known.
// It has three resources for each region and window. Two are engine time at normal
// speed:
//
//   - the time of all steps if there are only as many steps as chunks of prompt tokens
//   - the time of all steps if there are only as many steps as full batches of tokens
//
// An engine has at least the larger number of steps, so that neither sum can exceed
// the time that the engines have. The third are the slots at the end of the window:
// an answer that has begun and has tokens left holds one. A request may run in any region that its kind
// allows, in parts, and its work may be in any window from its arrival on: prefill
// until the objective, and decoding for as many of the longest steps after it as the
// request has tokens. Late answers have until the deadline for both. Each shared part is prefilled once:
// of its tokens, each request of the whole run is charged an equal part. Queues,
// memory, the choice of an engine and a second prefill are left out, so that no policy
// can reach more, unless preempted requests pause for longer than that and still are in
// time.
type boundModel struct {
	pattern  Pattern
	windows  int
	requests []boundRequest
	// capacity is ordered by region and window, at region*windows+window.
	capacity []resources
	// longestStep bounds the duration of a step at normal speed.
	longestStep time.Duration
}

// work is engine time in seconds: with as many steps as chunks, and with as many as
// batches.
type work [2]float64

// resources holds an amount or a price of each resource of a region in a window: the
// engine times of work, and slots at its end.
type resources [3]float64

// slots is the index of the slots in resources.
const slots = 2

// boundRequest is a request of the relaxation.
type boundRequest struct {
	regionIndex, kindIndex, window int
	// ownTokens is the part of the prompt that no other request shares, sharedTokens
	// the request's portion of its shared parts.
	ownTokens, sharedTokens float64
	// own, shared and decoding are the engine times of ownTokens, sharedTokens and the
	// output.
	own, shared, decoding work
	// possible is the worth of an answer in time.
	possible float64
	options  []boundOption
}

// boundOption is one way to answer a request: in a region, in time or late. Prefill
// and decoding may be in any window from from to the last one, inclusive.
type boundOption struct {
	region                       int
	value                        float64
	from, lastPrefill, lastToken int
}

// newBoundModel returns the relaxation of a pattern's simulation with a seed.
func newBoundModel(pattern Pattern, seed uint64, all []arrival) *boundModel {
	longest := time.Duration(0)
	for _, kind := range pattern.Kinds {
		longest = max(longest, kind.Deadline)
	}
	m := &boundModel{pattern: pattern, windows: int((pattern.Duration+longest)/windowLength) + 1}
	uses := map[uint64]float64{}
	longestPrompt, longestShared := int64(0), int64(0)
	for _, a := range all {
		longestPrompt = max(longestPrompt, a.promptTokens()+a.outputTokens)
		longestShared = max(longestShared, a.promptTokens()-a.parts[len(a.parts)-1].Tokens)
		for _, part := range a.parts[:len(a.parts)-1] {
			uses[part.ID]++
		}
	}
	m.longestStep = longestStep(pattern.Engine, longestPrompt, longestShared)
	m.setCapacity(seed)
	for _, a := range all {
		m.requests = append(m.requests, m.newRequest(a, uses))
	}
	return m
}

// longestStep bounds the duration of a step at normal speed. Running requests hold
// their own tokens in memory, but may share the others.
func longestStep(engine emulator.Spec, longestPrompt, longestShared int64) time.Duration {
	running := int64(engine.Slots)
	context := min(running*longestPrompt, engine.Memory+running*longestShared)
	prefill := float64(engine.PrefillChunk) / engine.PrefillRate * float64(time.Second)
	duration := engine.StepTime + time.Duration(running)*engine.StepTimePerRequest + time.Duration(prefill)
	return duration + time.Duration(float64(engine.StepTimePerKilotoken)*float64(context)/1000)
}

// setCapacity adds up the engine time. It subtracts outages, unless a region has
// several that overlap, since the end of one of them restarts the engines of all.
func (m *boundModel) setCapacity(seed uint64) {
	for _, r := range m.pattern.Regions {
		outages := m.pattern.separateOutages(r.Name)
		for window := range m.windows {
			from := time.Duration(window) * windowLength
			until := from + windowLength
			total := 0.0
			for i := range r.Engines {
				name := engineName(r, i)
				total += m.pattern.Slowdowns.engineTime(seed, name, from, until, m.longestStep)
				for _, outage := range outages {
					begin, end := max(from, outage.At), min(until, outage.At+outage.Duration)
					if begin < end && i < int(outage.Share*float64(r.Engines)) {
						total -= m.pattern.Slowdowns.engineTime(seed, name, begin, end, 0)
					}
				}
			}
			engineTime := max(total, minCapacityShare*float64(r.Engines)*windowLength.Seconds())
			m.capacity = append(m.capacity, resources{engineTime, engineTime, float64(r.Engines * m.pattern.Engine.Slots)})
		}
	}
}

// minCapacityShare of the engines' time is taken as the capacity where outages leave
// less: the search converges slowly if capacities are close to 0.
const minCapacityShare = 0.05

func engineName(r Region, number int) string {
	return fmt.Sprintf("engine-%s-%d", r.Name, number)
}

// separateOutages returns the outages of a region, or nothing if some overlap.
func (p Pattern) separateOutages(region string) []Outage {
	var all []Outage
	for _, outage := range p.Outages {
		if outage.Region != region {
			continue
		}
		for _, other := range all {
			if outage.At <= other.At+other.Duration && other.At <= outage.At+outage.Duration {
				return nil
			}
		}
		all = append(all, outage)
	}
	return all
}

func (m *boundModel) newRequest(a arrival, uses map[uint64]float64) boundRequest {
	kind := m.pattern.Kinds[a.kindIndex]
	output := max(a.outputTokens, 1)
	own := a.parts[len(a.parts)-1].Tokens
	r := boundRequest{
		regionIndex: a.regionIndex, kindIndex: a.kindIndex, window: m.pattern.windowOf(a.at),
		ownTokens: float64(own), possible: kind.Worth * a.weight,
	}
	for _, part := range a.parts[:len(a.parts)-1] {
		r.sharedTokens += float64(part.Tokens) / uses[part.ID]
	}
	r.own, r.shared = m.prefillTime(r.ownTokens), m.prefillTime(r.sharedTokens)
	r.decoding = m.decodingTime(float64(output), float64(a.promptTokens()))
	slowest := m.longestStep
	if m.pattern.Slowdowns != nil {
		slowest = time.Duration(m.pattern.Slowdowns.Factor * float64(slowest))
	}
	inTime := min(kind.Objective+time.Duration(output)*slowest, kind.Deadline)
	for index, region := range m.pattern.Regions {
		if !kind.mayRunIn(region.Name) {
			continue
		}
		way := m.pattern.Network.ToCaller + min(m.pattern.Network.WithinDomain, m.pattern.Network.BetweenDomains)
		if index != a.regionIndex {
			way += m.pattern.Network.BetweenRegions
		}
		begin := a.at + way + m.pattern.Engine.PrefillDelay
		add := func(value float64, firstEvent, lastEvent time.Duration) {
			if firstEvent = a.at + firstEvent - way; firstEvent < begin || value <= 0 {
				return
			}
			r.options = append(r.options, boundOption{
				region: index, value: value * a.weight, from: int(begin / windowLength),
				lastPrefill: int(firstEvent / windowLength), lastToken: int((a.at + lastEvent - way) / windowLength),
			})
		}
		add(kind.Worth, min(kind.Objective, kind.Deadline), inTime)
		add(kind.LateWorth, kind.Deadline, kind.Deadline)
	}
	return r
}

// prefillTime returns the engine time of prefilling tokens.
func (m *boundModel) prefillTime(tokens float64) work {
	engine := m.pattern.Engine
	prefill := tokens / engine.PrefillRate
	return work{prefill + tokens/float64(engine.PrefillChunk)*engine.StepTime.Seconds(), prefill}
}

// decodingTime returns the engine time of output tokens after a prompt. The first
// token is generated by the step that ends the prefill.
func (m *boundModel) decodingTime(tokens, prompt float64) work {
	engine := m.pattern.Engine
	decoding := (tokens-1)*engine.StepTimePerRequest.Seconds() + tokens*prompt/1000*engine.StepTimePerKilotoken.Seconds()
	return work{decoding, decoding + tokens/float64(engine.Slots)*engine.StepTime.Seconds()}
}

// windowOf returns the index of the window of a call that starts at a time since the
// start.
func (p Pattern) windowOf(at time.Duration) int {
	return min(int(at/windowLength), int((p.Duration-1)/windowLength))
}
