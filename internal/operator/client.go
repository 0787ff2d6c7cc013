package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/keeper"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/locator"
	"github.com/boragehead/boragehead/internal/orderer"
	"github.com/boragehead/boragehead/internal/reporter"
	"github.com/boragehead/boragehead/internal/tabler"
)

// ErrUnreachable means that no keeper of the settings answered.
var ErrUnreachable = errors.New("no keeper can be reached")

// requestTimeout bounds one request to one keeper.
const requestTimeout = 10 * time.Second

// Client asks the keepers, the first that answers.
type Client struct {
	credentials certifier.Credentials
	keepers     []loader.Keeper
}

// NewClient returns a client for the keepers of the settings.
func NewClient(settings loader.Client) (*Client, error) {
	credentials, err := certifier.LoadCredentials(settings.TLS.Authority, settings.TLS.Certificate, settings.TLS.Key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Client{credentials: credentials, keepers: settings.Keepers}, nil
}

// Only restricts the client to one keeper.
func (c *Client) Only(name string) error {
	for _, k := range c.keepers {
		if k.Name == name {
			c.keepers = []loader.Keeper{k}
			return nil
		}
	}
	return trace.NotFound("the settings name no keeper %q", name)
}

// Tables returns the tables and their revision.
func (c *Client) Tables(ctx context.Context, stale bool) (tabler.Tables, tabler.Revision, error) {
	path := "/v1/tables"
	if stale {
		path += "?stale=true"
	}
	got, err := call[tablesAnswer](ctx, c, http.MethodGet, path, nil)
	return got.Tables, got.Revision, err
}

// Edit replaces the tables, if the expected revision is in force. A change
// that is resent under its change id gets its first outcome.
func (c *Client) Edit(ctx context.Context, changeID string, expect tabler.Revision, tables tabler.Tables) (tabler.Result, error) {
	return call[tabler.Result](ctx, c, http.MethodPut, "/v1/tables", editQuery{ChangeID: changeID, Expect: expect, Tables: tables})
}

// Keys returns all keys.
func (c *Client) Keys(ctx context.Context) ([]tabler.Key, error) {
	got, err := call[keysAnswer](ctx, c, http.MethodGet, "/v1/keys", nil)
	return got.Keys, err
}

// Give records a key. The secret stays with the caller.
func (c *Client) Give(ctx context.Context, changeID string, key tabler.Key) (tabler.Result, error) {
	query := keyQuery{ChangeID: changeID, ID: key.ID, Hash: key.Hash, Workspace: key.Workspace, HomeRegion: key.HomeRegion}
	return call[tabler.Result](ctx, c, http.MethodPost, "/v1/keys", query)
}

// Withdraw ends a key.
func (c *Client) Withdraw(ctx context.Context, changeID, id string) (keeper.WithdrawOutcome, error) {
	return call[keeper.WithdrawOutcome](ctx, c, http.MethodPost, "/v1/keys/"+id+"/withdraw", changeQuery{ChangeID: changeID})
}

// Drain takes an instance out of the directory, or back in.
func (c *Client) Drain(ctx context.Context, changeID, instance string, draining bool) (tabler.Result, error) {
	query := changeQuery{ChangeID: changeID, Draining: draining}
	return call[tabler.Result](ctx, c, http.MethodPost, "/v1/instances/"+instance+"/drain", query)
}

// Remove takes back all grants of an instance that is gone for good.
func (c *Client) Remove(ctx context.Context, instance string) error {
	_, err := call[emptyAnswer](ctx, c, http.MethodPost, "/v1/instances/"+instance+"/remove", nil)
	return err
}

// Status returns what the first keeper that answers sees.
func (c *Client) Status(ctx context.Context) (keeper.Status, error) {
	return call[keeper.Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Burn returns the report of service-level burn.
func (c *Client) Burn(ctx context.Context) (reporter.Burn, error) {
	return call[reporter.Burn](ctx, c, http.MethodGet, "/v1/burn", nil)
}

// Order gives an order to a model engine.
func (c *Client) Order(ctx context.Context, order orderer.Order) (keeper.DeliverAnswer, error) {
	return call[keeper.DeliverAnswer](ctx, c, http.MethodPost, "/v1/orders", order)
}

// Found makes the keepers the first members of their groups.
func (c *Client) Found(ctx context.Context) error {
	_, err := call[emptyAnswer](ctx, c, http.MethodPost, "/v1/keepers/found", nil)
	return err
}

// Readmit gives a keeper that lost its disk its place again.
func (c *Client) Readmit(ctx context.Context, name string, acceptLostClaims bool) error {
	query := changeQuery{AcceptLostClaims: acceptLostClaims}
	_, err := call[emptyAnswer](ctx, c, http.MethodPost, "/v1/keepers/"+name+"/readmit", query)
	return err
}

// call asks the keepers in turn. It goes on to the next only while the one
// before could not be reached or has no quorum.
func call[A any](ctx context.Context, c *Client, method, path string, query any) (A, error) {
	var got A
	var body []byte
	if query != nil {
		var err error
		if body, err = json.Marshal(query); err != nil {
			return got, trace.Wrap(err)
		}
	}
	last := ErrUnreachable
	for _, k := range c.keepers {
		err := c.ask(ctx, k, method, path, body, &got)
		if err == nil {
			return got, nil
		}
		last = err
		if !errors.Is(err, ErrUnreachable) && !errors.Is(err, keeper.ErrNoQuorum) {
			break
		}
	}
	return got, last
}

func (c *Client) ask(ctx context.Context, k loader.Keeper, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "https://"+k.Operator.String()+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	transport := &http.Transport{TLSClientConfig: c.credentials.Client(k.Name, "http/1.1")}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return trace.Wrap(ErrUnreachable, "keeper %s: %v", k.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return trace.Wrap(ErrUnreachable, "keeper %s: %v", k.Name, err)
	}
	if response.StatusCode != http.StatusOK {
		return errorOf(response.StatusCode, text)
	}
	return trace.Wrap(json.Unmarshal(text, into))
}

// errorOf gives an error its sentinel back.
func errorOf(status int, text []byte) error {
	var f failure
	if err := json.Unmarshal(text, &f); err != nil {
		return trace.Errorf("the keeper answered with status %d", status)
	}
	if len(f.Faults) > 0 {
		return &locator.Faults{File: "tables", Faults: f.Faults, Cause: tabler.ErrInvalid}
	}
	sentinels := map[code]error{
		codeConflict: tabler.ErrConflict,
		codeUnknown:  tabler.ErrUnknown,
		codeExists:   tabler.ErrExists,
		codeInvalid:  tabler.ErrInvalid,
		codeNoQuorum: keeper.ErrNoQuorum,
		codeLost:     keeper.ErrLost,
		codeWait:     keeper.ErrOrderWait,
	}
	if sentinel, known := sentinels[f.Code]; known {
		return trace.Wrap(sentinel, f.Message)
	}
	return trace.Errorf("%s", f.Message)
}
