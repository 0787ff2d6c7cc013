// Package operator is the operators' API of the control instances: JSON over HTTPS,
// for clients with an operator's certificate.
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
	"github.com/boragehead/boragehead/internal/replicator"
	"github.com/boragehead/boragehead/internal/reporter"
	"github.com/boragehead/boragehead/internal/tabler"
)

// Control carries out the operations of the API.
type Control interface {
	Tables(ctx context.Context, stale bool) (tabler.Tables, tabler.Revision, error)
	ReplaceTables(ctx context.Context, changeID string, expect tabler.Revision, next tabler.Tables) (tabler.Result, error)
	Keys(ctx context.Context) ([]tabler.Key, error)
	AddKey(ctx context.Context, changeID string, key tabler.Key) (tabler.Result, error)
	WithdrawKey(ctx context.Context, changeID, id string) (keeper.WithdrawOutcome, error)
	DrainRevision(ctx context.Context, instance string) (replicator.Index, error)
	SetDraining(ctx context.Context, changeID, instance string, draining bool, after *replicator.Index) (tabler.Result, error)
	RemoveInstance(ctx context.Context, instance string) error
	Status(ctx context.Context) keeper.Status
	BurnRates(ctx context.Context) reporter.BurnReport
	SendOrder(ctx context.Context, order orderer.Order) (keeper.DeliverAnswer, error)
	FoundGroups(ctx context.Context) error
	Readmit(ctx context.Context, name string, acceptLostClaims bool) error
}

// maxRequestSize is the maximum size of a request body, in bytes.
const maxRequestSize = tabler.MaxTablesSize + 1<<20

// handler serves the API.
type handler struct {
	control Control
}

// NewHandler returns the API of a control instance. It must be served over TLS with
// verified client certificates, and answers 403 to clients that are not operators.
func NewHandler(control Control) http.Handler {
	h := &handler{control: control}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/tables", h.getTables)
	mux.HandleFunc("PUT /v1/tables", h.putTables)
	mux.HandleFunc("GET /v1/keys", h.getKeys)
	mux.HandleFunc("POST /v1/keys", h.postKey)
	mux.HandleFunc("POST /v1/keys/{id}/withdraw", h.withdrawKey)
	mux.HandleFunc("GET /v1/instances/{name}/drain", h.getDrain)
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
		identity, err := certifier.PeerIdentity(*r.TLS)
		if err != nil || !identity.HasRole(certifier.RoleOperator) {
			writeError(w, http.StatusForbidden, errorBody{Code: codeForbidden, Message: "only operators may ask this"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// tablesAnswer and the following types are the JSON bodies of requests and answers.
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
	// After is the revision of the instance's last drain, if the change must come next.
	After *replicator.Index `json:"after,omitempty"`
}

type drainAnswer struct {
	Revision replicator.Index `json:"revision"`
}

type emptyAnswer struct{}

func (h *handler) getTables(w http.ResponseWriter, r *http.Request) {
	tables, revision, err := h.control.Tables(r.Context(), r.URL.Query().Get("stale") == "true")
	writeAnswer(w, tablesAnswer{Revision: revision, Tables: tables}, err)
}

func (h *handler) putTables(w http.ResponseWriter, r *http.Request) {
	query, ok := decodeRequest[editQuery](w, r)
	if !ok {
		return
	}
	if faults := tabler.Check(query.Tables); len(faults) > 0 {
		writeError(w, http.StatusUnprocessableEntity, errorBody{Code: codeInvalid, Message: "the tables have faults", Faults: faults})
		return
	}
	result, err := h.control.ReplaceTables(r.Context(), query.ChangeID, query.Expect, query.Tables)
	writeResult(w, result, err)
}

func (h *handler) getKeys(w http.ResponseWriter, r *http.Request) {
	keys, err := h.control.Keys(r.Context())
	writeAnswer(w, keysAnswer{Keys: keys}, err)
}

func (h *handler) postKey(w http.ResponseWriter, r *http.Request) {
	query, ok := decodeRequest[keyQuery](w, r)
	if !ok {
		return
	}
	key := tabler.Key{ID: query.ID, Hash: query.Hash, Workspace: query.Workspace, HomeRegion: query.HomeRegion}
	result, err := h.control.AddKey(r.Context(), query.ChangeID, key)
	writeResult(w, result, err)
}

func (h *handler) withdrawKey(w http.ResponseWriter, r *http.Request) {
	query, ok := decodeRequest[changeQuery](w, r)
	if !ok {
		return
	}
	outcome, err := h.control.WithdrawKey(r.Context(), query.ChangeID, r.PathValue("id"))
	writeAnswer(w, outcome, err)
}

func (h *handler) getDrain(w http.ResponseWriter, r *http.Request) {
	revision, err := h.control.DrainRevision(r.Context(), r.PathValue("name"))
	writeAnswer(w, drainAnswer{Revision: revision}, err)
}

func (h *handler) drain(w http.ResponseWriter, r *http.Request) {
	query, ok := decodeRequest[changeQuery](w, r)
	if !ok {
		return
	}
	result, err := h.control.SetDraining(r.Context(), query.ChangeID, r.PathValue("name"), query.Draining, query.After)
	writeResult(w, result, err)
}

func (h *handler) remove(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, emptyAnswer{}, h.control.RemoveInstance(r.Context(), r.PathValue("name")))
}

func (h *handler) getStatus(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, h.control.Status(r.Context()), nil)
}

func (h *handler) getBurn(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, h.control.BurnRates(r.Context()), nil)
}

