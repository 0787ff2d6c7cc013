package follower

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/versioner"
)

// serveOrigins starts a control instance that gives one answer to each question for the
// origin of a stream, or none if that is nil.
func serveOrigins(t *testing.T, address netip.AddrPort, answer *controller.OriginAnswer) {
	mux := &messenger.Mux{}
	gates := []certifier.Role{certifier.RoleGate}
	messenger.Handle(mux, controller.MethodOrigin, gates, func(ctx context.Context, _ certifier.Identity, _ controller.OriginQuery) (controller.OriginAnswer, error) {
		if answer == nil {
			<-ctx.Done()
			return controller.OriginAnswer{}, ctx.Err()
		}
		return *answer, nil
	})
	listener, err := net.Listen("tcp4", address.String())
	assert.NilError(t, err)
	go func() { assert.Check(t, messenger.NewPlainServer(listener, mux).Run(t.Context())) }()
}

// TestAnswerThatWaitedCountsAsNew guards against an instance that stood still, or was
// suspended, while an answer waited for it, and then takes the servers that it names for
// those of now.
func TestAnswerThatWaitedCountsAsNew(t *testing.T) {
	const waited, slack = 600 * time.Millisecond, 300 * time.Millisecond
	for number, test := range []struct {
		name      string
		held      time.Duration // what the control instance says it has held the question
		least, to time.Duration
	}{
		{"waited on its way", 0, waited, waited + slack},
		{"held until there was something to say", waited, 0, slack},
	} {
		t.Run(test.name, func(t *testing.T) {
			mux := &messenger.Mux{}
			gates := []certifier.Role{certifier.RoleGate}
			var answered atomic.Bool
			messenger.Handle(mux, controller.MethodWatch, gates, func(ctx context.Context, _ certifier.Identity, _ controller.WatchQuery) (controller.WatchAnswer, error) {
				if answered.Swap(true) {
					<-ctx.Done()
				}
				time.Sleep(waited)
				return controller.WatchAnswer{Epoch: 1, Region: "north", Held: test.held}, nil
			})
			seed := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 186, byte(os.Getpid()), 10 + 10*byte(number)}), 7600) // the last case may still listen at its own
			listener, err := net.Listen("tcp4", seed.String())
			assert.NilError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { assert.Check(t, messenger.NewPlainServer(listener, mux).Run(ctx)) }()
			f := startFollower(t, []netip.AddrPort{seed}, &narrowLink{bytesPerSecond: 1e9})
			age := f.VersionsAge()
			for ; age >= controlContactTimeout; age = f.VersionsAge() {
				time.Sleep(time.Millisecond)
			}
			assert.Assert(t, age >= test.least && age < test.to, "%s", age)
		})
	}
}

// TestKnowledgeFromBeforeStandstillCountsAsNew guards against an instance that has stood
// still, for less than its knowledge may be old, and takes a server that has started again
// meanwhile for its predecessor: requests that waited for it run before the news is read.
func TestKnowledgeFromBeforeStandstillCountsAsNew(t *testing.T) {
	mux := &messenger.Mux{}
	messenger.Handle(mux, controller.MethodWatch, []certifier.Role{certifier.RoleGate}, func(ctx context.Context, _ certifier.Identity, query controller.WatchQuery) (controller.WatchAnswer, error) {
		answer := controller.WatchAnswer{Epoch: 1, Region: "north", Mixed: &controller.MixedServices{Hash: 2}}
		if query.Epoch == answer.Epoch && query.MixedHash == answer.Mixed.Hash {
			<-ctx.Done() // there is no news
			return answer, ctx.Err()
		}
		return answer, nil
	})
	f, north, _ := newFollower(t)
	f.client = messenger.NewPlainClient(certifier.Identity{Name: "a", Role: certifier.RoleGate})
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 187, byte(os.Getpid()), 10}), 7600)
	listener, err := net.Listen("tcp4", address.String())
	assert.NilError(t, err)
	go func() { assert.Check(t, messenger.NewPlainServer(listener, mux).Run(t.Context())) }()
	control := messenger.Endpoint{Name: address.String(), Address: address}
	f.controlAddresses, north.lastAnswer = nil, time.Now()
	f.refresh(t.Context())
	assert.NilError(t, f.poll(t.Context(), control, north))
	assert.Assert(t, f.VersionsAge() <= maxVersionAge)

	time.Sleep(1100 * time.Millisecond)
	assert.Assert(t, f.VersionsAge() > maxVersionAge, "before anything else has run")
	f.refresh(t.Context())
	assert.Assert(t, f.VersionsAge() > maxVersionAge, "before a control instance was asked")
	assert.NilError(t, f.poll(t.Context(), control, north)) // is not held back
	assert.Assert(t, f.VersionsAge() <= maxVersionAge)
}

