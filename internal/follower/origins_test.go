package follower

import (
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

// TestOriginsAreReportedBesideSeveralVersions checks which streams the control instances
// are told of.
func TestOriginsAreReportedBesideSeveralVersions(t *testing.T) {
	uniform, mixed := &controller.MixedServices{Hash: 2}, &controller.MixedServices{Names: []string{"s"}, Hash: 3}
	tests := []struct {
		name         string
		north, south *controller.MixedServices
		want         int
	}{
		{"one version", uniform, uniform, 0},
		{"a control instance knows of another one", uniform, mixed, 1},
		{"a control instance does not hear all servers", uniform, &controller.MixedServices{All: true, Hash: 4}, 1},
		{"a control instance of an earlier release", uniform, nil, 1},
		{"another service has two", uniform, &controller.MixedServices{Names: []string{"other"}, Hash: 5}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, north, south := newFollower(t)
			f.answerMixed(north, test.north, 0)
			f.answerMixed(south, test.south, 0)
			f.RecordOrigin("r1", "s", "v1", time.Minute)
			assert.Equal(t, len(f.dueOrigins(time.Now())), test.want)
			assert.Equal(t, len(f.dueOrigins(time.Now())), 0)
		})
	}
	t.Run("no contact", func(t *testing.T) {
		f, _, _ := newFollower(t)
		f.RecordOrigin("r1", "s", "v1", time.Minute)
		assert.Equal(t, len(f.dueOrigins(time.Now())), 1)
		assert.Assert(t, f.VersionsAge() > time.Hour)
	})
}

// TestStreamsInProgressAreReportedWithSecondVersion guards against streams that began
// before a release, or before a control instance started anew, and that nobody else knows.
func TestStreamsInProgressAreReportedWithSecondVersion(t *testing.T) {
	uniform, mixed := &controller.MixedServices{Hash: 2}, &controller.MixedServices{Names: []string{"s"}, Hash: 3}
	f, north, south := newFollower(t)
	f.answerMixed(north, uniform, 0)
	f.answerMixed(south, uniform, 0)
	f.RecordOrigin("r1", "s", "v1", time.Minute)
	f.RecordOrigin("r2", "other", "v1", time.Minute)
	assert.Equal(t, len(f.dueOrigins(time.Now())), 0)
	f.answerMixed(south, mixed, 0)
	assert.Equal(t, len(f.dueOrigins(time.Now())), 1, "the stream in progress")
	assert.Equal(t, len(f.dueOrigins(time.Now())), 0)
	f.answerMixed(south, mixed, 1)
	assert.Equal(t, len(f.dueOrigins(time.Now())), 1, "the stream, after the start")
	f.answerMixed(south, uniform, 1)
	assert.Equal(t, len(f.dueOrigins(time.Now())), 0)
}

// TestOwnStreamIsKnownWithoutContact takes a stream up at the instance that began it.
func TestOwnStreamIsKnownWithoutContact(t *testing.T) {
	f, north, _ := newFollower(t)
	f.RecordOrigin("r1", "s", "v1", time.Minute)
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
	assert.Assert(t, f.VersionsAge() < time.Second)
}
