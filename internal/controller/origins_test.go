package controller

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/versioner"
)

// announceVersion announces a start of a server with a version.
func announceVersion(t *testing.T, c *Controller, name, version string) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 9, name[len(name)-1]}), 80)
	assert.NilError(t, c.Announce(t.Context(), registrar.Server{
		Name: name, Service: "s", Version: version, Address: address, FailureDomain: "n-1", StartedAtMillis: time.Now().UnixMilli(), Counter: 1,
	}))
}

// settle makes a control instance one that has run for long.
func (c *Controller) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch = time.Now().Add(-time.Hour).UnixNano()
}

// TestSoleVersionIsToldOnlyIfSure asks a control instance for a stream that it does not
// know.
func TestSoleVersionIsToldOnlyIfSure(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		versions []string
		// departed means that the first server has left, and started that the instance has
		// just started.
		departed, started bool
		// again, unless empty, is the version with which all start again under their names.
		again string
		want  string
	}{
		{"one version", []string{"v1", "v1", "v1"}, false, false, "", "v1"},
		{"two versions", []string{"v1", "v2", "v1"}, false, false, "", ""},
		{"the old version has left not long ago", []string{"v1", "v2", "v2"}, true, false, "", ""},
		{"a server without a version", []string{"v1", "", "v1"}, false, false, "", ""},
		{"just started", []string{"v1", "v1"}, false, true, "", ""},
		{"no server", nil, false, false, "", ""},
		{"all have started again with the same version", []string{"v1", "v1"}, false, false, "v1", "v1"},
		{"all have started again with another version", []string{"v1", "v1"}, false, false, "v2", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newFleet(t).controls[0]
			if !test.started {
				c.settle()
			}
			for i, version := range test.versions {
				announceVersion(t, c.Controller, fmt.Sprint("server-", i), version)
			}
			if test.again != "" {
				time.Sleep(2 * originInterval) // the versions are looked at, and the starts differ in their times
				for i := range test.versions {
					announceVersion(t, c.Controller, fmt.Sprint("server-", i), test.again)
				}
			}
			if test.departed {
				assert.NilError(t, c.Leave(t.Context(), "server-0", 0))
			}
			var answer OriginAnswer
			for range 100 { // until tables have been exchanged with the others
				var err error
				answer, err = c.serveOrigin(t.Context(), certifier.Identity{}, OriginQuery{Stream: 1, Service: "s"})
				assert.NilError(t, err)
				if answer.SoleVersion != "" {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			assert.Equal(t, answer.SoleVersion, test.want)
			assert.Equal(t, answer.Version, "")
		})
	}
}

// TestControlInstanceOutsideGroupNamesSoleVersion guards against a control instance that has
// never reached the others: it cannot name those that must agree.
func TestControlInstanceOutsideGroupNamesSoleVersion(t *testing.T) {
	t.Parallel()
	client := messenger.NewPlainClient(certifier.Identity{Name: "control", Role: certifier.RoleKeeper})
	address := freeAddress()
	c, err := New(settingsOf(t, address, nil), decode, client)
	assert.NilError(t, err)
	c.settle()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Assert(t, !c.hearsAllServers(time.Now(), nil))
	assert.Assert(t, c.hearsAllServers(time.Now(), []string{address.String()}))
	assert.Assert(t, !c.hearsAllServers(time.Now(), []string{address.String(), freeAddress().String()}), "a member that was never heard")
}

// TestOriginIsKnownToAllControlInstances reports the origin of a stream to one control
// instance, and asks the others after it has ended.
func TestOriginIsKnownToAllControlInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.waitDefined(f.controls[0], "1")
	f.eventually("the control instances know each other", func() bool { return len(f.controls[0].otherControls()) == 2 })
	origins := []versioner.Origin{{Stream: 7, Version: "v1", Left: time.Minute}}
	_, err := f.controls[0].serveReportOrigins(t.Context(), certifier.Identity{}, OriginReport{Origins: origins})
	assert.NilError(t, err)
	time.Sleep(2 * originInterval)
	f.controls[0].stop()
	for _, c := range f.controls[1:] {
		f.eventually("the stream is known", func() bool {
			answer, err := c.serveOrigin(t.Context(), certifier.Identity{}, OriginQuery{Stream: 7, Service: "s"})
			return err == nil && answer.Version == "v1"
		})
	}
}

// TestWatchIsWokenBySecondVersion guards against entry instances that do not report the
// origins of streams since they have not heard of a second version, and against waking
// those of an earlier release.
func TestWatchIsWokenBySecondVersion(t *testing.T) {
	t.Parallel()
	c := newFleet(t).controls[0]
	c.settle()
	announceVersion(t, c.Controller, "server-0", "v1")
	query := WatchQuery{Name: "a", Region: "north", Epoch: c.epoch, PeersRevision: 1 << 60, Index: 1 << 60, ServersRevision: 1 << 60, MixedHash: 1}
	var answer WatchAnswer
	for range 200 {
		var err error
		answer, err = c.serveWatch(t.Context(), certifier.Identity{}, query)
		assert.NilError(t, err)
		if query.MixedHash = answer.Mixed.Hash; !answer.Mixed.All {
			break
		}
	}
	assert.Equal(t, len(answer.Mixed.Names), 0)
	assert.Assert(t, !answer.Mixed.All)
	began := time.Now()
	time.AfterFunc(100*time.Millisecond, func() { announceVersion(t, c.Controller, "server-1", "v2") })
	answer, err := c.serveWatch(t.Context(), certifier.Identity{}, query)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer.Mixed.Names, []string{"s"})
	assert.Assert(t, time.Since(began) < watchWait, "told after %s", time.Since(began))
	query.MixedHash = 0
	answer, err = c.serveWatch(t.Context(), certifier.Identity{}, query)
	assert.NilError(t, err)
	assert.Assert(t, answer.Mixed == nil)
	assert.Assert(t, answer.Held >= watchWait, "held for %s: the age of the answer counts from there", answer.Held)
}