// TestSoleVersionOfControlInstanceOutOfStep takes up a stream that began at a version which
// one control instance has not heard of, since it was cut off or stood still.
func TestSoleVersionOfControlInstanceOutOfStep(t *testing.T) {
	const a, b, c = "127.185.0.1:7600", "127.185.0.2:7600", "127.185.0.3:7600"
	group := []string{a, b, c}
	sole := &controller.OriginAnswer{SoleVersion: "v1", Controls: group}
	tests := []struct {
		name    string
		answers []*controller.OriginAnswer
		version string
		source  versioner.Source
		// own, unless empty, is the version of a server that this instance knows.
		own string
	}{
		{"all know one version", []*controller.OriginAnswer{sole, sole, sole}, "v1", versioner.SourceSole, ""},
		{"one knows of another", []*controller.OriginAnswer{sole, {}, sole}, "", versioner.SourceUnknown, ""},
		{"one knows only another", []*controller.OriginAnswer{sole, sole, {SoleVersion: "v2", Controls: group}}, "", versioner.SourceUnknown, ""},
		{"one does not answer", []*controller.OriginAnswer{sole, nil, sole}, "", versioner.SourceUnknown, ""},
		{"one is not known here", []*controller.OriginAnswer{sole, sole}, "", versioner.SourceUnknown, ""},
		{"one was told of the stream", []*controller.OriginAnswer{sole, {Version: "v2"}, nil}, "v2", versioner.SourceReported, ""},
		{"one that is gone does not answer", []*controller.OriginAnswer{{SoleVersion: "v1", Controls: []string{a, b}}, {SoleVersion: "v1", Controls: []string{a, b}}, nil}, "v1", versioner.SourceSole, ""},
		{"earlier release", []*controller.OriginAnswer{{SoleVersion: "v1"}, {SoleVersion: "v1"}, nil}, "", versioner.SourceUnknown, ""},
		{"this instance knows of another", []*controller.OriginAnswer{sole, sole, sole}, "", versioner.SourceUnknown, "v2"},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			addresses := map[string]string{}
			for j, name := range group {
				addresses[name] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 185, byte(os.Getpid()), byte(10*i + j + 10)}), 7600).String()
			}
			f, _, _ := newFollower(t)
			f.client = messenger.NewPlainClient(certifier.Identity{Name: "a", Role: certifier.RoleGate})
			clear(f.controlWatches)
			for j, answer := range test.answers {
				address := addresses[group[j]]
				if answer != nil {
					renamed := *answer
					renamed.Controls = nil
					for _, name := range answer.Controls {
						renamed.Controls = append(renamed.Controls, addresses[name])
					}
					answer = &renamed
				}
				serveOrigins(t, netip.MustParseAddrPort(address), answer)
				f.controlWatches[address] = &controlWatch{lastAnswer: time.Now(), cancel: func() {}, reportsByServer: map[string]serverReport{}}
			}
			if test.own != "" {
				known := server(registrar.StateReady, 1)
				known.Version = test.own
				f.receiveReports(time.Now(), f.controlWatches[addresses[a]], known)
			}
			for range 5 { // in whatever order they answer
				version, source := f.Origin(t.Context(), "r1", "s")
				assert.Equal(t, version, test.version)
				assert.Equal(t, source, test.source)
			}
		})
	}
}
