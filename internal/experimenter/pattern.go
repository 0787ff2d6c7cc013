package experimenter

import (
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/emulator"
)

// Pattern describes a load: a fleet, the requests of its callers, and outages.
type Pattern struct {
	// Duration is the time during which new requests arrive.
	Duration time.Duration `yaml:"duration" validate:"gt=0"`
	Engine   emulator.Spec `yaml:"engine" validate:"required"`
	Network  Network       `yaml:"network"`
	Regions  []Region      `yaml:"regions" validate:"min=1,unique=Name,dive"`
	Kinds    []RequestKind `yaml:"kinds" validate:"min=1,unique=Name,dive"`
	// Outages take engines down for a time.
	Outages []Outage `yaml:"outages" validate:"dive"`
	// Partitions cut entry instances off from all engines.
	Partitions []Partition `yaml:"partitions" validate:"dive"`
	// Bursts multiply the rate of one kind for a time.
	Bursts []Burst `yaml:"bursts" validate:"dive"`
	// Slowdowns, unless nil, slow engines down for short times.
	Slowdowns *Slowdowns `yaml:"slowdowns" validate:"omitempty"`
	// HotWorkspaces send several times their usual load for a time.
	HotWorkspaces []HotWorkspace `yaml:"hot" validate:"unique=Name,dive"`
}

// Network holds one-way delays: within a failure domain, between the domains of a
// region, between regions, and between callers and entry instances.
type Network struct {
	WithinDomain   time.Duration `yaml:"near" validate:"gte=0"`
	BetweenDomains time.Duration `yaml:"domain" validate:"gte=0"`
	BetweenRegions time.Duration `yaml:"region" validate:"gte=0"`
	ToCaller       time.Duration `yaml:"caller" validate:"gte=0"`
}

// Region is one region of the fleet with its callers.
type Region struct {
	Name    string `yaml:"name" validate:"required"`
	Engines int    `yaml:"engines" validate:"gt=0"`
	// Instances is the number of entry instances. They are spread evenly over the
	// failure domains, as the engines are.
	Instances      int `yaml:"instances" validate:"gt=0"`
	FailureDomains int `yaml:"domains" validate:"gt=0"`
	// Rate is in requests per second over all kinds. LoadSteps change the factor by
	// which it is multiplied.
	Rate      float64    `yaml:"rate" validate:"gte=0"`
	LoadSteps []LoadStep `yaml:"load" validate:"dive"`
}

// LoadStep sets the load factor from a time on.
type LoadStep struct {
	At     time.Duration `yaml:"at" validate:"gte=0"`
	Factor float64       `yaml:"factor" validate:"gte=0"`
}

// Burst multiplies the rate of a kind of request by Factor, from At for Duration.
type Burst struct {
	Kind     string        `yaml:"kind" validate:"required"`
	At       time.Duration `yaml:"at" validate:"gte=0"`
	Duration time.Duration `yaml:"for" validate:"gt=0"`
	Factor   float64       `yaml:"factor" validate:"gt=0"`
}

// HotWorkspace is a workspace that sends Share of all requests, and Factor times as
// many as that from At for Duration.
type HotWorkspace struct {
	Name     string        `yaml:"workspace" validate:"required"`
	Share    float64       `yaml:"share" validate:"gt=0,lt=1"`
	At       time.Duration `yaml:"at" validate:"gte=0"`
	Duration time.Duration `yaml:"for" validate:"gt=0"`
	Factor   float64       `yaml:"factor" validate:"gt=0"`
}

// workspaceShares returns the rates of the hot workspaces at a time since the start
// and, as the last one, that of all others together. They are relative to the usual
// rate of all workspaces.
func (p Pattern) workspaceShares(at time.Duration) []float64 {
	var rates []float64
	others := 1.0
	for _, hot := range p.HotWorkspaces {
		rate := hot.Share
		if hot.At <= at && at < hot.At+hot.Duration {
			rate *= hot.Factor
		}
		rates, others = append(rates, rate), others-hot.Share
	}
	return append(rates, others)
}

