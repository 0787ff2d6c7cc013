package controller

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/compressor"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/replicator"
)

// Calls between control instances for the replication group.
const (
	methodReplicate = "state-replicate"
	methodPropose   = "state-propose"
	methodRead      = "state-read"
	methodJoin      = "state-join"
)

// proposeQuery forwards an encoded command to the leader.
type proposeQuery struct {
	// Data is the command, unless Compressed holds it.
	Data       []byte                 `cbor:"d"`
	Compressed *compressor.Compressed `cbor:"c,omitempty"`
}

// readQuery asks the leader for its read index.
type readQuery struct{}

// readAnswer tells which log index a store must have applied to reflect all
// changes that were accepted before the query.
type readAnswer struct {
	Index replicator.Index `cbor:"i"`
}

// Define makes a document the current definition, unless the current version is
// the same or higher; that is no error. It returns once a quorum has synced the
// change. Errors wrap definer.ErrInvalid or ErrUnavailable; after the latter the
// document may still become the current one.
func (c *Controller) Define(ctx context.Context, document []byte) error {
	startedAt := time.Now()
	definition, err := c.decode(document)
	current := c.machine.state()
	if err != nil {
		klog.InfoS("definition rejected", "version", definition.Version, "held", current.Version, "bytes", len(document),
			"hash", compressor.HashName(document), "err", logger.ErrorText(err))
		return err
	}
	if definition.Version <= current.Version {
		klog.InfoS("definition acknowledged without a change: current version is the same or higher", "version", definition.Version,
			"hash", compressor.HashName(document), "held", current.Version, "held-hash", compressor.HashName(current.Document))
		return nil
	}
	outcome, err := c.submit(ctx, command{Define: &defineCommand{Version: definition.Version, Document: bytes.Clone(document)}})
	klog.InfoS("definition proposed", "version", definition.Version, "hash", compressor.HashName(document), "held", outcome.Version, "took", time.Since(startedAt), "err", logger.ErrorText(err))
	return err
}

// Definition returns the current document. The read is linearizable: a quorum
// confirms it, or ErrUnavailable is returned. The document is nil before the
// first definition.
func (c *Controller) Definition(ctx context.Context) ([]byte, error) {
	startedAt := time.Now()
	err := c.awaitReadIndex(ctx)
	state := c.machine.state()
	if leftOut, ok := c.readLogLimiter.Allow(time.Now()); ok {
		message := "definition read"
		if err != nil {
			message = "no quorum confirmed the read"
		}
		klog.InfoS(message, "version", state.Version, "hash", compressor.HashName(state.Document), "took", time.Since(startedAt),
			"err", logger.ErrorText(err), "left-out", leftOut)
	}
	if err != nil {
		return nil, err
	}
	return state.Document, nil
}

// proposeRetryInterval is the delay between two attempts to propose a command.
const proposeRetryInterval = 50 * time.Millisecond

// submit appends a command to the log through the leader and returns the state
// machine's result. It retries for at most callTimeout while there is no leader.
// It retries only after errors that rule out that the command was accepted;
// after any other error it returns ErrUnavailable, or ErrOrderOutdated as it is.
func (c *Controller) submit(ctx context.Context, cmd command) (commandResult, error) {
	data, err := encodeCommand(cmd)
	if err != nil {
		return commandResult{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		outcome, err := c.propose(ctx, data)
		if err == nil {
			return outcome, nil
		}
		if errors.Is(err, ErrOrderOutdated) {
			return commandResult{}, err
		}
		if !errors.Is(err, replicator.ErrNotLeader) && !errors.Is(err, ErrUnavailable) {
			return commandResult{}, trace.Wrap(ErrUnavailable, err.Error())
		}
		select {
		case <-time.After(proposeRetryInterval):
		case <-ctx.Done():
			return commandResult{}, trace.Wrap(ErrUnavailable, err.Error())
		}
	}
}

// propose makes one attempt to append an encoded command to the log, here or at
// the leader.
func (c *Controller) propose(ctx context.Context, data []byte) (commandResult, error) {
	if c.group.IsLeader() {
		return c.proposeHere(ctx, data)
	}
	leader, known := c.group.Leader()
	if !known {
		return commandResult{}, trace.Wrap(ErrUnavailable)
	}
	query := proposeQuery{Compressed: c.transport.compress(leader.Name, data)}
	if query.Compressed == nil {
		query.Data = data
	}
	return call[proposeQuery, commandResult](ctx, c, leader.Name, methodPropose, query)
}

func (c *Controller) servePropose(ctx context.Context, _ certifier.Identity, query proposeQuery) (commandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := decompress(query.Data, query.Compressed)
	if err != nil {
		return commandResult{}, trace.Wrap(err)
	}
	return c.proposeHere(ctx, data)
}

// awaitReadIndex returns once the local state reflects every change that was
// accepted before the call, or ErrUnavailable after callTimeout.
func (c *Controller) awaitReadIndex(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.group.IsLeader() {
		return asUnavailable(c.group.Read(ctx))
	}
	leader, known := c.group.Leader()
	if !known {
		return trace.Wrap(ErrUnavailable)
	}
	leaderState, err := call[readQuery, readAnswer](ctx, c, leader.Name, methodRead, readQuery{})
	if err != nil {
		return asUnavailable(err)
	}
	for {
		changed := c.group.Changed()
		if c.group.Status().Applied >= leaderState.Index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.Wrap(ErrUnavailable)
		}
	}
}

// asUnavailable wraps an error's text in ErrUnavailable. It returns nil for nil.
func asUnavailable(err error) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(ErrUnavailable, err.Error())
}

func (c *Controller) serveRead(ctx context.Context, _ certifier.Identity, _ readQuery) (readAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.group.Read(ctx); err != nil {
		return readAnswer{}, err
	}
	return readAnswer{Index: c.group.Status().Applied}, nil
}
