package follower

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/registrar"
)

// TestStartOverNarrowLinkTakesListsOnce starts an instance behind a link of 10 Mbit/s before
// the servers of its region in fleets of 30, 100 and 300 instances. Every control instance
// used to send it the complete list; now one does, and the others send a few bytes for
// each server.
func TestStartOverNarrowLinkTakesListsOnce(t *testing.T) {
	controls, seeds := startControlsWith(t, "north", decodeRoutes)
	define(t, controls[0], routesDocument(1, "north", 10))
	announced := 0
	for _, instances := range []int{30, 100, 300} {
		for ; announced < 10*instances/3; announced++ {
			s := startedServer(fmt.Sprintf("i-%08x", announced), "10.1.0.1:80", time.Now().UnixMilli())
			s.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(announced >> 8), byte(announced)}), 80)
			s.FailureDomain = "north"
			for _, control := range controls { // as if the forwarding had reached them all
				_ = control.Announce(t.Context(), s)
			}
		}
		link := &narrowLink{bytesPerSecond: 10e6 / 8}
		started := time.Now()
		f := startFollower(t, seeds, link)
		for known := 0; known < announced && time.Since(started) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
			f.mu.Lock()
			known = len(f.placer.ServerConditions(time.Now()))
			for _, watch := range f.controlWatches {
				known = min(known, len(watch.reportsByServer))
			}
			f.mu.Unlock()
		}
		t.Logf("%d instances: %d servers after %v, %d bytes", instances, announced, time.Since(started).Round(time.Millisecond), link.receivedBytes())
		assert.Assert(t, link.receivedBytes() < 12_000+150*announced, "%d bytes for %d servers", link.receivedBytes(), announced)
	}
}

// simulatedTable is a control instance's table, and the revisions up to which a follower
// that is sent references, and one that is not, have it.
type simulatedTable struct {
	registrar.Table
	sentReferences, sentInFull uint64
}

// TestReferencesAmountToFullReports has three control instances hear servers that start, fall
// silent, leave and start again, each some of it. A follower that is sent references, and
// whose fetches fail now and then, must come to the servers of one that is sent everything,
// and must use none that has left.
func TestReferencesAmountToFullReports(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) { runReferences(t, rand.New(rand.NewPCG(seed, 9))) })
	}
}

func runReferences(t *testing.T, random *rand.Rand) {
	byReference, north, south := newFollower(t)
	inFull, northInFull, southInFull := newFollower(t)
	watches := map[*simulatedTable][2]*controlWatch{{}: {north, northInFull}, {}: {south, southInFull}}
	current := map[string]registrar.Server{}
	compared := 0
	for step := range 1500 {
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		announced := nextAnnouncement(random, current, step)
		for table, pair := range watches {
			if random.IntN(3) > 0 {
				_ = table.Announce(now, announced)
			}
			if random.IntN(20) == 0 {
				table.RecordDeparture(now, announced.Name, announced.StartedAtMillis)
			}
			table.ExpireSilent(now)
			if random.IntN(3) > 0 {
				table.sendReferences(now, byReference, pair[0])
				inFull.receiveReports(now, pair[1], table.Since(now, table.sentInFull)...)
				table.sentInFull = table.Revision()
			}
		}
		fetchFrom(random, byReference, watches)
		if step%20 != 0 {
			continue
		}
		for range 20 {
			fetchFrom(random, byReference, watches)
		}
		for table, pair := range watches {
			table.sendReferences(now, byReference, pair[0])
			inFull.receiveReports(now, pair[1], table.Since(now, table.sentInFull)...)
			table.sentInFull = table.Revision()
		}
		for range 20 {
			fetchFrom(random, byReference, watches)
		}
		byReference.mergeServerReports(now)
		inFull.mergeServerReports(now)
		if len(north.unresolved)+len(south.unresolved) == 0 {
			compared++
			assert.DeepEqual(t, byReference.placer.ServerConditions(now), inFull.placer.ServerConditions(now))
		}
	}
	assert.Assert(t, compared > 50)
	assert.Assert(t, len(byReference.descriptions) <= 2*minDescriptions, "%d descriptions", len(byReference.descriptions))
}

// nextAnnouncement returns the next announcement of a random server.
func nextAnnouncement(random *rand.Rand, current map[string]registrar.Server, step int) registrar.Server {
	name := fmt.Sprint("server-", random.IntN(30))
	next, known := current[name]
	if !known || next.State == registrar.StateLeaving {
		next = startedServer(name, fmt.Sprintf("10.0.0.%d:80", 1+random.IntN(250)), int64(step+1))
		next.FailureDomain, next.Counter = "north", 0
		next.Slots = 1 + random.IntN(2)
	}
	next.Counter++
	if random.IntN(10) == 0 {
		next.State = registrar.StateLeaving
	}
	if random.IntN(20) == 0 {
		next.Warmup = time.Duration(random.IntN(60)) * time.Second
	}
	next.Warmup = max(next.Warmup-time.Second, 0)
	current[name] = next
	return next
}

// sendReferences reports what has changed in the form in which the control instance does to
// those that ask for references.
func (s *simulatedTable) sendReferences(now time.Time, f *Follower, watch *controlWatch) {
	watch.lastAnswer = now
	answer := controller.WatchAnswer{ServersRevision: s.Revision()}
	for _, server := range s.Since(now, s.sentReferences) {
		if server.State == registrar.StateReady {
			answer.References = append(answer.References, server.Reference())
		} else {
			answer.Servers = append(answer.Servers, server)
		}
	}
	s.sentReferences = s.Revision()
	f.applyServerReports(now, watch, answer)
}

// fetchFrom has a follower fetch descriptions, which fails now and then.
func fetchFrom(random *rand.Rand, f *Follower, watches map[*simulatedTable][2]*controlWatch) {
	now := time.Now()
	address, hashes := f.missingDescriptions(now)
	time.Sleep(time.Millisecond)
	for table, pair := range watches {
		if pair[0] != f.controlWatches[address] {
			continue
		}
		var answer controller.ServersAnswer
		table.Each(now, func(server registrar.Server) {
			for _, hash := range hashes {
				if server.DescriptionHash() == hash {
					answer.Servers = append(answer.Servers, server)
				}
			}
		})
		var err error
		if random.IntN(4) == 0 {
			err = messenger.ErrUnknownMethod
		}
		f.recordDescriptions(time.Now(), now.Add(time.Millisecond), address, hashes, answer, err)
	}
}
