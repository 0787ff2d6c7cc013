package controller

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/replicator"
)

// The calls between control instances.
const (
	methodReplicate = "state-replicate"
	methodPropose   = "state-propose"
	methodRead      = "state-read"
	methodJoin      = "state-join"
)

// proposeQuery passes a proposal on to the leader.
type proposeQuery struct {
	Data []byte `cbor:"d"`
}

type readQuery struct{}

type readAnswer struct {
	Index replicator.Index `cbor:"i"`
}

// Define puts a document in force, unless one of its version or a higher one
// is. It returns once a quorum has synced it. Errors are definer.ErrInvalid and
// ErrUnavailable; after the latter the document may still come into force.
func (c *Controller) Define(ctx context.Context, document []byte) error {
	began := time.Now()
	definition, err := c.decode(document)
	if err != nil {
		klog.InfoS("definition refused", "version", definition.Version, "err", logger.Reason(err))
		return err
	}
	held := c.machine.state().Version
	if definition.Version <= held {
		klog.InfoS("definition not newer: acknowledged, nothing changed", "version", definition.Version, "held", held)
		return nil
	}
	outcome, err := c.change(ctx, command{Define: &define{Version: definition.Version, Document: bytes.Clone(document)}})
	klog.InfoS("definition proposed", "version", definition.Version, "held", outcome.Version, "took", time.Since(began), "err", logger.Reason(err))
	return err
}

// Definition returns the document in force, confirmed by a quorum, or
// ErrUnavailable. The document is nil before the first.
func (c *Controller) Definition(ctx context.Context) ([]byte, error) {
	if err := c.read(ctx); err != nil {
		klog.InfoS("read not confirmed", "err", logger.Reason(err))
		return nil, err
	}
	return c.machine.state().Document, nil
}

// Close ends the use of a failure domain's servers, or begins it again. It
// returns once a quorum has synced it.
func (c *Controller) Close(ctx context.Context, failureDomain string, closed bool) error {
	began := time.Now()
	_, err := c.change(ctx, command{Close: &closing{FailureDomain: failureDomain, Closed: closed}})
	klog.InfoS("failure domain proposed", "failure-domain", failureDomain, "closed", closed, "took", time.Since(began), "err", logger.Reason(err))
	return err
}

// changePause is the pause between two tries to reach a leader.
const changePause = 50 * time.Millisecond

// change puts a command through the log, by way of the leader. While none is
// known it waits for one as long as the context allows. It is tried again only
// after answers that say that it was not taken.
func (c *Controller) change(ctx context.Context, next command) (applied, error) {
	data, err := encodeCommand(next)
	if err != nil {
		return applied{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		outcome, err := c.propose(ctx, data)
		if err == nil {
			return outcome, nil
		}
		if !errors.Is(err, replicator.ErrNotLeader) && !errors.Is(err, ErrUnavailable) {
			return applied{}, trace.Wrap(ErrUnavailable, err.Error())
		}
		select {
		case <-time.After(changePause):
		case <-ctx.Done():
			return applied{}, trace.Wrap(ErrUnavailable, err.Error())
		}
	}
}

func (c *Controller) propose(ctx context.Context, data []byte) (applied, error) {
	if c.group.Leads() {
		outcome, err := c.group.Propose(ctx, data)
		if err != nil {
			return applied{}, trace.Wrap(err)
		}
		return outcome.(applied), nil
	}
	leader, known := c.group.Leader()
	if !known {
		return applied{}, trace.Wrap(ErrUnavailable)
	}
	return call[proposeQuery, applied](ctx, c, leader.Name, methodPropose, proposeQuery{Data: data})
}

func (c *Controller) servePropose(ctx context.Context, _ certifier.Identity, query proposeQuery) (applied, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome, err := c.group.Propose(ctx, query.Data)
	if err != nil {
		return applied{}, trace.Wrap(err)
	}
	return outcome.(applied), nil
}

// read waits until the state here reflects all that was accepted before.
func (c *Controller) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.group.Leads() {
		return unavailable(c.group.Read(ctx))
	}
	leader, known := c.group.Leader()
	if !known {
		return trace.Wrap(ErrUnavailable)
	}
	point, err := call[readQuery, readAnswer](ctx, c, leader.Name, methodRead, readQuery{})
	if err != nil {
		return unavailable(err)
	}
	for {
		changed := c.group.Changed()
		if c.group.Status().Applied >= point.Index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.Wrap(ErrUnavailable)
		}
	}
}

func unavailable(err error) error {
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