// shares returns the weights of the kinds at a time since the start, which the bursts
// multiply, and the sum of the weights relative to that without bursts.
func (p Pattern) shares(at time.Duration) (weights []float64, growth float64) {
	base, total := 0.0, 0.0
	for _, kind := range p.Kinds {
		weight := kind.Share
		for _, burst := range p.Bursts {
			if burst.Kind == kind.Name && burst.At <= at && at < burst.At+burst.Duration {
				weight *= burst.Factor
			}
		}
		weights = append(weights, weight)
		base, total = base+kind.Share, total+weight
	}
	return weights, total / base
}

// loadFactor returns the factor at a time since the start; it is 1 before the first
// step.
func (r Region) loadFactor(after time.Duration) float64 {
	factor := 1.0
	for _, step := range r.LoadSteps {
		if step.At <= after {
			factor = step.Factor
		}
	}
	return factor
}

// RequestKind describes one kind of request.
type RequestKind struct {
	Name string `yaml:"name" validate:"required"`
	// Share is the weight of the kind in the mix of requests, relative to the others.
	Share float64 `yaml:"share" validate:"gt=0"`
	// Objective bounds the time to the first event, MaxGap the time between two
	// events, and Deadline the time of the whole response.
	Objective time.Duration `yaml:"objective" validate:"gt=0"`
	MaxGap    time.Duration `yaml:"gap" validate:"gt=0"`
	Deadline  time.Duration `yaml:"deadline" validate:"gt=0"`
	// Worth is the value of a response that meets Objective and MaxGap, LateWorth that
	// of a response that does not but ends before the deadline.
	Worth     float64 `yaml:"worth" validate:"gt=0"`
	LateWorth float64 `yaml:"late" validate:"gte=0"`
	Urgency   int     `yaml:"urgency" validate:"gte=0"`
	// Retries is how many attempts a caller makes after refusals.
	Retries int `yaml:"retries" validate:"gte=0"`
	// SharedLevels are the prompt parts that requests share, in prompt order. A part of
	// one level always follows the same parts of the levels before it. OwnTokens is the
	// size of the rest of the prompt, which no other request shares.
	SharedLevels []SharedLevel `yaml:"shared" validate:"dive"`
	OwnTokens    Distribution  `yaml:"own"`
	// Events is the number of events in a response. HintSpread is the spread, on a
	// logarithmic scale, of the caller's estimate of the response length around the
	// real one.
	Events     Distribution `yaml:"events"`
	HintSpread float64      `yaml:"hint" validate:"gte=0"`
	// HomeRegions, unless empty, are the only regions that may serve the requests.
	HomeRegions []string `yaml:"homes"`
	// Attempts is the number of engines that a request may run on.
	Attempts int `yaml:"attempts" validate:"gt=0"`
}

// mayRunIn reports whether a region may serve requests of the kind.
func (k RequestKind) mayRunIn(region string) bool {
	return len(k.HomeRegions) == 0 || slices.Contains(k.HomeRegions, region)
}

// SharedLevel is a set of prompt parts, one of which each request uses.
type SharedLevel struct {
	Tokens Distribution `yaml:"tokens"`
	// Count is the number of parts. In the last level, part i (from 1) is chosen in
	// proportion to i^-Skew; Skew has no effect in other levels.
	Count int     `yaml:"things" validate:"gt=0"`
	Skew  float64 `yaml:"skew" validate:"gte=0"`
}

// Distribution is a log-normal distribution with the given mean, cut off at 1 and
// at Max. Spread is the standard deviation of the logarithm.
type Distribution struct {
	Mean   float64 `yaml:"mean" validate:"gt=0"`
	Spread float64 `yaml:"spread" validate:"gte=0"`
	Max    float64 `yaml:"most" validate:"gtfield=Mean"`
}

// Outage takes a share of a region's engines down, from At for Duration.
type Outage struct {
	Region   string        `yaml:"region" validate:"required"`
	Share    float64       `yaml:"share" validate:"gt=0,lte=1"`
	At       time.Duration `yaml:"at" validate:"gte=0"`
	Duration time.Duration `yaml:"for" validate:"gt=0"`
}
