package controller

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/quarantiner"
)

// MethodReportEvidence is the call with which an entry instance reports what it
// knows of prompt parts that crash servers. It takes an EvidenceReport.
const MethodReportEvidence = "quarantine-report"

// methodForwardEvidence is the call with which a control instance passes reports on
// to the others.
const methodForwardEvidence = "quarantine-tell"

// EvidenceReport carries evidence about prompt parts.
type EvidenceReport struct {
	Parts []quarantiner.Part `cbor:"p"`
}

// EvidenceAnswer is the answer to an EvidenceReport.
type EvidenceAnswer struct{}

// Limits of sharing evidence.
const (
	// evidenceInterval is how long reports are batched before they are forwarded and
	// before waiting watches are woken: all entry instances report a crash at about
	// the same time.
	evidenceInterval = 200 * time.Millisecond
	// maxPendingEvidence bounds the parts that wait to be forwarded. More are
	// dropped; the next exchange covers them.
	maxPendingEvidence = 4096
	// evidenceExpiryInterval is the time between two looks for evidence that is too
	// old.
	evidenceExpiryInterval = 5 * time.Second
)

func (c *Controller) serveReportEvidence(_ context.Context, _ certifier.Identity, report EvidenceReport) (EvidenceAnswer, error) {
	if c.mergeEvidence(report.Parts) {
		c.mu.Lock()
		defer c.mu.Unlock()
		room := max(maxPendingEvidence-len(c.pendingEvidence), 0)
		c.pendingEvidence = append(c.pendingEvidence, report.Parts[:min(room, len(report.Parts))]...)
	}
	return EvidenceAnswer{}, nil
}

func (c *Controller) serveForwardEvidence(_ context.Context, _ certifier.Identity, report EvidenceReport) (EvidenceAnswer, error) {
	c.mergeEvidence(report.Parts)
	return EvidenceAnswer{}, nil
}

// mergeEvidence adds evidence to the table. It reports whether it is new.
func (c *Controller) mergeEvidence(parts []quarantiner.Part) bool {
	if len(parts) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Merge(time.Now(), parts)
}

// addQuarantine adds the prompt parts that an entry instance does not know yet to
// the answer of its watch. It reports whether there are any. c.mu must be held.
func (c *Controller) addQuarantine(now time.Time, query WatchQuery, answer *WatchAnswer) bool {
	if query.QuarantineRevision == 0 {
		return false
	}
	answer.QuarantineRevision = c.quarantine.Revision()
	known := query.QuarantineRevision - 1
	if known < answer.QuarantineRevision {
		answer.Quarantine = c.quarantine.Since(now, known)
	}
	return len(answer.Quarantine) > 0 && (known == 0 || known < c.publishedEvidence)
}

// runQuarantine wakes the waiting watches after new evidence, forwards the reports of
// entry instances to the other control instances and drops what is too old.
func (c *Controller) runQuarantine(ctx context.Context) error {
	lastExpiry := time.Now()
	return conductor.RunEvery(ctx, evidenceInterval, func(ctx context.Context) {
		now := time.Now()
		c.mu.Lock()
		if now.Sub(lastExpiry) >= evidenceExpiryInterval {
			c.quarantine.Expire(now)
			lastExpiry = now
		}
		if revision := c.quarantine.Revision(); revision != c.publishedEvidence {
			c.publishedEvidence = revision
			c.notifyWatchers()
		}
		pending := c.pendingEvidence
		c.pendingEvidence = nil
		c.mu.Unlock()
		if len(pending) == 0 {
			return
		}
		for _, address := range c.otherControls() {
			go func() {
				if _, err := call[EvidenceReport, EvidenceAnswer](ctx, c, address, methodForwardEvidence, EvidenceReport{Parts: pending}); err != nil {
					klog.V(2).InfoS("cannot forward evidence about prompt parts", "to", address, "parts", len(pending), "err", logger.ErrorText(err))
				}
			}()
		}
	})
}
