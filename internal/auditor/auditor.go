// Package auditor finds what a valid configuration cannot mean: entries that never
// match and limits that contradict each other. It calls the checks and lookups that
// serve requests, so that its findings follow them.
package auditor

import (
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/locator"
)

// Kind names a kind of finding.
type Kind string

// Kinds of findings.
const (
	// KindInvalid means that the fleet rejects the configuration.
	KindInvalid Kind = "invalid"
	// KindOutdated means that the fleet keeps what it has, because the version is not
	// above the one in force.
	KindOutdated Kind = "outdated"
	// KindHiddenRoute means that other routes get all requests of a route.
	KindHiddenRoute Kind = "hidden-route"
	// KindUnused means that no request reaches a pool, a service or a target.
	KindUnused Kind = "unused"
	// KindHomeWithoutServers means that a home leaves no pool or region that could
	// serve a workspace or a route.
	KindHomeWithoutServers  Kind = "home-without-servers"
	KindWorkspaceWithoutKey Kind = "workspace-without-key"
	KindSharedKey           Kind = "shared-key"
	// KindQuotaBelowRequest means that a quota is below the cost of the smallest
	// request.
	KindQuotaBelowRequest Kind = "quota-below-request"
	// KindBurstBelowRequest means that a burst is below the cost of a request with
	// the output limit of a route.
	KindBurstBelowRequest Kind = "burst-below-request"
	// KindObjectiveAboveTimeout means that a request in time for its objective is
	// late for its timeout.
	KindObjectiveAboveTimeout     Kind = "objective-above-timeout"
	KindHeaderTimeoutAboveTimeout Kind = "header-timeout-above-timeout"
	// KindAttemptsWithoutBudget means that the retry budget never allows the further
	// attempts of a route.
	KindAttemptsWithoutBudget Kind = "attempts-without-budget"
	// KindWarmupRate means that a warm-up ends before its rate admits a request.
	KindWarmupRate Kind = "warmup-rate"
)

// Finding is one thing that is wrong with a configuration. Its text contains no keys.
type Finding struct {
	Kind Kind `json:"kind"`
	// Fault holds the field as a path in the checked value, and no line.
	locator.Fault
}

// InvalidFindings returns the findings for the error of a decoder or a check.
func InvalidFindings(err error) []Finding {
	var faults *locator.Faults
	if !errors.As(err, &faults) {
		return []Finding{{KindInvalid, locator.Fault{Field: "document", Text: firstLine(err)}}}
	}
	findings := make([]Finding, 0, len(faults.Faults))
	for _, fault := range faults.Faults {
		findings = append(findings, Finding{KindInvalid, fault})
	}
	return findings
}

// firstLine returns what an error says, without the errors that it wraps.
func firstLine(err error) string {
	line, _, _ := strings.Cut(trace.UserMessage(err), "\n")
	return line
}

// Locate sets the lines of findings in the document that they are about.
func Locate(text []byte, findings []Finding) {
	faults := make([]locator.Fault, len(findings))
	for i := range findings {
		faults[i] = findings[i].Fault
	}
	locator.Locate(text, faults)
	for i := range findings {
		findings[i].Line = faults[i].Line
	}
}

// collector collects findings.
type collector struct{ findings []Finding }

func (c *collector) add(kind Kind, field, format string, args ...any) {
	c.findings = append(c.findings, Finding{kind, locator.Fault{Field: field, Text: fmt.Sprintf(format, args...)}})
}
