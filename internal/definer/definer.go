// Package definer holds the desired state of a fleet as one versioned whole:
// routes, services, workspaces and limits.
//
// The one idea: an operator replaces the whole [Definition] under a higher
// version, [Check] finds every fault before anything is stored, and a [View]
// compiles it once for the lookups of every request. Documents of other
// formats are decoded into a Definition at the edge.
package definer

import (
	"errors"
	"time"
)

// Version numbers definitions. The highest accepted one is in force.
type Version uint64

// ErrInvalid marks definitions that are refused.
var ErrInvalid = errors.New("invalid definition")

// Definition is one desired state.
type Definition struct {
	Version    Version
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Kind tells what may be repeated.
type Kind uint8

// The kinds of route.
const (
	// KindOnce work runs at most once for each request.
	KindOnce Kind = iota
	// KindIdempotent work may run more than once.
	KindIdempotent
	// KindStream answers with a series of events. It runs at most once,
	// unless the route is resumable.
	KindStream
)

// Route names work that callers may ask for.
type Route struct {
	Name string
	Host string
	// Prefix begins the path. The longest one of a host wins.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another server after their last event.
	Resumable bool
	// Timeout bounds the whole answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, within
	// which it is worth its full benefit.
	Objective time.Duration
	// Gap is the longest pause between two events for an answer in time.
	Gap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Targets share the requests by weight.
	Targets []Target
	// Attempts is how many servers one request may be sent to.
	Attempts int
	// Open routes need no key and count against no workspace.
	Open bool
	// Affine requests share parts of their prompts.
	Affine bool
	// Homes, unless empty, are the only regions that may serve the route.
	Homes []string
}

// Repeatable reports whether the work may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Target is a service with its share of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one server accepts from all callers together.
	MaxConnections int
	// Warmup is how long a server stays cold after its start, and WarmupRate
	// how many requests a second it bears while it is.
	Warmup     time.Duration
	WarmupRate float64
	// Engine is set for services that generate text.
	Engine *Engine
}

// Engine describes a service's model engines.
type Engine struct {
	// Slots is how many requests are batched at once.
	Slots int
	// Memory is shared by running requests and cached parts, in tokens.
	Memory int64
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int
	// Moves means that what an engine keeps of a prompt can be copied to
	// another engine.
	Moves bool
}

// Workspace is a tenant with its quota over the whole fleet.
type Workspace struct {
	Name string
	Keys []string
	// Priority, unless nil, goes before the route's.
	Priority *int
	// CountTokens tells whether the quota counts tokens; otherwise requests.
	CountTokens bool
	// PlainCost is what a request without a token count is charged, in tokens.
	PlainCost float64
	// Rate a second and Burst bound the workspace; a Rate of 0 does not.
	Rate  float64
	Burst float64
	// Homes, unless empty, are the only regions that may serve the workspace.
	Homes []string
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
