// Package claimer makes sure that work which must not run twice runs at most
// once, whichever instances a resend comes through.
//
// The one idea: before a byte goes to a backend server, a claim on the
// idempotency key is accepted and synced by the claim group. [Claims] is the
// group's deterministic state machine.
package claimer

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Limits of what is kept.
const (
	// Retention is how long an outcome is remembered.
	Retention = 24 * time.Hour
	// MaxAnswer bounds a kept answer, in bytes.
	MaxAnswer = 64 << 10
	// MaxClaims bounds the claims of a group; more are refused, not forgotten.
	MaxClaims = 200_000
)

// Phase is how far the claimed work has come.
type Phase string

// The phases.
const (
	// PhaseNew means that the asker owns the claim and may run the work once.
	PhaseNew Phase = "new"
	// PhaseRunning means that another attempt owns the claim.
	PhaseRunning Phase = "running"
	// PhaseDone means that the answer is known.
	PhaseDone Phase = "done"
	// PhaseUnknown means that the work may or may not have run.
	PhaseUnknown Phase = "unknown"
	// PhaseMismatch means that the key was used with another request.
	PhaseMismatch Phase = "mismatch"
	// PhaseFull means that the group has no room for another claim.
	PhaseFull Phase = "full"
)

// Key names claimed work.
type Key struct {
	Workspace string `cbor:"w"`
	Route     string `cbor:"r"`
	Key       string `cbor:"k"`
}

// Answer is a kept answer.
type Answer struct {
	Status      int    `cbor:"s"`
	ContentType string `cbor:"t"`
	Body        []byte `cbor:"b"`
	// Truncated means that the body was too large to keep.
	Truncated bool `cbor:"x,omitempty"`
}

// Command is one change. Exactly one of its parts is set.
type Command struct {
	Claim   *Claim   `cbor:"claim,omitempty"`
	Finish  *Finish  `cbor:"finish,omitempty"`
	Release *Release `cbor:"release,omitempty"`
}

// Claim asks to run work once.
type Claim struct {
	Key Key `cbor:"k"`
	// Attempt is unique to this asking; a resent claim of the same attempt
	// gets the same outcome.
	Attempt string `cbor:"a"`
	// Body is a hash of the request.
	Body uint64 `cbor:"b"`
	// At is the proposer's time; it moves the group's clock forward only.
	At time.Time `cbor:"t"`
	// Until is when an attempt that has not finished counts as unknown.
	Until time.Time `cbor:"u"`
}

// Finish records the outcome of an attempt.
type Finish struct {
	Key     Key    `cbor:"k"`
	Attempt string `cbor:"a"`
	// Answer is nil when the outcome is unknown.
	Answer *Answer `cbor:"r,omitempty"`
}

// Release ends a claim whose work was never sent, so that it may be tried
// again.
type Release struct {
	Key     Key    `cbor:"k"`
	Attempt string `cbor:"a"`
}

// Outcome answers a claim.
type Outcome struct {
	Phase  Phase   `cbor:"p"`
	Answer *Answer `cbor:"r,omitempty"`
}

type record struct {
	Attempt string    `cbor:"a"`
	Body    uint64    `cbor:"b"`
	Until   time.Time `cbor:"u"`
	Expires time.Time `cbor:"e"`
	Phase   Phase     `cbor:"p"`
	Answer  *Answer   `cbor:"r,omitempty"`
}

// Claims is the state of a claim group. The zero value is empty. It is not
// safe for concurrent use.
type Claims struct {
	Records map[Key]*record
	// Order lists keys by when they were claimed, for expiry.
	Order []Key
	// Clock is the latest time that a claim carried.
	Clock time.Time
}

// Apply performs a command.
func (c *Claims) Apply(command Command) Outcome {
	switch {
	case command.Claim != nil:
		return c.claim(*command.Claim)
	case command.Finish != nil:
		c.finish(*command.Finish)
	case command.Release != nil:
		c.release(*command.Release)
	}
	return Outcome{}
}

func (c *Claims) claim(claim Claim) Outcome {
	if claim.At.After(c.Clock) {
		c.Clock = claim.At
	}
	c.expire()
	known, exists := c.Records[claim.Key]
	if exists {
		return c.repeat(claim, known)
	}
	if len(c.Records) >= MaxClaims {
		return Outcome{Phase: PhaseFull}
	}
	if c.Records == nil {
		c.Records = map[Key]*record{}
	}
	c.Records[claim.Key] = &record{
		Attempt: claim.Attempt, Body: claim.Body, Until: claim.Until,
		Expires: c.Clock.Add(Retention), Phase: PhaseRunning,
	}
	c.Order = append(c.Order, claim.Key)
	return Outcome{Phase: PhaseNew}
}

func (c *Claims) repeat(claim Claim, known *record) Outcome {
	switch {
	case known.Body != claim.Body:
		return Outcome{Phase: PhaseMismatch}
	case known.Phase != PhaseRunning:
		return Outcome{Phase: known.Phase, Answer: known.Answer}
	case known.Attempt == claim.Attempt:
		return Outcome{Phase: PhaseNew}
	case c.Clock.After(known.Until):
		return Outcome{Phase: PhaseUnknown}
	}
	return Outcome{Phase: PhaseRunning}
}

func (c *Claims) finish(finish Finish) {
	known, exists := c.Records[finish.Key]
	if !exists || known.Attempt != finish.Attempt || known.Phase != PhaseRunning {
		return
	}
	if finish.Answer == nil {
		known.Phase = PhaseUnknown
		return
	}
	known.Phase = PhaseDone
	known.Answer = finish.Answer
}

func (c *Claims) release(release Release) {
	known, exists := c.Records[release.Key]
	if !exists || known.Attempt != release.Attempt || known.Phase != PhaseRunning {
		return
	}
	delete(c.Records, release.Key)
	if at := slices.Index(c.Order, release.Key); at >= 0 {
		c.Order = slices.Delete(c.Order, at, at+1)
	}
}

func (c *Claims) expire() {
	for len(c.Order) > 0 {
		oldest := c.Records[c.Order[0]]
		if oldest.Expires.After(c.Clock) {
			return
		}
		delete(c.Records, c.Order[0])
		c.Order = c.Order[1:]
	}
}

// stored is the snapshot's form: maps with struct keys are written as pairs.
type stored struct {
	Keys    []Key     `cbor:"keys"`
	Records []*record `cbor:"records"`
	Clock   time.Time `cbor:"clock"`
}

// Snapshot encodes the whole state.
func (c *Claims) Snapshot() ([]byte, error) {
	s := stored{Keys: c.Order, Clock: c.Clock}
	for _, key := range c.Order {
		s.Records = append(s.Records, c.Records[key])
	}
	data, err := cbor.Marshal(s)
	return data, trace.Wrap(err)
}

// Restore replaces the state by a snapshot.
func (c *Claims) Restore(data []byte) error {
	var s stored
	if err := cbor.Unmarshal(data, &s); err != nil {
		return trace.Wrap(err)
	}
	*c = Claims{Records: map[Key]*record{}, Order: s.Keys, Clock: s.Clock}
	for i, key := range s.Keys {
		c.Records[key] = s.Records[i]
	}
	return nil
}
