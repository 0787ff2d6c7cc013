// Package claimer runs requests that must not run twice at most once, even if they
// are resent through other instances.
//
// Before a byte of a request with an idempotency key is sent to a backend server,
// the claim group accepts a claim on the key and syncs it to stable storage.
// [Claims] is the group's deterministic state machine, and [Filter] makes the
// claims.
package claimer

import (
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/decoder"
	"github.com/boragehead/boragehead/internal/tabler"
)

// Limits of stored claims.
const (
	// Retention is how long a claim and its outcome are stored, counted from the
	// claim.
	Retention = 24 * time.Hour
	// MaxResponseBytes bounds the body and, separately, the header of a stored
	// response, in bytes.
	MaxResponseBytes = 64 << 10
	// MaxClaims bounds the number of claims in a group. New claims beyond it are
	// refused; stored ones are not evicted.
	MaxClaims = 200_000
)

// Phase is the progress of claimed work, or the reason why a claim was refused.
type Phase string

// The phases.
const (
	// PhaseNew means that the proposer owns the claim and may run the work once.
	PhaseNew Phase = "new"
	// PhaseRunning means that another attempt owns the claim and has not finished.
	PhaseRunning Phase = "running"
	// PhaseDone means that the work ran and its response is stored.
	PhaseDone Phase = "done"
	// PhaseUnknown means that the work may or may not have run.
	PhaseUnknown Phase = "unknown"
	// PhaseMismatch means that the key was used with a different request.
	PhaseMismatch Phase = "mismatch"
	// PhaseFull means that the group already stores MaxClaims claims.
	PhaseFull Phase = "full"
)

// Key identifies claimed work. Its field Key is the caller's idempotency key.
type Key struct {
	Workspace string `cbor:"w"`
	Route     string `cbor:"r"`
	Key       string `cbor:"k"`
}

// Response is the stored response of finished work.
type Response struct {
	Status int `cbor:"s"`
	// ContentType repeats a field of Header. Versions without Header read and write
	// only this one.
	ContentType string      `cbor:"t"`
	Header      http.Header `cbor:"h,omitempty"`
	Body        []byte      `cbor:"b"`
	// Truncated means that the response was larger than MaxResponseBytes, and that
	// neither body nor header are stored.
	Truncated bool `cbor:"x,omitempty"`
}

// Command is one change of the claims. Exactly one of its fields is set.
type Command struct {
	Claim   *Claim   `cbor:"claim,omitempty"`
	Finish  *Finish  `cbor:"finish,omitempty"`
	Release *Release `cbor:"release,omitempty"`
}

// Claim requests the right to run work once.
type Claim struct {
	Key Key `cbor:"k"`
	// Attempt is unique to each attempt to run the work. Thus a claim that is
	// resent for the same attempt gets the same outcome.
	Attempt string `cbor:"a"`
	// RequestHash tells apart requests that use the same idempotency key.
	RequestHash uint64 `cbor:"b"`
	// ProposedAt is the time at the proposer. The group's clock follows it, but
	// never goes back.
	ProposedAt time.Time `cbor:"t"`
	// Revision is that of the configuration by which the proposer chose the group.
	Revision tabler.Revision `cbor:"v,omitempty"`
	// UnknownAfter is when the outcome of the attempt counts as unknown if it has
	// not finished.
	UnknownAfter time.Time `cbor:"u"`
}

// Finish records the outcome of an attempt.
type Finish struct {
	Key     Key    `cbor:"k"`
	Attempt string `cbor:"a"`
	// Response is nil if the outcome is unknown.
	Response *Response `cbor:"r,omitempty"`
}

// Release deletes the claim of an attempt whose request was never sent, so that
// the work can be claimed again.
type Release struct {
	Key     Key    `cbor:"k"`
	Attempt string `cbor:"a"`
}

// Outcome is the result of a claim. Response is set in PhaseDone only.
type Outcome struct {
	Phase    Phase     `cbor:"p"`
	Response *Response `cbor:"r,omitempty"`
}

// record is a claim as it is stored. Its phase is PhaseRunning, PhaseDone or
// PhaseUnknown.
type record struct {
	Attempt      string    `cbor:"a"`
	RequestHash  uint64    `cbor:"b"`
	UnknownAfter time.Time `cbor:"u"`
	Expires      time.Time `cbor:"e"`
	Phase        Phase     `cbor:"p"`
	Response     *Response `cbor:"r,omitempty"`
}

