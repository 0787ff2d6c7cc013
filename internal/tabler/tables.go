// Package tabler holds the configuration of the gateway: its tables, keys and
// instances, as a deterministic state machine over a replicated log.
//
// A [State] is changed by applying a [Command]. Every item holds the revision that
// last changed it, so that a [Delta] with the changes since a revision can be sent
// to the instances that follow the configuration. A [View] of a state serves
// lookups.
package tabler

import "time"

// Revision is the number of a configuration. Each accepted change increments it.
type Revision uint64

// Tables is the document that operators edit. Routes refer to pools only by
// name.
type Tables struct {
	Regions    []Region    `json:"regions" yaml:"regions"`
	Pools      []Pool      `json:"pools" yaml:"pools"`
	Routes     []Route     `json:"routes" yaml:"routes"`
	Workspaces []Workspace `json:"workspaces" yaml:"workspaces"`
}

// Region is a geographical region with one or more failure domains.
type Region struct {
	Name           string   `json:"name" yaml:"name"`
	FailureDomains []string `json:"failure-domains" yaml:"failure-domains"`
}

// Pool is a group of backend servers in one region. Pools cannot refer to other
// pools, so there are no chains of pools to resolve.
type Pool struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// Route maps requests to the pools that may serve them.
type Route struct {
	Name string `json:"name" yaml:"name"`
	// Path must match exactly, or as a prefix if it ends with a slash.
	Path string `json:"path" yaml:"path"`
	// Model, if set, restricts the route to requests for this model.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
	// Pools are the names of pools, in order of preference.
	Pools []string `json:"pools" yaml:"pools"`
	// Open routes need no key. Requests without a key are charged to no
	// workspace.
	Open bool `json:"open,omitempty" yaml:"open,omitempty"`
	// Once is true if requests must not run twice, such as a booking.
	Once bool `json:"once,omitempty" yaml:"once,omitempty"`
	// MaxOutputTokens is the output limit of requests that set none; 0 means
	// DefaultMaxOutputTokens.
	MaxOutputTokens int64 `json:"max-output-tokens,omitempty" yaml:"max-output-tokens,omitempty"`
	// BytesPerToken is used to estimate the tokens of a prompt before it runs;
	// 0 means 3. With 1 the estimate is an upper bound for any tokenizer.
	BytesPerToken int64 `json:"bytes-per-token,omitempty" yaml:"bytes-per-token,omitempty"`
	// Timeout limits the time in queue and the time of serving together;
	// 0 means two minutes.
	Timeout Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	// Priority is sent to the engines, which serve lower numbers first.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Objective, if set, is the objective in the report of burn rates.
	Objective *Objective `json:"objective,omitempty" yaml:"objective,omitempty"`
}

// Objective is a service-level objective of a route.
type Objective struct {
	// FirstToken is the longest time to the first byte of a response.
	FirstToken Duration `json:"first-token" yaml:"first-token"`
	// Target is the share of requests that must meet FirstToken, such as 0.95.
	Target float64 `json:"target" yaml:"target"`
}

// Workspace is a tenant with its rate limit over the whole fleet.
type Workspace struct {
	Name string `json:"name" yaml:"name"`
	// HomeRegion, if set, binds all data of the workspace to one region.
	HomeRegion string `json:"home-region,omitempty" yaml:"home-region,omitempty"`
	// Rate is in tokens per second, over all instances together.
	Rate float64 `json:"rate" yaml:"rate"`
	// Burst is in tokens.
	Burst float64 `json:"burst" yaml:"burst"`
	// Weight is the relative share of the workspace if servers are contended;
	// 0 means 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty"`
}

// Duration is a time.Duration that is encoded as text, such as "90s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler with the format of
// time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler with the format of
// time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// DefaultTimeout is the timeout of routes that set none.
const DefaultTimeout = 2 * time.Minute

// DefaultMaxOutputTokens is the output limit of routes that set none.
const DefaultMaxOutputTokens = 1024

// TimeoutOrDefault returns the timeout of a request on this route.
func (r Route) TimeoutOrDefault() time.Duration {
	if r.Timeout == 0 {
		return DefaultTimeout
	}
	return time.Duration(r.Timeout)
}

// MaxOutputTokensOrDefault returns the output tokens to reserve for a request that
// sets no limit.
func (r Route) MaxOutputTokensOrDefault() int64 {
	if r.MaxOutputTokens == 0 {
		return DefaultMaxOutputTokens
	}
	return r.MaxOutputTokens
}

// DefaultBytesPerToken is the estimate for routes that set none.
const DefaultBytesPerToken = 3

// EstimatePromptTokens estimates the tokens of a prompt from its size in bytes. It
// rounds up.
func (r Route) EstimatePromptTokens(size int) int64 {
	bytesPerToken := r.BytesPerToken
	if bytesPerToken == 0 {
		bytesPerToken = DefaultBytesPerToken
	}
	return (int64(size) + bytesPerToken - 1) / bytesPerToken
}

// WeightOrDefault returns the weight of the workspace, or 1 if none is set.
func (w Workspace) WeightOrDefault() float64 {
	if w.Weight == 0 {
		return 1
	}
	return w.Weight
}
