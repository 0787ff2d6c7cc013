package follower

import (
	"context"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/registrar"
)

// TestOddServerStopsFollowing has a control instance list what cannot be a server, as one of
// another release may: the entry instance must take over the other servers, and the
// definition.
func TestOddServerStopsFollowing(t *testing.T) {
	sound := server(registrar.StateReady, 1)
	sound.FailureDomain = "n"
	changes := []func(s *registrar.Server){
		func(s *registrar.Server) { s.Name = "\xff" },
		func(s *registrar.Server) { s.State = 9 },
		func(s *registrar.Server) { s.Address = netip.AddrPort{} },
		func(s *registrar.Server) { s.StartedAtMillis = time.Now().Add(time.Hour).UnixMilli() }, // at the address of the sound one
	}
	list := registrar.List{sound}
	for _, change := range changes {
		odd := sound
		odd.Name = "odd"
		change(&odd)
		list = append(list, odd)
	}
	mux := &messenger.Mux{}
	messenger.Handle(mux, controller.MethodWatch, []certifier.Role{certifier.RoleGate}, func(ctx context.Context, _ certifier.Identity, query controller.WatchQuery) (controller.WatchAnswer, error) {
		answer := controller.WatchAnswer{Epoch: 1, Region: "north", Index: 1, ServersRevision: 1}
		if query.Index < 1 {
			answer.State, answer.Servers = &controller.State{Index: 1, Version: 1, Document: []byte{1}}, list
			return answer, nil
		}
		<-ctx.Done()
		return answer, nil
	})
	seed := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 184, byte(os.Getpid()), 10}), 7600)
	listener, err := net.Listen("tcp4", seed.String())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { assert.Check(t, messenger.NewPlainServer(listener, mux).Run(ctx)) }()

	f := startFollowerWith(t, []netip.AddrPort{seed}, &narrowLink{bytesPerSecond: 1e9}, decode)
	for deadline := time.Now().Add(5 * time.Second); f.View() == nil && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, f.View() != nil, "the definition was not taken over")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mergeServerReports(time.Now())
	assert.DeepEqual(t, f.placer.ServerConditions(time.Now()), map[string]string{"x": "ready"})
}
