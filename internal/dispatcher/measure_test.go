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

// roundRobin and leastReported are the baselines.
type roundRobin struct{ turn int }

func (r *roundRobin) Pick(_ time.Time, servers []*tracker.Server, request picker.Request) *tracker.Server {
	for range servers {
		r.turn++
		server := servers[r.turn%len(servers)]
		if server.Free() > 0 && !slices.Contains(request.Tried, server.Name) {
			return server
		}
	}
	return nil
}

type leastReported struct{}

func (leastReported) Pick(_ time.Time, servers []*tracker.Server, request picker.Request) *tracker.Server {
	var best *tracker.Server
	for _, server := range servers {
		if server.Free() <= 0 || slices.Contains(request.Tried, server.Name) {
			continue
		}
		if best == nil || server.Load.Running < best.Load.Running {
			best = server
		}
	}
	return best
}

// figures are the measures of one run.
type figures struct {
	first     []time.Duration
	byUser    map[string][]time.Duration
	prefill   int64
	prompts   int64
	refused   int
	refusedBy map[string]int
	asked     int
}

// play runs a load against engines with the real model and a policy.
func play(load []arrival, engines []*engine, policy dispatcher.Picker) figures {
	model := dispatcher.Model{Picker: policy}
	got := figures{byUser: map[string][]time.Duration{}, refusedBy: map[string]int{}}
	start := time.Unix(50_000, 0)
	byName := map[string]*engine{}
	todo := &agenda{}
	var update func(now time.Time, msg dispatcher.Msg)
	update = func(now time.Time, msg dispatcher.Msg) {
		for _, cmd := range model.Update(now, msg) {
			switch cmd := cmd.(type) {
			case dispatcher.Assign:
				a, e := load[cmd.ID-1], byName[cmd.Server.Name]
				first, end, prefill := e.start(now, a)
				got.prefill += prefill
				got.prompts += a.prompt
				wait := first.Sub(start.Add(a.at))
				got.first = append(got.first, wait)
				got.byUser[a.workspace] = append(got.byUser[a.workspace], wait)
				todo.add(first, func(now time.Time) { update(now, dispatcher.Began{ID: cmd.ID}) })
				todo.add(end, func(now time.Time) {
					e.finish(now, a)
					update(now, dispatcher.Done{ID: cmd.ID, Tokens: a.output, Elapsed: end.Sub(first)})
				})
			case dispatcher.Refuse:
				got.refused++
				got.refusedBy[load[cmd.ID-1].workspace]++
			}
		}
	}
	for _, e := range engines {
		byName[e.name] = e
		e.note(start.Add(-time.Minute))
		for second := range 200 {
			todo.add(start.Add(time.Duration(second-20)*time.Second), func(now time.Time) { update(now, e.announce(now)) })
		}
	}
	for i, a := range load {
		got.asked++
		todo.add(start.Add(a.at), func(now time.Time) {
			update(now, dispatcher.Enqueue{
				ID: uint64(i + 1), Workspace: a.workspace, Weight: a.weight, Pools: []string{"p"},
				Deadline: now.Add(a.deadline), OutputTokens: a.output,
				Request: picker.Request{Prefix: a.prefix, PromptTokens: a.prompt, PrefixTokens: a.prefixTokens},
			})
		})
	}
	for tick := range 1800 {
		todo.add(start.Add(time.Duration(tick)*100*time.Millisecond), func(now time.Time) { update(now, dispatcher.Tick{}) })
	}
	for todo.Len() > 0 {
		next := todo.next()
		next.run(next.at)
	}
	return got
}

// The loads: long histories that come again beside short questions.
func steady(random *rand.Rand, perSecond float64, seconds int) []arrival {
	var load []arrival
	at := 0.0
	for at < float64(seconds) {
		at += random.ExpFloat64() / perSecond
		load = append(load, draft(random, time.Duration(at*float64(time.Second))))
	}
	return load
}

