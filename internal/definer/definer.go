// Package definer describes the configuration of a fleet: its routes, services,
// workspaces and limits.
//
// An operator always replaces the complete [Definition] by one with a higher
// version. [Check] rejects an invalid definition before it is stored. A [View]
// indexes a definition once, for the lookups of every request. The document
// formats of operators are decoded into a Definition outside this package.
package definer

import (
	"errors"
	"math"
	"time"
)

// Version orders definitions. The accepted definition with the highest version is
// the current one.
type Version uint64

// ErrInvalid means that a definition was rejected as invalid.
var ErrInvalid = errors.New("invalid definition")

// Definition is one complete configuration of a fleet.
type Definition struct {
	Version    Version
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Kind tells how a route's requests are answered, and whether they may be
// retried.
type Kind uint8

// Kinds of route.
const (
	// KindAtMostOnce requests are executed at most once.
	KindAtMostOnce Kind = iota
	// KindIdempotent requests may be executed more than once.
	KindIdempotent
	// KindStream requests are answered with a stream of events. They are executed
	// at most once, unless the route is resumable.
	KindStream
)

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name string
	// Host is compared without its port and regardless of case.
	Host string
	// Prefix is the start of the path, with a slash at both ends. The longest
	// matching prefix of a host wins.
	Prefix string
	Kind   Kind
	// Resumable means that another server may continue a stream after its last
	// event.
	Resumable bool
	// Timeout bounds the time to the end of the answer.
	Timeout time.Duration
	// Objective is the target time to the answer, or to a stream's first event. A
	// later answer is worth less to the caller.
	Objective time.Duration
	// Gap is the longest pause between two events of a stream that still counts
	// as in time.
	Gap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Targets share the requests by weight.
	Targets []Target
	// Attempts is how many servers one request may be sent to.
	Attempts int
	// Open means that requests need no key and count against no workspace's quota.
	Open bool
	// Affine means that requests have parts of their prompts in common.
	Affine bool
	// Homes lists the only regions that may serve the route. If it is empty, all
	// regions may.
	Homes []string
}

// Repeatable reports whether a request may be executed more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share in proportion to the sum of the route's weights.
	Weight int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from all
	// callers together.
	MaxConnections int
	// Warmup is how long a server needs after its start to reach full capacity.
	// WarmupRate is how many requests per second it can take until then.
	Warmup     time.Duration
	WarmupRate float64
	// Engine is nil unless the service generates text.
	Engine *Engine
}

// WarmupInterval returns the time between two requests to a server that is warming up,
// or 0 if their rate is not limited.
func (s Service) WarmupInterval() time.Duration {
	if s.WarmupRate <= 0 {
		return 0
	}
	// The conversion of a float beyond the range of a Duration is undefined.
	return time.Duration(min(float64(time.Second)/s.WarmupRate, float64(math.MaxInt64/2)))
}

// Engine describes the inference engine of a service's servers.
type Engine struct {
	// Slots is the maximum batch size, in requests.
	Slots int
	// Memory is the size of the KV cache in tokens, which running requests and
	// cached parts of prompts share.
	Memory int64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// Moves means that an engine's KV cache of a prompt can be copied to another
	// engine.
	Moves bool
}

// Workspace is a tenant. Its quota holds for the whole fleet.
type Workspace struct {
	Name string
	// Keys are the API keys of the workspace's callers.
	Keys []string
	// Priority, unless nil, overrides the priority of the route.
	Priority *int
	// CountTokens means that the quota counts tokens instead of requests.
	CountTokens bool
	// PlainCost is the cost in tokens of a request without a token count.
	PlainCost float64
	// Rate per second and Burst are the quota. A Rate of 0 means no quota.
	Rate  float64
	Burst float64
	// Homes lists the only regions that may serve the workspace. If it is empty,
	// all regions may.
	Homes []string
}

// Limits bound the requests and connections of callers. Sizes are in bytes.
type Limits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
