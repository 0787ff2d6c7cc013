package follower

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/versioner"
)

// answerMixed has a control instance say which services have several versions.
func (f *Follower) answerMixed(watch *controlWatch, mixed *controller.MixedServices, epoch int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteMixed(watch, controller.WatchAnswer{Mixed: mixed, Epoch: epoch})
	watch.epoch, watch.lastAnswer = epoch, time.Now()
}

// makeLarge adds instances until the fleet is a large one.
func (f *Follower) makeLarge() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range largeFleetSize {
		f.otherInstances[strconv.Itoa(i)] = entryInstance{}
	}
}

// TestStreamsOfUniformServiceAreNotReported guards against streams that nobody knows once
// their instance is lost together with a control instance: another version may have
// appeared where the others cannot hear of it.
func TestStreamsOfUniformServiceAreNotReported(t *testing.T) {
	uniform, mixed := &controller.MixedServices{Hash: 2}, &controller.MixedServices{Names: []string{"s"}, Hash: 3}
	tests := []struct {
		name         string
		north, south *controller.MixedServices
		large        bool
		within       time.Duration
	}{
		{"one version", uniform, uniform, false, originInterval},
		{"one version, large fleet", uniform, uniform, true, largeFleetOriginInterval},
		{"a control instance knows of another one", uniform, mixed, true, originInterval},
		{"a control instance does not hear all servers", uniform, &controller.MixedServices{All: true, Hash: 4}, true, originInterval},
		{"a control instance of an earlier release", uniform, nil, true, originInterval},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, north, south := newFollower(t)
			f.answerMixed(north, test.north, 0)
			f.answerMixed(south, test.south, 0)
			if test.large {
				f.makeLarge()
			}
			now := time.Now()
			assert.Equal(t, len(f.dueOrigins(now)), 0)
			f.RecordOrigin("r1", "v1", time.Minute)
			assert.Equal(t, len(f.dueOrigins(now.Add(test.within-1))), 0)
			assert.Equal(t, len(f.dueOrigins(now.Add(test.within))), 1)
			assert.Equal(t, len(f.dueOrigins(now.Add(2*test.within))), 0)
		})
	}
	t.Run("no contact", func(t *testing.T) {
		f, _, _ := newFollower(t)
		f.RecordOrigin("r1", "v1", time.Minute)
		assert.Equal(t, len(f.dueOrigins(time.Now())), 1)
		assert.Assert(t, f.VersionsAge() > time.Hour)
	})
}

// TestStreamsInProgressAreReportedAfterRestart guards against streams that no control
// instance knows any more, since it has started anew.
func TestStreamsInProgressAreReportedAfterRestart(t *testing.T) {
	uniform := &controller.MixedServices{Hash: 2}
	f, north, south := newFollower(t)
	f.answerMixed(north, uniform, 0)
	f.answerMixed(south, uniform, 0)
	now := time.Now()
	f.RecordOrigin("r1", "v1", time.Minute)
	f.RecordOrigin("r2", "v1", time.Minute)
	assert.Equal(t, len(f.dueOrigins(now)), 2)
	f.answerMixed(south, uniform, 0)
	assert.Equal(t, len(f.dueOrigins(now.Add(time.Second))), 0)
	f.answerMixed(south, uniform, 1)
	assert.Equal(t, len(f.dueOrigins(now.Add(2*time.Second))), 2, "the streams, after the start")
	assert.Equal(t, len(f.dueOrigins(now.Add(3*time.Second))), 0)
}

// TestOwnStreamIsKnownWithoutContact takes a stream up at the instance that began it.
func TestOwnStreamIsKnownWithoutContact(t *testing.T) {
	f, north, _ := newFollower(t)
	f.RecordOrigin("r1", "v1", time.Minute)
	version, source := f.Origin(t.Context(), "r1", "s")
	assert.Equal(t, version, "v1")
	assert.Equal(t, source, versioner.SourceOwn)
	clear(f.controlWatches)
	_, source = f.Origin(t.Context(), "r2", "s")
	assert.Equal(t, source, versioner.SourceUnknown)
	second := server(registrar.StateReady, 1)
	second.Version = "v2"
	f.receiveReports(time.Now(), north, second)
	f.controlWatches["north"] = north
	f.receiveReports(time.Now(), north, second)
	assert.Assert(t, f.hasOtherVersion("s", "v1"))
	assert.Assert(t, f.VersionsAge() > time.Hour, "no watch has been answered")
	north.serversAsOf = time.Now()
	assert.Assert(t, f.VersionsAge() < time.Second)
}
