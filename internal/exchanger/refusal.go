package exchanger

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells the caller whether a failed request was run.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun is reported only if no byte of the request was written to
	// a backend server, or the server refused the request before running it.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomePartial means that the caller got a part of the response.
	OutcomePartial Outcome = "partial"
)

// HTTP headers that the gateway sends to callers, instances and backend servers.
const (
	HeaderOutcome   = "Boragehead-Outcome"
	HeaderRequestID = "Boragehead-Request-Id"
	HeaderWorkspace = "Boragehead-Workspace"
	HeaderPriority  = "Boragehead-Priority"
	HeaderDeadline  = "Boragehead-Deadline"
	HeaderRoute     = "Boragehead-Route"
	HeaderRevision  = "Boragehead-Revision"
	HeaderUsage     = "Boragehead-Usage-Tokens"
	// HeaderServerVersion is the version of a backend server's software. What two versions
	// write does not fit together.
	HeaderServerVersion = "Boragehead-Server-Version"
)

// ForwardedHeaders are the only request headers of the caller that are forwarded to a
// backend server. The headers that carry keys are not among them.
var ForwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// Code identifies the reason for a refusal. Codes are part of the API.
type Code string

// The codes. docs/ERRORS.md explains how a caller should react to each.
const (
	CodeBodyTooLarge          Code = "body-too-large"
	CodeMemory                Code = "memory"
	CodeHeaderTooLarge        Code = "header-too-large"
	CodeBodyIncomplete        Code = "body-incomplete"
	CodeBadJSON               Code = "bad-json"
	CodeBadRequest            Code = "bad-request"
	CodeMethodNotAllowed      Code = "method-not-allowed"
	CodeKeyMissing            Code = "key-missing"
	CodeKeyMalformed          Code = "key-malformed"
	CodeKeyUnknown            Code = "key-unknown"
	CodeKeyWithdrawn          Code = "key-withdrawn"
	CodeKeyHomeUnreachable    Code = "key-home-unreachable"
	CodeKeyInRequest          Code = "key-in-request"
	CodeWorkspaceUnknown      Code = "workspace-unknown"
	CodeRouteUnknown          Code = "route-unknown"
	CodeNoConfiguration       Code = "no-configuration"
	CodeConfigurationOutdated Code = "configuration-outdated"
	CodeHomeElsewhere         Code = "home-elsewhere"
	CodeHomeUnreachable       Code = "home-unreachable"
	CodeRateExceeded          Code = "rate-exceeded"
	CodeCostAboveBurst        Code = "cost-above-burst"
	CodeNoServer              Code = "no-server"
	CodeOverloaded            Code = "overloaded"
	CodeServerFailed          Code = "server-failed"
	CodeInProgress            Code = "in-progress"
	CodeOutcomeUnknown        Code = "outcome-unknown"
	CodeIdempotencyMismatch   Code = "idempotency-mismatch"
	CodeClaimsUnavailable     Code = "claims-unavailable"
	CodeStopping              Code = "stopping"
	CodeQuarantined           Code = "quarantined"
	CodeHeldBack              Code = "held-back"
	CodeCancelled             Code = "cancelled"
)

// Refusal is an error response of the gateway in place of a server's response.
type Refusal struct {
	Status  int
	Code    Code
	Message string
	// Outcome is OutcomeNotRun if it is empty.
	Outcome Outcome
	// RetryAfter is sent rounded up to seconds, unless it is zero.
	RetryAfter time.Duration
	// Location is the URL of a redirect. Instances are the base URLs of the
	// instances that can serve the request.
	Location  string
	Instances []string
}

// Refuse returns a refusal with the outcome OutcomeNotRun.
func Refuse(status int, code Code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message}
}

// WithRetryAfter sets RetryAfter and returns the refusal.
func (r *Refusal) WithRetryAfter(retryAfter time.Duration) *Refusal {
	r.RetryAfter = retryAfter
	return r
}

// WithOutcome sets the outcome and returns the refusal.
func (r *Refusal) WithOutcome(outcome Outcome) *Refusal {
	r.Outcome = outcome
	return r
}

// OutcomeOrNotRun returns the outcome, or OutcomeNotRun if none is set.
func (r *Refusal) OutcomeOrNotRun() Outcome {
	if r.Outcome == "" {
		return OutcomeNotRun
	}
	return r.Outcome
}

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the object under the key "error".
type errorDetail struct {
	Code      Code     `json:"code"`
	Message   string   `json:"message"`
	Outcome   Outcome  `json:"outcome"`
	RequestID string   `json:"request-id,omitempty"`
	Instances []string `json:"instances,omitempty"`
}

// JSON returns the refusal as the JSON body of an error response.
func (r *Refusal) JSON(requestID string) []byte {
	body := errorBody{Error: errorDetail{
		Code: r.Code, Message: r.Message, Outcome: r.OutcomeOrNotRun(), RequestID: requestID, Instances: r.Instances,
	}}
	text, err := json.Marshal(body)
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return text
}

// Write writes the refusal as the response. The caller must not have written the
// header yet.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(r.OutcomeOrNotRun()))
	if r.RetryAfter > 0 {
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	if r.Location != "" {
		header.Set("Location", r.Location)
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(append(r.JSON(requestID), '\n'))
}