// Claims is the state of a claim group. The zero value is empty. It is not
// safe for concurrent use.
type Claims struct {
	Records map[Key]*record
	// KeysOldestFirst holds the keys of all records in the order of their claims,
	// which is also the order in which they expire.
	KeysOldestFirst []Key
	// Clock is the latest ProposedAt of all claims.
	Clock time.Time
}

// Apply executes a command. It returns the outcome of a claim, and the zero
// Outcome for other commands.
func (c *Claims) Apply(command Command) Outcome {
	switch {
	case command.Claim != nil:
		return c.applyClaim(*command.Claim)
	case command.Finish != nil:
		c.applyFinish(*command.Finish)
	case command.Release != nil:
		c.applyRelease(*command.Release)
	}
	return Outcome{}
}

func (c *Claims) applyClaim(claim Claim) Outcome {
	if claim.ProposedAt.After(c.Clock) {
		c.Clock = claim.ProposedAt
	}
	c.expireRecords()
	existing, exists := c.Records[claim.Key]
	if exists {
		return c.outcomeOfRepeat(claim, existing)
	}
	if len(c.Records) >= MaxClaims {
		return Outcome{Phase: PhaseFull}
	}
	if c.Records == nil {
		c.Records = map[Key]*record{}
	}
	c.Records[claim.Key] = &record{
		Attempt: claim.Attempt, RequestHash: claim.RequestHash, UnknownAfter: claim.UnknownAfter,
		Expires: c.Clock.Add(Retention), Phase: PhaseRunning,
	}
	c.KeysOldestFirst = append(c.KeysOldestFirst, claim.Key)
	return Outcome{Phase: PhaseNew}
}

// outcomeOfRepeat returns the outcome of a claim on a key that has a record.
func (c *Claims) outcomeOfRepeat(claim Claim, existing *record) Outcome {
	switch {
	case existing.RequestHash != claim.RequestHash:
		return Outcome{Phase: PhaseMismatch}
	case existing.Phase != PhaseRunning:
		return Outcome{Phase: existing.Phase, Response: existing.Response}
	case existing.Attempt == claim.Attempt:
		return Outcome{Phase: PhaseNew}
	case c.Clock.After(existing.UnknownAfter):
		return Outcome{Phase: PhaseUnknown}
	}
	return Outcome{Phase: PhaseRunning}
}

func (c *Claims) applyFinish(finish Finish) {
	existing, exists := c.Records[finish.Key]
	if !exists || existing.Attempt != finish.Attempt || existing.Phase != PhaseRunning {
		return
	}
	if finish.Response == nil {
		existing.Phase = PhaseUnknown
		return
	}
	existing.Phase = PhaseDone
	existing.Response = finish.Response
}

func (c *Claims) applyRelease(release Release) {
	existing, exists := c.Records[release.Key]
	if !exists || existing.Attempt != release.Attempt || existing.Phase != PhaseRunning {
		return
	}
	delete(c.Records, release.Key)
	if i := slices.Index(c.KeysOldestFirst, release.Key); i >= 0 {
		c.KeysOldestFirst = slices.Delete(c.KeysOldestFirst, i, i+1)
	}
}

// expireRecords deletes the records that have expired by the group's clock.
func (c *Claims) expireRecords() {
	for len(c.KeysOldestFirst) > 0 {
		oldest := c.Records[c.KeysOldestFirst[0]]
		if oldest.Expires.After(c.Clock) {
			return
		}
		delete(c.Records, c.KeysOldestFirst[0])
		c.KeysOldestFirst = c.KeysOldestFirst[1:]
	}
}

// snapshot is the encoded form of Claims. Keys and Records are parallel slices,
// which replace the map with struct keys.
type snapshot struct {
	Keys    []Key     `cbor:"keys"`
	Records []*record `cbor:"records"`
	Clock   time.Time `cbor:"clock"`
}

// Snapshot encodes the state for Restore.
func (c *Claims) Snapshot() ([]byte, error) {
	s := snapshot{Keys: c.KeysOldestFirst, Clock: c.Clock}
	for _, key := range c.KeysOldestFirst {
		s.Records = append(s.Records, c.Records[key])
	}
	data, err := cbor.Marshal(s)
	return data, trace.Wrap(err)
}

// Restore replaces the state with that of a snapshot. On an error the state is
// unchanged.
func (c *Claims) Restore(data []byte) error {
	var s snapshot
	if err := decoder.Stored(data, &s); err != nil {
		return trace.Wrap(err)
	}
	*c = Claims{Records: map[Key]*record{}, KeysOldestFirst: s.Keys, Clock: s.Clock}
	for i, key := range s.Keys {
		c.Records[key] = s.Records[i]
	}
	return nil
}
