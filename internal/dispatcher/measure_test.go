package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/picker"
	"github.com/boragehead/boragehead/internal/tracker"
)

// roundRobin is a baseline policy that assigns requests to servers in turn.
type roundRobin struct{ turn int }

func (r *roundRobin) Pick(_ time.Time, servers []*tracker.Server, request picker.Request) *tracker.Server {
	for range servers {
		r.turn++
		server := servers[r.turn%len(servers)]
		if server.FreeSlots() > 0 && !slices.Contains(request.Tried, server.Name) {
			return server
		}
	}
	return nil
}

// leastReported is a baseline policy that chooses the server with the fewest
// running requests by its own report.
type leastReported struct{}

func (leastReported) Pick(_ time.Time, servers []*tracker.Server, request picker.Request) *tracker.Server {
	var best *tracker.Server
	for _, server := range servers {
		if server.FreeSlots() <= 0 || slices.Contains(request.Tried, server.Name) {
			continue
		}
		if best == nil || server.Load.Running < best.Load.Running {
			best = server
		}
	}
	return best
}

// simulationResult holds the measurements of one run.
type simulationResult struct {
	firstTokenWaits    []time.Duration
	waitsByWorkspace   map[string][]time.Duration
	prefilledTokens    int64
	promptTokens       int64
	refused            int
	refusedByWorkspace map[string]int
	requests           int
}

// simulate runs a load in virtual time against simulated engines, with the real
// model and the given policy.
func simulate(load []arrival, engines []*engine, policy dispatcher.Picker) simulationResult {
	model := dispatcher.Model{Picker: policy}
	result := simulationResult{waitsByWorkspace: map[string][]time.Duration{}, refusedByWorkspace: map[string]int{}}
	start := time.Unix(50_000, 0)
	byName := map[string]*engine{}
	events := &eventQueue{}
	var update func(now time.Time, msg dispatcher.Msg)
	update = func(now time.Time, msg dispatcher.Msg) {
		for _, cmd := range model.Update(now, msg) {
			switch cmd := cmd.(type) {
			case dispatcher.Assign:
				a, e := load[cmd.ID-1], byName[cmd.Server.Name]
				first, end, prefill := e.startRequest(now, a)
				result.prefilledTokens += prefill
				result.promptTokens += a.prompt
				wait := first.Sub(start.Add(a.offset))
				result.firstTokenWaits = append(result.firstTokenWaits, wait)
				result.waitsByWorkspace[a.workspace] = append(result.waitsByWorkspace[a.workspace], wait)
				events.add(first, func(now time.Time) { update(now, dispatcher.FirstToken{ID: cmd.ID}) })
				events.add(end, func(now time.Time) {
					e.finishRequest(now, a)
					update(now, dispatcher.Done{ID: cmd.ID, Tokens: a.output, Elapsed: end.Sub(first)})
				})
			case dispatcher.Refuse:
				result.refused++
				result.refusedByWorkspace[load[cmd.ID-1].workspace]++
			}
		}
	}
	for _, e := range engines {
		byName[e.name] = e
		e.recordLoad(start.Add(-time.Minute))
		for second := range 200 {
			events.add(start.Add(time.Duration(second-20)*time.Second), func(now time.Time) { update(now, e.announce(now)) })
		}
	}
	for i, a := range load {
		result.requests++
		events.add(start.Add(a.offset), func(now time.Time) {
			update(now, dispatcher.Enqueue{
				ID: uint64(i + 1), Workspace: a.workspace, Weight: a.weight, Pools: []string{"p"},
				Deadline: now.Add(a.timeout), OutputTokens: a.output,
				Request: picker.Request{Prefix: a.prefix, PromptTokens: a.prompt, PrefixTokens: a.prefixTokens},
			})
		})
	}
	for tick := range 1800 {
		events.add(start.Add(time.Duration(tick)*100*time.Millisecond), func(now time.Time) { update(now, dispatcher.Tick{}) })
	}
	for events.Len() > 0 {
		next := events.next()
		next.run(next.at)
	}
	return result
}

// steadyLoad draws requests with exponentially distributed intervals. They are a
// mix of continued long histories and short questions.
func steadyLoad(random *rand.Rand, perSecond float64, seconds int) []arrival {
	var load []arrival
	at := 0.0
	for at < float64(seconds) {
		at += random.ExpFloat64() / perSecond
		load = append(load, randomArrival(random, time.Duration(at*float64(time.Second))))
	}
	return load
}

// randomArrival draws a request. Two in five continue one of 150 long histories.
func randomArrival(random *rand.Rand, at time.Duration) arrival {
	a := arrival{
		offset: at, workspace: fmt.Sprintf("w%d", random.IntN(5)), weight: 1, prefix: random.Uint64() | 1,
		prompt: 60 + random.Int64N(200), output: 20 + random.Int64N(60), timeout: 60 * time.Second,
	}
	if random.IntN(5) < 2 {
		history := random.Int64N(150)
		a.prefix = uint64(history)*2 + 1
		a.prefixTokens = 2000 + 40*history
		a.prompt += a.prefixTokens
		a.output = 150 + random.Int64N(200)
	}
	return a
}

// hourlyBurstLoad adds two bursts to a steady load, as when many callers start on
// the hour: 150 requests within three seconds, at 30 s and at 90 s.
func hourlyBurstLoad(random *rand.Rand) []arrival {
	load := steadyLoad(random, 4, 120)
	for _, second := range []int{30, 90} {
		for range 150 {
			load = append(load, randomArrival(random, time.Duration(second)*time.Second+time.Duration(random.IntN(3000))*time.Millisecond))
		}
	}
	return sortByTime(load)
}

