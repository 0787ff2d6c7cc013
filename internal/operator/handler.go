// Package operator is the operators' interface to the keepers: HTTPS with
// JSON, for holders of an operator's certificate.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/keeper"
	"github.com/boragehead/boragehead/internal/locator"
	"github.com/boragehead/boragehead/internal/orderer"
	"github.com/boragehead/boragehead/internal/reporter"
	"github.com/boragehead/boragehead/internal/tabler"
)

// Control is what the interface does its work with.
type Control interface {
	Tables(ctx context.Context, stale bool) (tabler.Tables, tabler.Revision, error)
	Edit(ctx context.Context, changeID string, expect tabler.Revision, next tabler.Tables) (tabler.Result, error)
	Keys(ctx context.Context) ([]tabler.Key, error)
	Give(ctx context.Context, changeID string, key tabler.Key) (tabler.Result, error)
	Withdraw(ctx context.Context, changeID, id string) (keeper.WithdrawOutcome, error)
	Drain(ctx context.Context, changeID, instance string, draining bool) (tabler.Result, error)
	Remove(ctx context.Context, instance string) error
	Status(ctx context.Context) keeper.Status
	Burn(ctx context.Context) reporter.Burn
	Order(ctx context.Context, order orderer.Order) (keeper.DeliverAnswer, error)
	Found(ctx context.Context) error
	Readmit(ctx context.Context, name string, acceptLostClaims bool) error
}

// maxRequest bounds a request, in bytes.
const maxRequest = tabler.MaxTablesSize + 1<<20

// handler serves the interface.
type handler struct {
	control Control
}

// NewHandler returns the interface of a keeper.
func NewHandler(control Control) http.Handler {
	h := &handler{control: control}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/tables", h.getTables)
	mux.HandleFunc("PUT /v1/tables", h.putTables)
	mux.HandleFunc("GET /v1/keys", h.getKeys)
	mux.HandleFunc("POST /v1/keys", h.postKey)
	mux.HandleFunc("POST /v1/keys/{id}/withdraw", h.withdrawKey)
	mux.HandleFunc("POST /v1/instances/{name}/drain", h.drain)
	mux.HandleFunc("POST /v1/instances/{name}/remove", h.remove)
	mux.HandleFunc("GET /v1/status", h.getStatus)
	mux.HandleFunc("GET /v1/burn", h.getBurn)
	mux.HandleFunc("POST /v1/orders", h.order)
	mux.HandleFunc("POST /v1/keepers/found", h.found)
	mux.HandleFunc("POST /v1/keepers/{name}/readmit", h.readmit)
	return operatorsOnly(mux)
}

func operatorsOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		identity, err := certifier.IdentityOf(*r.TLS)
		if err != nil || !identity.Allowed(certifier.RoleOperator) {
			writeError(w, http.StatusForbidden, failure{Code: codeForbidden, Message: "only operators may ask this"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// tablesAnswer and the types below are the interface's wire forms.
type tablesAnswer struct {
	Revision tabler.Revision `json:"revision"`
	Tables   tabler.Tables   `json:"tables"`
}

type editQuery struct {
	ChangeID string          `json:"change-id"`
	Expect   tabler.Revision `json:"expect-revision"`
	Tables   tabler.Tables   `json:"tables"`
}

type keyQuery struct {
	ChangeID   string `json:"change-id"`
	ID         string `json:"id"`
	Hash       string `json:"hash"`
	Workspace  string `json:"workspace"`
	HomeRegion string `json:"home-region"`
}

type keysAnswer struct {
	Keys []tabler.Key `json:"keys"`
}

type changeQuery struct {
	ChangeID         string `json:"change-id"`
	Draining         bool   `json:"draining"`
	AcceptLostClaims bool   `json:"accept-lost-claims"`
}

type emptyAnswer struct{}

func (h *handler) getTables(w http.ResponseWriter, r *http.Request) {
	tables, revision, err := h.control.Tables(r.Context(), r.URL.Query().Get("stale") == "true")
	answer(w, tablesAnswer{Revision: revision, Tables: tables}, err)
}

func (h *handler) putTables(w http.ResponseWriter, r *http.Request) {
	query, ok := read[editQuery](w, r)
	if !ok {
		return
	}
	if found := tabler.Check(query.Tables); len(found) > 0 {
		writeError(w, http.StatusUnprocessableEntity, failure{Code: codeInvalid, Message: "the tables have faults", Faults: found})
		return
	}
	result, err := h.control.Edit(r.Context(), query.ChangeID, query.Expect, query.Tables)
	answerResult(w, result, err)
}

func (h *handler) getKeys(w http.ResponseWriter, r *http.Request) {
	keys, err := h.control.Keys(r.Context())
	answer(w, keysAnswer{Keys: keys}, err)
}

func (h *handler) postKey(w http.ResponseWriter, r *http.Request) {
	query, ok := read[keyQuery](w, r)
	if !ok {
		return
	}
	key := tabler.Key{ID: query.ID, Hash: query.Hash, Workspace: query.Workspace, HomeRegion: query.HomeRegion}
	result, err := h.control.Give(r.Context(), query.ChangeID, key)
	answerResult(w, result, err)
}

func (h *handler) withdrawKey(w http.ResponseWriter, r *http.Request) {
	query, ok := read[changeQuery](w, r)
	if !ok {
		return
	}
	outcome, err := h.control.Withdraw(r.Context(), query.ChangeID, r.PathValue("id"))
	answer(w, outcome, err)
}

func (h *handler) drain(w http.ResponseWriter, r *http.Request) {
	query, ok := read[changeQuery](w, r)
	if !ok {
		return
	}
	result, err := h.control.Drain(r.Context(), query.ChangeID, r.PathValue("name"), query.Draining)
	answerResult(w, result, err)
}

func (h *handler) remove(w http.ResponseWriter, r *http.Request) {
	answer(w, emptyAnswer{}, h.control.Remove(r.Context(), r.PathValue("name")))
}

func (h *handler) getStatus(w http.ResponseWriter, r *http.Request) {
	answer(w, h.control.Status(r.Context()), nil)
}

func (h *handler) getBurn(w http.ResponseWriter, r *http.Request) {
	answer(w, h.control.Burn(r.Context()), nil)
}

func (h *handler) order(w http.ResponseWriter, r *http.Request) {
	query, ok := read[orderer.Order](w, r)
	if !ok {
		return
	}
	delivered, err := h.control.Order(r.Context(), query)
	answer(w, delivered, err)
}

func (h *handler) found(w http.ResponseWriter, r *http.Request) {
	answer(w, emptyAnswer{}, h.control.Found(r.Context()))
}

func (h *handler) readmit(w http.ResponseWriter, r *http.Request) {
	query, ok := read[changeQuery](w, r)
	if !ok {
		return
	}
	answer(w, emptyAnswer{}, h.control.Readmit(r.Context(), r.PathValue("name"), query.AcceptLostClaims))
}

func read[Q any](w http.ResponseWriter, r *http.Request) (Q, bool) {
	var query Q
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&query); err != nil {
		writeError(w, http.StatusBadRequest, failure{Code: codeInvalid, Message: err.Error()})
		return query, false
	}
	return query, true
}

func answerResult(w http.ResponseWriter, result tabler.Result, err error) {
	if err == nil {
		err = result.Err()
	}
	answer(w, result, err)
}

func answer(w http.ResponseWriter, value any, err error) {
	if err != nil {
		status, code := statusOf(err)
		writeError(w, status, failure{Code: code, Message: trace.UserMessage(err)})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// failure is the JSON form of an error.
type failure struct {
	Code    code            `json:"code"`
	Message string          `json:"message"`
	Faults  []locator.Fault `json:"faults,omitempty"`
}

// code is a stable name of an error.
type code string

const (
	codeForbidden code = "forbidden"
	codeInvalid   code = "invalid"
	codeConflict  code = "revision-conflict"
	codeUnknown   code = "unknown-item"
	codeExists    code = "already-exists"
	codeNoQuorum  code = "no-quorum"
	codeLost      code = "outcome-unknown"
	codeWait      code = "order-wait"
	codeOther     code = "failed"
)

func statusOf(err error) (int, code) {
	switch {
	case errors.Is(err, tabler.ErrConflict):
		return http.StatusConflict, codeConflict
	case errors.Is(err, tabler.ErrUnknown), trace.IsNotFound(err):
		return http.StatusNotFound, codeUnknown
	case errors.Is(err, tabler.ErrExists), trace.IsAlreadyExists(err):
		return http.StatusConflict, codeExists
	case errors.Is(err, tabler.ErrInvalid), trace.IsBadParameter(err):
		return http.StatusUnprocessableEntity, codeInvalid
	case errors.Is(err, keeper.ErrNoQuorum), errors.Is(err, keeper.ErrNotLeader):
		return http.StatusServiceUnavailable, codeNoQuorum
	case errors.Is(err, keeper.ErrOrderWait):
		return http.StatusTooManyRequests, codeWait
	case errors.Is(err, keeper.ErrLost):
		return http.StatusGatewayTimeout, codeLost
	}
	return http.StatusInternalServerError, codeOther
}

func writeError(w http.ResponseWriter, status int, f failure) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f)
}
