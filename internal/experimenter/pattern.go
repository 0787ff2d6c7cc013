package experimenter

import (
	"time"

	"github.com/boragehead/boragehead/internal/emulator"
)

// Pattern is a load to play: a fleet, what callers ask of it, and when.
type Pattern struct {
	// Duration is how long callers come.
	Duration time.Duration `yaml:"duration" validate:"gt=0"`
	Engine   emulator.Spec `yaml:"engine" validate:"required"`
	Network  Network       `yaml:"network"`
	Regions  []Region      `yaml:"regions" validate:"min=1,unique=Name,dive"`
	Kinds    []Kind        `yaml:"kinds" validate:"min=1,unique=Name,dive"`
	// Outages take engines away for a time.
	Outages []Outage `yaml:"outages" validate:"dive"`
}

// Network holds the times of one way.
type Network struct {
	Near   time.Duration `yaml:"near" validate:"gte=0"`
	Domain time.Duration `yaml:"domain" validate:"gte=0"`
	Region time.Duration `yaml:"region" validate:"gte=0"`
	Caller time.Duration `yaml:"caller" validate:"gte=0"`
}

// Region is one region with its callers.
type Region struct {
	Name    string `yaml:"name" validate:"required"`
	Engines int    `yaml:"engines" validate:"gt=0"`
	// Instances are entry instances, spread over the failure domains like the
	// engines.
	Instances int `yaml:"instances" validate:"gt=0"`
	Domains   int `yaml:"domains" validate:"gt=0"`
	// Rate is the requests a second of all kinds; Load says by how much it is
	// multiplied from a time on.
	Rate float64 `yaml:"rate" validate:"gte=0"`
	Load []Step  `yaml:"load" validate:"dive"`
}

// Step is a change of the load.
type Step struct {
	At     time.Duration `yaml:"at" validate:"gte=0"`
	Factor float64       `yaml:"factor" validate:"gte=0"`
}

// at returns the factor at a time; without steps it is 1.
func (r Region) at(after time.Duration) float64 {
	factor := 1.0
	for _, step := range r.Load {
		if step.At <= after {
			factor = step.Factor
		}
	}
	return factor
}

// Kind is one kind of request.
type Kind struct {
	Name string `yaml:"name" validate:"required"`
	// Share is its part of the requests, against the other kinds' shares.
	Share float64 `yaml:"share" validate:"gt=0"`
	// Objective is for the first event, Gap for the pause between two, and
	// Deadline for the whole answer.
	Objective time.Duration `yaml:"objective" validate:"gt=0"`
	Gap       time.Duration `yaml:"gap" validate:"gt=0"`
	Deadline  time.Duration `yaml:"deadline" validate:"gt=0"`
	// Worth is what an answer in time is worth, and Late one after that.
	Worth   float64 `yaml:"worth" validate:"gt=0"`
	Late    float64 `yaml:"late" validate:"gte=0"`
	Urgency int     `yaml:"urgency" validate:"gte=0"`
	// Retries is how often a caller comes back after a refusal.
	Retries int `yaml:"retries" validate:"gte=0"`
	// Shared are the parts of a prompt that requests share, in order; subjects
	// belong to one of those before. Own is the rest of a prompt.
	Shared []Shared `yaml:"shared" validate:"dive"`
	Own    Amount   `yaml:"own"`
	// Events is how many events an answer has, and Hint the spread of what
	// callers expect about that.
	Events Amount  `yaml:"events"`
	Hint   float64 `yaml:"hint" validate:"gte=0"`
	// Homes, unless empty, are the only regions that may serve it.
	Homes []string `yaml:"homes"`
	// Attempts is on how many engines it may run.
	Attempts int `yaml:"attempts" validate:"gt=0"`
}

// Shared is a level of shared parts.
type Shared struct {
	Tokens Amount `yaml:"tokens"`
	// Things is how many of them there are, and Skew how much more often the
	// first ones are asked for.
	Things int     `yaml:"things" validate:"gt=0"`
	Skew   float64 `yaml:"skew" validate:"gte=0"`
}

// Amount is a logarithmic normal distribution around a mean, up to a most.
type Amount struct {
	Mean   float64 `yaml:"mean" validate:"gt=0"`
	Spread float64 `yaml:"spread" validate:"gte=0"`
	Most   float64 `yaml:"most" validate:"gtfield=Mean"`
}

// Outage takes a share of a region's engines away.
type Outage struct {
	Region string        `yaml:"region" validate:"required"`
	Share  float64       `yaml:"share" validate:"gt=0,lte=1"`
	At     time.Duration `yaml:"at" validate:"gte=0"`
	For    time.Duration `yaml:"for" validate:"gt=0"`
}
