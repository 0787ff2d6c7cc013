package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/keeper"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/locator"
	"github.com/boragehead/boragehead/internal/orderer"
	"github.com/boragehead/boragehead/internal/reporter"
	"github.com/boragehead/boragehead/internal/reserver"
	"github.com/boragehead/boragehead/internal/tabler"
)

// ErrUnreachable means that no control instance of the settings answered.
var ErrUnreachable = errors.New("no keeper can be reached")

// Limits of one request to one control instance.
const (
	requestTimeout = 10 * time.Second
	// maxHeadBytes and maxAnswerBytes bound the head and the body of the answer.
	maxHeadBytes   = 64 << 10
	maxAnswerBytes = 64 << 20
)

// Client calls the operators' API of the control instances, in the order of the
// settings until one answers. Except for Only, its methods are safe for concurrent
// use. Their errors match those of tabler and keeper by errors.Is.
type Client struct {
	credentials certifier.Credentials
	keepers     []loader.Keeper
}

// NewClient returns a client for the control instances in the settings.
func NewClient(settings loader.Client) (*Client, error) {
	credentials, err := certifier.LoadCredentials(settings.TLS.Authority, settings.TLS.Certificate, settings.TLS.Key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Client{credentials: credentials, keepers: settings.Keepers}, nil
}

// Only restricts the client to one control instance. It must not be called
// concurrently with other methods.
func (c *Client) Only(name string) error {
	for _, k := range c.keepers {
		if k.Name == name {
			c.keepers = []loader.Keeper{k}
			return nil
		}
	}
	return trace.NotFound("the settings name no keeper %q", name)
}

// Tables returns the tables and their revision. With stale set, a control instance
// without a quorum answers with what it has.
func (c *Client) Tables(ctx context.Context, stale bool) (tabler.Tables, tabler.Revision, error) {
	path := "/v1/tables"
	if stale {
		path += "?stale=true"
	}
	answer, err := call[tablesAnswer](ctx, c, http.MethodGet, path, nil)
	return answer.Tables, answer.Revision, err
}

// ReplaceTables replaces the tables if the expected revision is in force. A change
// that is sent again under the same change ID returns its first result.
func (c *Client) ReplaceTables(ctx context.Context, changeID string, expect tabler.Revision, tables tabler.Tables) (tabler.Result, error) {
	return call[tabler.Result](ctx, c, http.MethodPut, "/v1/tables", editQuery{ChangeID: changeID, Expect: expect, Tables: tables})
}

// Keys returns all workspace keys.
func (c *Client) Keys(ctx context.Context) ([]tabler.Key, error) {
	answer, err := call[keysAnswer](ctx, c, http.MethodGet, "/v1/keys", nil)
	return answer.Keys, err
}

// AddKey stores a workspace key. Only its hash is sent, not the secret.
func (c *Client) AddKey(ctx context.Context, changeID string, key tabler.Key) (tabler.Result, error) {
	query := keyQuery{ChangeID: changeID, ID: key.ID, Hash: key.Hash, Workspace: key.Workspace, HomeRegion: key.HomeRegion}
	return call[tabler.Result](ctx, c, http.MethodPost, "/v1/keys", query)
}

// WithdrawKey revokes a workspace key for good.
func (c *Client) WithdrawKey(ctx context.Context, changeID, id string) (keeper.WithdrawOutcome, error) {
	return call[keeper.WithdrawOutcome](ctx, c, http.MethodPost, "/v1/keys/"+id+"/withdraw", changeQuery{ChangeID: changeID})
}

// SetDraining takes an entry instance out of the directory, or puts it back if
// draining is false. The change is made only if it is the next one of the instance, so that
// one that is held up on its way does not undo a newer one; otherwise the error is
// keeper.ErrOutdated.
func (c *Client) SetDraining(ctx context.Context, changeID, instance string, draining bool) (tabler.Result, error) {
	path := "/v1/instances/" + instance + "/drain"
	last, err := call[drainAnswer](ctx, c, http.MethodGet, path, nil)
	if err != nil {
		return tabler.Result{}, err
	}
	return call[tabler.Result](ctx, c, http.MethodPost, path, changeQuery{ChangeID: changeID, Draining: draining, After: &last.Revision})
}

// RemoveInstance takes back all grants of an entry instance that is gone for good.
func (c *Client) RemoveInstance(ctx context.Context, instance string) error {
	_, err := call[emptyAnswer](ctx, c, http.MethodPost, "/v1/instances/"+instance+"/remove", nil)
	return err
}

// Status returns the state of the fleet as the first control instance that answers
// sees it.
func (c *Client) Status(ctx context.Context) (keeper.Status, error) {
	return call[keeper.Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// BurnRates returns the report on error budgets.
func (c *Client) BurnRates(ctx context.Context) (reporter.BurnReport, error) {
	return call[reporter.BurnReport](ctx, c, http.MethodGet, "/v1/burn", nil)
}

// SendOrder sends an order to a model engine.
func (c *Client) SendOrder(ctx context.Context, order orderer.Order) (keeper.DeliverAnswer, error) {
	return call[keeper.DeliverAnswer](ctx, c, http.MethodPost, "/v1/orders", order)
}

// FoundGroups makes the control instances the first members of their groups.
func (c *Client) FoundGroups(ctx context.Context) error {
	_, err := call[emptyAnswer](ctx, c, http.MethodPost, "/v1/keepers/found", nil)
	return err
}

// Readmit gives a control instance that lost its disk its membership back.
// acceptLostClaims allows it even if the claims of its region were lost.
func (c *Client) Readmit(ctx context.Context, name string, acceptLostClaims bool) error {
	query := changeQuery{AcceptLostClaims: acceptLostClaims}
	_, err := call[emptyAnswer](ctx, c, http.MethodPost, "/v1/keepers/"+name+"/readmit", query)
	return err
}

// call sends a request to the control instances in turn. It tries the next one only
// if the previous one could not be reached or has no quorum.
func call[A any](ctx context.Context, c *Client, method, path string, query any) (A, error) {
	var got A
	var body []byte
	if query != nil {
		var err error
		if body, err = json.Marshal(query); err != nil {
			return got, trace.Wrap(err)
		}
	}
	lastErr := ErrUnreachable
	for _, k := range c.keepers {
		err := c.request(ctx, k, method, path, body, &got)
		if err == nil {
			return got, nil
		}
		lastErr = err
		if !errors.Is(err, ErrUnreachable) && !errors.Is(err, keeper.ErrNoQuorum) {
			break
		}
	}
	return got, lastErr
}

func (c *Client) request(ctx context.Context, k loader.Keeper, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "https://"+k.Operator.String()+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	transport := &http.Transport{
		TLSClientConfig:        c.credentials.ClientConfig(k.Name, "http/1.1"),
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return trace.Wrap(ErrUnreachable, "keeper %s: %v", k.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	memory := reserver.Reservation{Budget: &reserver.Budget{Bytes: maxAnswerBytes}}
	chunks, err := memory.ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		return trace.Wrap(ErrUnreachable, "keeper %s: answer of up to %d bytes: %v", k.Name, maxAnswerBytes, err)
	}
	text := slices.Concat(chunks...)
	if response.StatusCode != http.StatusOK {
		return decodeError(response.StatusCode, text)
	}
	return trace.Wrap(json.Unmarshal(text, into))
}

// decodeError turns an error answer into an error that wraps the sentinel of its
// code.
func decodeError(status int, text []byte) error {
	var body errorBody
	if err := json.Unmarshal(text, &body); err != nil {
		return trace.Errorf("the keeper answered with status %d", status)
	}
	if len(body.Faults) > 0 {
		return &locator.Faults{File: "tables", Faults: body.Faults, Cause: tabler.ErrInvalid}
	}
	sentinels := map[code]error{
		codeConflict:       tabler.ErrConflict,
		codeOutdated:       keeper.ErrOutdated,
		codeUnknownItem:    tabler.ErrUnknown,
		codeExists:         tabler.ErrExists,
		codeInvalid:        tabler.ErrInvalid,
		codeNoQuorum:       keeper.ErrNoQuorum,
		codeOutcomeUnknown: keeper.ErrLost,
		codeOrderWait:      keeper.ErrOrderWait,
	}
	if sentinel, known := sentinels[body.Code]; known {
		return trace.Wrap(sentinel, body.Message)
	}
	return trace.Errorf("%s", body.Message)
}