// draft draws a request: two in five continue one of 150 long histories.
func draft(random *rand.Rand, at time.Duration) arrival {
	a := arrival{
		at: at, workspace: fmt.Sprintf("w%d", random.IntN(5)), weight: 1, prefix: random.Uint64() | 1,
		prompt: 60 + random.Int64N(200), output: 20 + random.Int64N(60), deadline: 60 * time.Second,
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

// hour adds a wake of all callers within three seconds, at 30 s and 90 s.
func hour(random *rand.Rand) []arrival {
	load := steady(random, 4, 120)
	for _, wake := range []int{30, 90} {
		for range 150 {
			load = append(load, draft(random, time.Duration(wake)*time.Second+time.Duration(random.IntN(3000))*time.Millisecond))
		}
	}
	return inOrder(load)
}

// greedy adds one workspace that asks for several times what the others do.
func greedy(random *rand.Rand) []arrival {
	load := steady(random, 5, 100)
	for _, a := range steady(random, 14, 100) {
		a.workspace = "greedy"
		load = append(load, a)
	}
	return inOrder(load)
}

func inOrder(load []arrival) []arrival {
	slices.SortStableFunc(load, func(a, b arrival) int { return int(a.at - b.at) })
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

// worst is the mean wait of the worst-served workspace over that of all, the
// greedy one left out.
func (f figures) worst() float64 {
	worst, all, count := 0.0, 0.0, 0
	for name, waits := range f.byUser {
		if name == "greedy" {
			continue
		}
		worst = max(worst, mean(waits))
		all += mean(waits)
		count++
	}
	return worst / (all / float64(count))
}

// others are the waits of all but the greedy workspace.
func (f figures) others() []time.Duration {
	var waits []time.Duration
	for name, own := range f.byUser {
		if name != "greedy" {
			waits = append(waits, own...)
		}
	}
	return waits
}

// BenchmarkDecision is one request through the dispatcher at the size of a
// large failure domain.
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
				model.Update(now, dispatcher.Began{ID: id})
				model.Update(now, dispatcher.Done{ID: id, Tokens: 100, Elapsed: time.Second})
			}
		})
	}
}

// BenchmarkChoosing sets the picker beside the baselines on the same loads.
func BenchmarkChoosing(b *testing.B) {
	loads := []struct {
		name string
		make func(*rand.Rand) []arrival
		slow float64
	}{
		{name: "steady", make: func(r *rand.Rand) []arrival { return steady(r, 9, 120) }},
		{name: "hour", make: hour},
		{name: "greedy", make: greedy},
		{name: "slow-server", make: func(r *rand.Rand) []arrival { return steady(r, 7, 120) }, slow: 4},
	}
	policies := []struct {
		name string
		make func() dispatcher.Picker
	}{
		{name: "round-robin", make: func() dispatcher.Picker { return &roundRobin{} }},
		{name: "least-reported", make: func() dispatcher.Picker { return leastReported{} }},
		{name: "picker", make: func() dispatcher.Picker { return &picker.Picker{} }},
	}
	for _, load := range loads {
		for _, policy := range policies {
			b.Run(load.name+"/"+policy.name, func(b *testing.B) {
				var got figures
				for b.Loop() {
					engines := make([]*engine, 5)
					for i := range engines {
						engines[i] = &engine{name: fmt.Sprintf("e%d", i)}
					}
					engines[0].slow = load.slow
					got = play(load.make(rand.New(rand.NewPCG(7, 5))), engines, policy.make())
				}
				b.ReportMetric(percentile(got.first, 0.5), "p50-ms")
				b.ReportMetric(percentile(got.first, 0.95), "p95-ms")
				b.ReportMetric(percentile(got.first, 0.99), "p99-ms")
				b.ReportMetric(100*(1-float64(got.prefill)/float64(got.prompts)), "%prefill-saved")
				b.ReportMetric(float64(got.prefill)/1000, "kilotokens-prefilled")
				b.ReportMetric(got.worst(), "worst/mean")
				b.ReportMetric(percentile(got.others(), 0.95), "others-p95-ms")
				b.ReportMetric(100*float64(got.refused)/float64(got.asked), "%refused")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
