// Package tabler holds the configuration of the gateway: its tables, keys and
// instances, as a deterministic state machine over a replicated log.
//
// The one idea: a [State] changes only by applying a [Command], every item in
// it remembers the revision that last touched it, and a [Delta] carries the
// items touched since a revision to the instances that follow.
package tabler

import "time"

// Revision numbers accepted configurations. It only rises.
type Revision uint64

// Tables is the document that operators edit. Routes and pools are joined
// only by pool names.
type Tables struct {
	Regions    []Region    `json:"regions" yaml:"regions"`
	Pools      []Pool      `json:"pools" yaml:"pools"`
	Routes     []Route     `json:"routes" yaml:"routes"`
	Workspaces []Workspace `json:"workspaces" yaml:"workspaces"`
}

// Region is a place with one or more failure domains.
type Region struct {
	Name           string   `json:"name" yaml:"name"`
	FailureDomains []string `json:"failure-domains" yaml:"failure-domains"`
}

// Pool names a group of backend servers in one region. A pool never names
// another pool, so no chain of pools can be written.
type Pool struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// Route names work that a caller may ask for and the pools that may do it,
// in order of preference.
type Route struct {
	Name string `json:"name" yaml:"name"`
	// Path is matched whole, or as a prefix when it ends in a slash.
	Path string `json:"path" yaml:"path"`
	// Model restricts the route to requests that name this model.
	Model string   `json:"model,omitempty" yaml:"model,omitempty"`
	Pools []string `json:"pools" yaml:"pools"`
	// Open routes need no key. They are counted against no workspace.
	Open bool `json:"open,omitempty" yaml:"open,omitempty"`
	// Once marks work that must not run twice, such as a booking.
	Once bool `json:"once,omitempty" yaml:"once,omitempty"`
	// MaxOutputTokens bounds the answer when the request names no limit.
	MaxOutputTokens int64 `json:"max-output-tokens,omitempty" yaml:"max-output-tokens,omitempty"`
	// BytesPerToken turns the size of a prompt into tokens before it is run;
	// 0 means 3. With 1 it is a true upper bound for any tokenizer.
	BytesPerToken int64 `json:"bytes-per-token,omitempty" yaml:"bytes-per-token,omitempty"`
	// Timeout bounds queueing and serving together; 0 means two minutes.
	Timeout Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	// Priority is handed to the engines; a lower number goes first.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Objective is what the burn report measures this route against.
	Objective *Objective `json:"objective,omitempty" yaml:"objective,omitempty"`
}

// Objective is a service-level objective of a route.
type Objective struct {
	// FirstToken bounds the time to the first byte of an answer.
	FirstToken Duration `json:"first-token" yaml:"first-token"`
	// Target is the share of requests that must meet it, such as 0.95.
	Target float64 `json:"target" yaml:"target"`
}

// Workspace is a tenant with its rate and burst over the whole fleet.
type Workspace struct {
	Name string `json:"name" yaml:"name"`
	// HomeRegion binds all data of the workspace to one region when set.
	HomeRegion string `json:"home-region,omitempty" yaml:"home-region,omitempty"`
	// Rate is in tokens per second, counted over all instances together.
	Rate float64 `json:"rate" yaml:"rate"`
	// Burst is in tokens.
	Burst float64 `json:"burst" yaml:"burst"`
	// Weight is the share under contention; 0 means 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty"`
}

// Duration is a time.Duration written as text, such as "90s".
type Duration time.Duration

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// DefaultTimeout applies to routes that name none.
const DefaultTimeout = 2 * time.Minute

// DefaultMaxOutputTokens applies to routes that name none.
const DefaultMaxOutputTokens = 1024

// Deadline returns the time allowed to a request on this route.
func (r Route) Deadline() time.Duration {
	if r.Timeout == 0 {
		return DefaultTimeout
	}
	return time.Duration(r.Timeout)
}

// OutputLimit returns the output tokens reserved when a request names none.
func (r Route) OutputLimit() int64 {
	if r.MaxOutputTokens == 0 {
		return DefaultMaxOutputTokens
	}
	return r.MaxOutputTokens
}

// DefaultBytesPerToken applies to routes that name none.
const DefaultBytesPerToken = 3

// PromptTokens estimates the tokens of a prompt from its size in bytes.
func (r Route) PromptTokens(size int) int64 {
	per := r.BytesPerToken
	if per == 0 {
		per = DefaultBytesPerToken
	}
	return (int64(size) + per - 1) / per
}

// Share returns the weight of the workspace, 1 unless set.
func (w Workspace) Share() float64 {
	if w.Weight == 0 {
		return 1
	}
	return w.Weight
}