func (h *handler) order(w http.ResponseWriter, r *http.Request) {
	query, ok := decodeRequest[orderer.Order](w, r)
	if !ok {
		return
	}
	delivered, err := h.control.SendOrder(r.Context(), query)
	writeAnswer(w, delivered, err)
}

func (h *handler) found(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, emptyAnswer{}, h.control.FoundGroups(r.Context()))
}

func (h *handler) readmit(w http.ResponseWriter, r *http.Request) {
	query, ok := decodeRequest[changeQuery](w, r)
	if !ok {
		return
	}
	writeAnswer(w, emptyAnswer{}, h.control.Readmit(r.Context(), r.PathValue("name"), query.AcceptLostClaims))
}

func decodeRequest[Q any](w http.ResponseWriter, r *http.Request) (Q, bool) {
	var query Q
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestSize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&query); err != nil {
		writeError(w, http.StatusBadRequest, errorBody{Code: codeInvalid, Message: err.Error()})
		return query, false
	}
	return query, true
}

func writeResult(w http.ResponseWriter, result tabler.Result, err error) {
	if err == nil {
		err = result.Err()
	}
	writeAnswer(w, result, err)
}

func writeAnswer(w http.ResponseWriter, value any, err error) {
	if err != nil {
		status, code := statusAndCode(err)
		writeError(w, status, errorBody{Code: code, Message: trace.UserMessage(err)})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Code    code            `json:"code"`
	Message string          `json:"message"`
	Faults  []locator.Fault `json:"faults,omitempty"`
}

// code identifies the kind of an error to clients; it is stable across versions.
type code string

const (
	codeForbidden      code = "forbidden"
	codeInvalid        code = "invalid"
	codeConflict       code = "revision-conflict"
	codeOutdated       code = "outdated"
	codeUnknownItem    code = "unknown-item"
	codeExists         code = "already-exists"
	codeNoQuorum       code = "no-quorum"
	codeOutcomeUnknown code = "outcome-unknown"
	codeOrderWait      code = "order-wait"
	codeFailed         code = "failed"
)

func statusAndCode(err error) (int, code) {
	switch {
	case errors.Is(err, tabler.ErrConflict):
		return http.StatusConflict, codeConflict
	case errors.Is(err, keeper.ErrOutdated):
		return http.StatusConflict, codeOutdated
	case errors.Is(err, tabler.ErrUnknown), trace.IsNotFound(err):
		return http.StatusNotFound, codeUnknownItem
	case errors.Is(err, tabler.ErrExists), trace.IsAlreadyExists(err):
		return http.StatusConflict, codeExists
	case errors.Is(err, tabler.ErrInvalid), trace.IsBadParameter(err):
		return http.StatusUnprocessableEntity, codeInvalid
	case errors.Is(err, keeper.ErrNoQuorum), errors.Is(err, keeper.ErrNotLeader):
		return http.StatusServiceUnavailable, codeNoQuorum
	case errors.Is(err, keeper.ErrOrderWait):
		return http.StatusTooManyRequests, codeOrderWait
	case errors.Is(err, keeper.ErrLost):
		return http.StatusGatewayTimeout, codeOutcomeUnknown
	}
	return http.StatusInternalServerError, codeFailed
}

func writeError(w http.ResponseWriter, status int, body errorBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
