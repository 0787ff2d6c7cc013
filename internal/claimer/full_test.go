package claimer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/claimer"
)

// TestFullGroupIsRestored restores a group with as many claims as it takes. A keeper whose
// snapshot could not be decoded would end at each of its starts.
func TestFullGroupIsRestored(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var claims claimer.Claims
	claim := func(number int) claimer.Outcome {
		return claims.Apply(claimer.Command{Claim: &claimer.Claim{
			Key: claimer.Key{Workspace: "w", Route: "r", Key: fmt.Sprint(number)}, Attempt: "a", ProposedAt: now, UnknownAfter: now.Add(time.Minute),
		}})
	}
	for number := range claimer.MaxClaims {
		assert.Equal(t, claim(number).Phase, claimer.PhaseNew)
	}
	assert.Equal(t, claim(claimer.MaxClaims).Phase, claimer.PhaseFull)
	snapshot, err := claims.Snapshot()
	assert.NilError(t, err)
	claims = claimer.Claims{}
	assert.NilError(t, claims.Restore(snapshot))
	assert.Equal(t, claim(claimer.MaxClaims).Phase, claimer.PhaseFull)
	assert.Equal(t, claim(0).Phase, claimer.PhaseNew) // the same attempt
}
