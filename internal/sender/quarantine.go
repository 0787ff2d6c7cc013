package sender

import (
	"net/http"

	"github.com/boragehead/boragehead/internal/detector"
	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
)

// Quarantine knows the requests that crash backend servers. It must be safe for concurrent
// use.
type Quarantine interface {
	// Admit decides on a new request with some traits.
	Admit(traits quarantiner.Traits) quarantiner.Admission
	// Level returns the highest level of some traits.
	Level(traits quarantiner.Traits) quarantiner.Level
	detector.Quarantine
}

// UseQuarantine makes the sender check requests against a quarantine and report crashes
// to it. It must be called before the first request.
func (s *Sender) UseQuarantine(q Quarantine, metrics detector.Metrics) {
	s.quarantine, s.crashes.Quarantine, s.crashes.Metrics = q, q, metrics
}

// traitsOf returns what a request may be quarantined for: its method, path, workspace and
// body. A relay changes none of them.
func traitsOf(x *exchanger.Exchange) quarantiner.Traits {
	return quarantiner.Traits{Request: quarantiner.HashRequest(x.Body, x.Request.Method, x.Request.URL.RequestURI(), x.Workspace.Name)}
}

// checkQuarantine returns a refusal if a request may not be sent at all.
func (s *Sender) checkQuarantine(x *exchanger.Exchange) *exchanger.Refusal {
	if s.quarantine == nil {
		return nil
	}
	admission := s.quarantine.Admit(traitsOf(x))
	switch {
	case admission.Probe:
		return nil
	case admission.Level == quarantiner.LevelQuarantined:
		refusal := exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeQuarantined, "backend servers crashed each time that they began this request")
		return refusal.WithRetryAfter(admission.RetryAfter)
	case admission.HeldBack:
		refusal := exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeHeldBack, "backend servers crashed when they began this request, and it is not known yet whether it is the cause")
		return refusal.WithRetryAfter(admission.RetryAfter)
	}
	return nil
}

// mayRunAgain reports whether a request that may have run may be sent once more: it is not
// suspected of crashing servers.
func (s *Sender) mayRunAgain(x *exchanger.Exchange) bool {
	return s.quarantine == nil || s.quarantine.Level(traitsOf(x)) == quarantiner.LevelClear
}

// observe starts to observe an attempt at an assigned server.
func (s *Sender) observe(x *exchanger.Exchange, assignment dispatcher.Assign) *detector.Begin {
	return s.crashes.Observe(registrar.Server{
		Name: assignment.Server.Name, Service: assignment.Pool, Address: assignment.Server.Address, StartedAtMillis: assignment.Server.Incarnation,
	}, traitsOf(x))
}