// greedyWorkspaceLoad adds one workspace that sends several times as many
// requests as the others.
func greedyWorkspaceLoad(random *rand.Rand) []arrival {
	load := steadyLoad(random, 5, 100)
	for _, a := range steadyLoad(random, 14, 100) {
		a.workspace = "greedy"
		load = append(load, a)
	}
	return sortByTime(load)
}

func sortByTime(load []arrival) []arrival {
	slices.SortStableFunc(load, func(a, b arrival) int { return int(a.offset - b.offset) })
	return load
}

func percentile(values []time.Duration, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(share*float64(len(sorted)-1))].Seconds() * 1000
}

func mean(values []time.Duration) float64 {
	sum := time.Duration(0)
	for _, value := range values {
		sum += value
	}
	return sum.Seconds() * 1000 / float64(max(len(values), 1))
}

// worstToMeanWait is the mean wait of the workspace that waits longest, divided
// by the average of these means over all workspaces. The greedy workspace is left
// out.
func (f simulationResult) worstToMeanWait() float64 {
	worst, all, count := 0.0, 0.0, 0
	for name, waits := range f.waitsByWorkspace {
		if name == "greedy" {
			continue
		}
		worst = max(worst, mean(waits))
		all += mean(waits)
		count++
	}
	return worst / (all / float64(count))
}

// waitsWithoutGreedy returns the waits of all workspaces but the greedy one.
func (f simulationResult) waitsWithoutGreedy() []time.Duration {
	var waits []time.Duration
	for name, own := range f.waitsByWorkspace {
		if name != "greedy" {
			waits = append(waits, own...)
		}
	}
	return waits
}

// BenchmarkDecision measures one request through the model, from Enqueue to Done,
// with as many servers as a small and a large failure domain have.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{5, 50} {
		b.Run(fmt.Sprintf("servers-%d", servers), func(b *testing.B) {
			var model dispatcher.Model
			now := time.Unix(50_000, 0)
			for i := range servers {
				model.Update(now.Add(-time.Minute), dispatcher.Announce{Announcement: tracker.Announcement{
					Name: fmt.Sprintf("e%d", i), Pools: []string{"p"}, State: tracker.StateReady, MaxRunning: 64, Counter: 1,
				}})
				model.Update(now, dispatcher.Announce{Announcement: tracker.Announcement{
					Name: fmt.Sprintf("e%d", i), Pools: []string{"p"}, State: tracker.StateReady, MaxRunning: 64, Counter: 2,
				}})
			}
			pools := []string{"p"}
			id := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				model.Update(now, dispatcher.Enqueue{
					ID: id, Workspace: "w", Weight: 1, Pools: pools, Deadline: now.Add(time.Minute), OutputTokens: 100,
					Request: picker.Request{Prefix: id, PromptTokens: 900, PrefixTokens: 800},
				})
				model.Update(now, dispatcher.FirstToken{ID: id})
				model.Update(now, dispatcher.Done{ID: id, Tokens: 100, Elapsed: time.Second})
			}
		})
	}
}

// BenchmarkChoosing compares the picker with the baselines on the same loads.
func BenchmarkChoosing(b *testing.B) {
	loads := []struct {
		name       string
		generate   func(*rand.Rand) []arrival
		slowFactor float64
	}{
		{name: "steady", generate: func(r *rand.Rand) []arrival { return steadyLoad(r, 9, 120) }},
		{name: "hour", generate: hourlyBurstLoad},
		{name: "greedy", generate: greedyWorkspaceLoad},
		{name: "slow-server", generate: func(r *rand.Rand) []arrival { return steadyLoad(r, 7, 120) }, slowFactor: 4},
	}
	policies := []struct {
		name      string
		newPicker func() dispatcher.Picker
	}{
		{name: "round-robin", newPicker: func() dispatcher.Picker { return &roundRobin{} }},
		{name: "least-reported", newPicker: func() dispatcher.Picker { return leastReported{} }},
		{name: "picker", newPicker: func() dispatcher.Picker { return &picker.Picker{} }},
	}
	for _, load := range loads {
		for _, policy := range policies {
			b.Run(load.name+"/"+policy.name, func(b *testing.B) {
				var got simulationResult
				for b.Loop() {
					engines := make([]*engine, 5)
					for i := range engines {
						engines[i] = &engine{name: fmt.Sprintf("e%d", i)}
					}
					engines[0].slowFactor = load.slowFactor
					got = simulate(load.generate(rand.New(rand.NewPCG(7, 5))), engines, policy.newPicker())
				}
				b.ReportMetric(percentile(got.firstTokenWaits, 0.5), "p50-ms")
				b.ReportMetric(percentile(got.firstTokenWaits, 0.95), "p95-ms")
				b.ReportMetric(percentile(got.firstTokenWaits, 0.99), "p99-ms")
				b.ReportMetric(100*(1-float64(got.prefilledTokens)/float64(got.promptTokens)), "%prefill-saved")
				b.ReportMetric(float64(got.prefilledTokens)/1000, "kilotokens-prefilled")
				b.ReportMetric(got.worstToMeanWait(), "worst/mean")
				b.ReportMetric(percentile(got.waitsWithoutGreedy(), 0.95), "others-p95-ms")
				b.ReportMetric(100*float64(got.refused)/float64(got.requests), "%refused")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
