package follower

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// startedServer returns a ready server that started at some time.
func startedServer(name, address string, startedAtMillis int64) registrar.Server {
	s := server(registrar.StateReady, 1)
	s.Name, s.Address, s.StartedAtMillis = name, netip.MustParseAddrPort(address), startedAtMillis
	return s
}

// TestNewerServerTakesOverAddress checks that a server gets no requests once another server
// that started later uses its address, and that a late announcement of an earlier one
// does not change that.
func TestNewerServerTakesOverAddress(t *testing.T) {
	f, north, south := newFollower(t)
	now := time.Now()
	f.receiveReports(now, north, startedServer("old", "10.0.0.1:80", 5), startedServer("other", "10.0.0.2:80", 4))
	assert.DeepEqual(t, f.placer.ServerConditions(now), map[string]string{"old": "ready", "other": "ready"})
	f.receiveReports(now, south, startedServer("new", "10.0.0.1:80", 6))
	assert.DeepEqual(t, f.placer.ServerConditions(now), map[string]string{"new": "ready", "other": "ready"})
	f.receiveReports(now, north, startedServer("older", "10.0.0.1:80", 4))
	assert.DeepEqual(t, f.placer.ServerConditions(now), map[string]string{"new": "ready", "other": "ready"})
	silent := []registrar.Server{startedServer("old", "10.0.0.1:80", 5), startedServer("older", "10.0.0.1:80", 4)}
	for i := range silent {
		silent[i].Silent, silent[i].Counter = true, 2
	}
	f.receiveReports(now, north, silent...)
	later := now.Add(claimTrust + controlContactTimeout)
	north.lastAnswer = later
	f.receiveReports(later, south, startedServer("another", "10.0.0.3:80", 4))
	assert.DeepEqual(t, f.placer.ServerConditions(later), map[string]string{"new": "ready", "other": "ready", "another": "ready"})
}

// TestOddEntryHidesServerAtItsAddress has an entry claim the address of a server that goes
// on announcing itself. It hides the server for a short time at most.
func TestOddEntryHidesServerAtItsAddress(t *testing.T) {
	tests := []struct {
		name   string
		change func(odd *registrar.Server)
		// silentAfter is when the entry falls silent, and hiddenFor how long it hides the server.
		silentAfter, hiddenFor time.Duration
	}{
		{"service that no definition names", func(odd *registrar.Server) { odd.Service, odd.StartedAtMillis = "unknown", odd.StartedAtMillis+1 }, time.Hour, 0},
		{"earlier start", func(odd *registrar.Server) { odd.StartedAtMillis-- }, time.Hour, 0},
		{"announced once", func(odd *registrar.Server) { odd.StartedAtMillis++ }, registrar.SilenceTimeout, registrar.SilenceTimeout},
		{"announced again and again", func(odd *registrar.Server) { odd.StartedAtMillis++ }, time.Hour, claimTrust},
		{"same start", func(odd *registrar.Server) { odd.Name = "a" }, time.Hour, claimTrust},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, north, _ := newFollower(t)
			now := time.Now()
			sound := server(registrar.StateReady, 1)
			odd := sound
			odd.Name = "y"
			test.change(&odd)
			f.receiveReports(now, north, sound, odd)
			const step = 200 * time.Millisecond
			for age := time.Duration(0); age < 2*claimTrust; age += step {
				at := now.Add(age)
				north.lastAnswer = at
				if odd.Silent = age >= test.silentAfter; odd.Silent {
					f.receiveReports(at, north, odd)
				}
				if f.claims.isDue(at) {
					f.mergeServerReports(at)
				}
				_, used := f.placer.ServerConditions(at)[sound.Name]
				assert.Equal(t, used, age >= test.hiddenFor, "after %v", age)
			}
		})
	}
}

// TestOddEntryUnderServersNameIsForgotten has an entry with the name of a server and a later
// start. Once the control instances have dropped it, which they do not tell, the server is used.
func TestOddEntryUnderServersNameIsForgotten(t *testing.T) {
	f, north, south := newFollower(t)
	now := time.Now()
	sound, odd := server(registrar.StateReady, 1), server(registrar.StateReady, 1)
	odd.StartedAtMillis, odd.Address = sound.StartedAtMillis+1, netip.MustParseAddrPort("10.0.0.9:9")
	f.receiveReports(now, north, odd)
	f.receiveReports(now, south, odd)
	odd.Silent, odd.Age = true, registrar.SilenceTimeout
	f.receiveReports(now, north, odd)
	f.receiveReports(now, south, odd)
	assert.Equal(t, f.placer.ServerConditions(now)["x"], "silent")
	later := now.Add(registrar.Retention)
	south.lastAnswer = later
	sound.Counter = 100
	f.receiveReports(later, north, sound)
	assert.Equal(t, f.placer.ServerConditions(later)["x"], "ready")
	service, _ := f.View().Service("s")
	decision := f.placer.Place(later, placer.Request{ID: 1, Service: service, Objective: later.Add(time.Second), Deadline: later.Add(time.Second)})
	assert.Assert(t, decision.Server != nil)
	assert.Equal(t, decision.Server.Address, sound.Address)
}

// TestReportsOfDroppedServersFillMemory reports servers that fall silent, as odd entries do, for
// longer than control instances keep them. A server that has left stays so as long as a control
// instance that cannot be reached may have said otherwise.
func TestReportsOfDroppedServersFillMemory(t *testing.T) {
	f, north, south := newFollower(t)
	now := time.Now()
	left := startedServer("left", "10.0.0.1:80", 5)
	f.receiveReports(now, south, left)
	left.State = registrar.StateGone
	silent := startedServer("silent", "10.0.0.2:80", 5)
	silent.Silent = true
	f.receiveReports(now, north, left, silent)
	later := now.Add(registrar.Retention + time.Second)
	north.lastAnswer = later
	f.mergeServerReports(later)
	assert.Equal(t, len(north.reportsByServer), 1)
	without := later.Add(2 * controlContactTimeout)
	f.mergeServerReports(without)
	assert.DeepEqual(t, f.placer.ServerConditions(without), map[string]string{})
}

// TestSlowdownsInDigests guards against ages that make every load of a digest look changed,
// and against slowdowns that a receiver subtracts as a part of its own report.
func TestSlowdownsInDigests(t *testing.T) {
	writer, view := digestWriter{}, digestView{}
	writer.record("a", 7)
	now := time.Unix(1000, 0)
	view.recordReport(ownReport{sequence: 7, loads: map[string]placer.Load{"one": {Running: 2, Slowdown: 300, SlowdownAge: 5}}})
	sums := func(age int32) map[string]placer.Load {
		return map[string]placer.Load{"one": {Running: 5, Slowdown: 300, SlowdownAge: age}, "idle": {Slowdown: 90, SlowdownAge: age}, "other": {Running: 1}}
	}
	for i, complete := range []bool{true, false} {
		digest := writer.digest(sums(int32(50+100*i)), complete)
		wantLoads := 2
		if !complete {
			wantLoads = 0
		}
		assert.Equal(t, len(digest.Loads), wantLoads)
		assert.Equal(t, digest.SlowdownLoads()["idle"], placer.Load{Slowdown: 90, SlowdownAge: int32(50 + 100*i)})
		assert.Assert(t, view.apply(now, "a", beaconer.Beacon{Instance: beaconer.Instance{Name: "speaker"}, Digest: digest}))
		assert.DeepEqual(t, view.otherLoads(), map[string]placer.Load{"one": {Running: 3}, "other": {Running: 1}})
	}
}
