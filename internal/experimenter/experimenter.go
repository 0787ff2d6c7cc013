package experimenter

import (
	"errors"
	"slices"
	"sync"

	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/loader"
)

// ErrPattern marks patterns whose entries contradict each other.
var ErrPattern = errors.New("pattern contradicts itself")

// Load reads and validates a pattern file. Invalid files give an error of kind
// loader.ErrInvalid or ErrPattern.
func Load(path string) (Pattern, error) {
	pattern, err := loader.Load[Pattern](path)
	if err != nil {
		return pattern, err
	}
	return pattern, trace.Wrap(pattern.check(), path)
}

// check rejects patterns that refer to unknown regions or kinds, or whose hot
// workspaces send more than all requests.
func (p Pattern) check() error {
	var names []string
	for _, r := range p.Regions {
		names = append(names, r.Name)
	}
	for _, kind := range p.Kinds {
		for _, home := range kind.HomeRegions {
			if !slices.Contains(names, home) {
				return trace.Wrap(ErrPattern, "kinds.%s.homes: no region %q", kind.Name, home)
			}
		}
	}
	for _, outage := range p.Outages {
		if !slices.Contains(names, outage.Region) {
			return trace.Wrap(ErrPattern, "outages: no region %q", outage.Region)
		}
	}
	for _, burst := range p.Bursts {
		if !slices.ContainsFunc(p.Kinds, func(kind RequestKind) bool { return kind.Name == burst.Kind }) {
			return trace.Wrap(ErrPattern, "bursts: no kind %q", burst.Kind)
		}
	}
	if others := p.workspaceShares(0); others[len(others)-1] < 0 {
		return trace.Wrap(ErrPattern, "hot: the shares add up to more than 1")
	}
	return nil
}

// Run simulates a pattern once for each policy and seed, up to plays simulations at
// a time. Results are ordered by policy and then by seed, and depend on the
// arguments alone.
func Run(pattern Pattern, policies []string, seeds []uint64, plays int) ([]Result, error) {
	for _, policy := range policies {
		if !slices.Contains(Policies(), policy) {
			return nil, trace.Wrap(ErrPolicy, "%q: use one of %v", policy, Policies())
		}
	}
	results := make([]Result, len(policies)*len(seeds))
	failures := make([]error, len(results))
	var boundsBySeed []func() bounds
	for _, seed := range seeds {
		boundsBySeed = append(boundsBySeed, sync.OnceValue(func() bounds { return newBounds(pattern, seed) }))
	}
	running := make(chan struct{}, max(plays, 1))
	var wait sync.WaitGroup
	for i := range results {
		wait.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			results[i], failures[i] = simulate(pattern, policies[i/len(seeds)], seeds[i%len(seeds)])
			boundsBySeed[i%len(seeds)]().addTo(&results[i])
		})
	}
	wait.Wait()
	return results, errors.Join(failures...)
}
