package forwarder

import (
	"context"
	"net/http"

	"github.com/boragehead/boragehead/internal/definer"
)

// chargeAndForward charges the workspace's quota and makes the attempts. It
// refunds the charge if the call is refused and no server can have run it.
func (f *Forwarder) chargeAndForward(w http.ResponseWriter, call *Call) *Refusal {
	ctx, cancel := context.WithDeadline(call.Request.Context(), call.Deadline)
	defer cancel()
	cost := quotaCost(call)
	if refusal := f.charge(call, cost); refusal != nil {
		return refusal
	}
	refusal := f.forward(ctx, w, call)
	if refusal != nil && !refusal.MayHaveRun && cost > 0 {
		f.fleet.RefundQuota(call.Workspace.Name, cost)
	}
	return refusal
}

// charge charges a cost to the call's workspace. If the quota does not allow it, and a
// newer definition may have raised the quota, charge waits for that first.
func (f *Forwarder) charge(call *Call, cost float64) *Refusal {
	if cost <= 0 {
		return nil
	}
	for view := f.fleet.View(); ; view = f.fleet.View() {
		wait, ok := f.fleet.ChargeQuota(call.Workspace.Name, cost)
		switch {
		case ok:
			return nil
		case f.fleet.DefinitionBehind() > 0 && !f.awaitNewest(call):
			return f.unknownRefusal()
		case f.fleet.View() == view:
			return &Refusal{Status: http.StatusTooManyRequests, Reason: "quota", RetryAfter: wait}
		}
	}
}

// PlainQuotaCost returns the charge of a request without a token count against the
// quota of a workspace.
func PlainQuotaCost(workspace *definer.Workspace) float64 {
	return quotaCost(&Call{Workspace: workspace})
}

// quotaCost returns a call's charge against its workspace's quota, in requests
// or in tokens as the workspace counts. Relayed calls cost nothing here: the
// instance that relayed them has charged the quota.
func quotaCost(call *Call) float64 {
	switch {
	case call.Workspace == nil || call.Workspace.Rate <= 0 || call.Relayed:
		return 0
	case !call.Workspace.CountTokens:
		return 1
	case call.Work.Prompt+call.Work.Output == 0:
		return call.Workspace.PlainCost
	}
	return call.Work.QuotaCost()
}
