// Package versioner remembers by which software version of a backend server each stream
// began, so that it goes on at no other one.
//
// A [Table] holds streams by the hash of the id of the request that brought their first
// event. What it knows of a stream never changes, so that reports may arrive late, twice or
// in any order. Only ages travel.
//
// The package starts no goroutines, opens no sockets and reads no clock.
package versioner

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxOrigins bounds the streams of a table. When there are more, new ones are not added.
const MaxOrigins = 1 << 18

// StreamID identifies a stream.
type StreamID uint64

// NewStreamID returns the id of the stream that a request began.
func NewStreamID(request string) StreamID {
	return StreamID(xxhash.Sum64String(request))
}

// Source is how the version was found by which a stream began.
type Source string

// Sources of a version.
const (
	// SourceOwn means that the stream began at the instance itself.
	SourceOwn Source = "own"
	// SourceReported means that a control instance had been told of the stream.
	SourceReported Source = "reported"
	// SourceSole means that the service has had no other version for long.
	SourceSole Source = "sole"
	// SourceRelayed means that the instance was told that relayed the request.
	SourceRelayed Source = "relayed"
	// SourceUnknown means that the version was not found.
	SourceUnknown Source = "unknown"
)

// Origin tells by which version a stream began, in the form in which tables exchange it.
type Origin struct {
	Stream  StreamID `cbor:"s"`
	Version string   `cbor:"v"`
	// Left is how long the stream may still be taken up.
	Left time.Duration `cbor:"l"`
}

// Table holds the origins of streams. The zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	origins map[StreamID]origin
	// base is the time that origin.until counts from, since a duration is a third as large
	// as a time.
	base time.Time
	// versions holds each version once, since most streams share a few.
	versions map[string]string
}

type origin struct {
	version string
	until   time.Duration
}

// Add adds the origin of a stream. It reports whether that is new.
func (t *Table) Add(now time.Time, added Origin) bool {
	if _, known := t.origins[added.Stream]; known || len(t.origins) >= MaxOrigins || added.Left <= 0 {
		return false
	}
	if t.origins == nil {
		t.origins, t.versions, t.base = map[StreamID]origin{}, map[string]string{}, now
	}
	version, known := t.versions[added.Version]
	if !known {
		version = added.Version
		t.versions[version] = version
	}
	t.origins[added.Stream] = origin{version: version, until: now.Sub(t.base) + added.Left}
	return true
}

// Version returns the version by which a stream began, and whether it is known.
func (t *Table) Version(now time.Time, stream StreamID) (string, bool) {
	known, exists := t.origins[stream]
	if !exists || now.Sub(t.base) > known.until {
		return "", false
	}
	return known.version, true
}

// All returns the origins of all streams that may still be taken up, in no particular order.
func (t *Table) All(now time.Time) []Origin {
	origins := make([]Origin, 0, len(t.origins))
	for stream, known := range t.origins {
		if left := known.until - now.Sub(t.base); left > 0 {
			origins = append(origins, Origin{Stream: stream, Version: known.version, Left: left})
		}
	}
	return origins
}

// Expire removes the streams that cannot be taken up any more.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.origins, func(_ StreamID, known origin) bool { return now.Sub(t.base) > known.until })
	if len(t.origins) == 0 {
		t.versions = nil
		t.origins = nil
	}
}

// Len returns the number of streams.
func (t *Table) Len() int {
	return len(t.origins)
}

// HistoryRetention is how long a version is remembered after a server with it was last
// heard, which is longer than streams last.
const HistoryRetention = 2 * time.Minute

// History holds which versions the servers of each service have had: a server may have
// started again under its name with another one. The zero value is empty. It is not safe
// for concurrent use.
type History struct {
	// lastHeard is keyed by service and version.
	lastHeard map[string]map[string]time.Time
}

// Record adds the version of a server, which was heard at a time.
func (h *History) Record(service, version string, heard time.Time) {
	if h.lastHeard == nil {
		h.lastHeard = map[string]map[string]time.Time{}
	}
	versions := h.lastHeard[service]
	if versions == nil {
		versions = map[string]time.Time{}
		h.lastHeard[service] = versions
	}
	if heard.After(versions[version]) {
		versions[version] = heard
	}
}

// Mixed returns the services, sorted, of which several versions are remembered, or a server
// without one. It forgets what is older than HistoryRetention.
func (h *History) Mixed(now time.Time) []string {
	var mixed []string
	for service, versions := range h.lastHeard {
		maps.DeleteFunc(versions, func(_ string, heard time.Time) bool { return now.Sub(heard) > HistoryRetention })
		_, unknown := versions[""]
		switch {
		case len(versions) > 1 || unknown:
			mixed = append(mixed, service)
		case len(versions) == 0:
			delete(h.lastHeard, service)
		}
	}
	slices.Sort(mixed)
	return mixed
}
