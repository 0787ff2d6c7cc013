package exchanger

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells a caller whether a request that failed was run.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun is said only when no byte of the request was written to
	// any backend server, or the server itself refused before running.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the work may or may not have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomePartial means that a part of the answer was delivered.
	OutcomePartial Outcome = "partial"
)

// The headers that the gateway speaks.
const (
	HeaderOutcome   = "Boragehead-Outcome"
	HeaderRequestID = "Boragehead-Request-Id"
	HeaderWorkspace = "Boragehead-Workspace"
	HeaderPriority  = "Boragehead-Priority"
	HeaderDeadline  = "Boragehead-Deadline"
	HeaderRoute     = "Boragehead-Route"
	HeaderUsage     = "Boragehead-Usage-Tokens"
)

// Code is a stable name of a reason for a refusal.
type Code string

// The codes. docs/ERRORS.md tells what to do about each.
const (
	CodeBodyTooLarge    Code = "body-too-large"
	CodeHeaderTooLarge  Code = "header-too-large"
	CodeBodyIncomplete  Code = "body-incomplete"
	CodeBadJSON         Code = "bad-json"
	CodeBadRequest      Code = "bad-request"
	CodeMethod          Code = "method-not-allowed"
	CodeKeyMissing      Code = "key-missing"
	CodeKeyMalformed    Code = "key-malformed"
	CodeKeyUnknown      Code = "key-unknown"
	CodeKeyWithdrawn    Code = "key-withdrawn"
	CodeKeyHome         Code = "key-home-unreachable"
	CodeKeyInRequest    Code = "key-in-request"
	CodeNoWorkspace     Code = "workspace-unknown"
	CodeNoRoute         Code = "route-unknown"
	CodeNoConfiguration Code = "no-configuration"
	CodeElsewhere       Code = "home-elsewhere"
	CodeHomeUnreachable Code = "home-unreachable"
	CodeRate            Code = "rate-exceeded"
	CodeTooLarge        Code = "cost-above-burst"
	CodeNoServer        Code = "no-server"
	CodeOverloaded      Code = "overloaded"
	CodeServerFailed    Code = "server-failed"
	CodeInProgress      Code = "in-progress"
	CodeUnknownOutcome  Code = "outcome-unknown"
	CodeMismatch        Code = "idempotency-mismatch"
	CodeNoClaims        Code = "claims-unavailable"
	CodeStopping        Code = "stopping"
	CodeCancelled       Code = "cancelled"
)

// Refusal ends an exchange without the answer that was asked for.
type Refusal struct {
	Status  int
	Code    Code
	Message string
	// Outcome defaults to not-run.
	Outcome    Outcome
	RetryAfter time.Duration
	// Location and Instances tell where to ask instead.
	Location  string
	Instances []string
}

// Refuse returns a refusal of a request that was not run.
func Refuse(status int, code Code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message}
}

// After sets when to come back.
func (r *Refusal) After(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// WithOutcome sets what is known of the work.
func (r *Refusal) WithOutcome(outcome Outcome) *Refusal {
	r.Outcome = outcome
	return r
}

// Known returns the outcome, not-run unless set.
func (r *Refusal) Known() Outcome {
	if r.Outcome == "" {
		return OutcomeNotRun
	}
	return r.Outcome
}

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      Code     `json:"code"`
	Message   string   `json:"message"`
	Outcome   Outcome  `json:"outcome"`
	RequestID string   `json:"request-id,omitempty"`
	Instances []string `json:"instances,omitempty"`
}

// JSON returns the refusal as callers read it.
func (r *Refusal) JSON(requestID string) []byte {
	body := errorBody{Error: errorDetail{
		Code: r.Code, Message: r.Message, Outcome: r.Known(), RequestID: requestID, Instances: r.Instances,
	}}
	text, err := json.Marshal(body)
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return text
}

// Write answers with the refusal.
func (r *Refusal) Write(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(r.Known()))
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
