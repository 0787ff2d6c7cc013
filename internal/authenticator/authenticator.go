// Package authenticator finds the workspace of a request from its key, and
// ends open requests whose key is withdrawn.
package authenticator

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/tabler"
)

// Fresh is how old the contact with a key's home region may be for the key
// to be honoured elsewhere.
const Fresh = 5 * time.Second

// ErrRevoked is the cause of a context that a withdrawal has ended.
var ErrRevoked = errors.New("the key was withdrawn")

// Views returns the newest configuration.
type Views interface {
	View() *tabler.View
}

// Contacts tells how long ago a process of a region was heard.
type Contacts interface {
	Contacted(region string) (time.Duration, bool)
}

// Authenticator is the filter.
type Authenticator struct {
	region   string
	views    Views
	contacts Contacts

	mu   sync.Mutex
	open map[*openRequest]struct{}
}

// openRequest is a request under way with the means to end it.
type openRequest struct {
	key    tabler.Key
	cancel context.CancelCauseFunc
}

// New returns the filter of an instance in a region.
func New(region string, views Views, contacts Contacts) *Authenticator {
	return &Authenticator{region: region, views: views, contacts: contacts, open: map[*openRequest]struct{}{}}
}

// Handle implements exchanger.Filter.
func (a *Authenticator) Handle(ctx context.Context, x *exchanger.Exchange, next exchanger.Handler) *exchanger.Refusal {
	view := a.views.View()
	if view.Revision == 0 {
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNoConfiguration,
			"this instance has no configuration yet").After(time.Second)
	}
	x.Secret = secretOf(x.Request)
	if x.Secret == "" && openPath(view, x.Request.URL.Path) {
		return next(ctx, x)
	}
	key, refusal := a.check(view, x.Secret)
	if refusal != nil {
		return refusal
	}
	workspace, known := view.Workspace(key.Workspace)
	if !known {
		return exchanger.Refuse(http.StatusForbidden, exchanger.CodeNoWorkspace, "the key's workspace no longer exists")
	}
	x.Key = key
	x.Workspace = workspace
	ctx, done := a.watch(ctx, key)
	defer done()
	// A withdrawal may have come between the check and the watch.
	if _, refusal := a.check(a.views.View(), x.Secret); refusal != nil {
		return refusal
	}
	return next(ctx, x)
}

func (a *Authenticator) check(view *tabler.View, secret string) (tabler.Key, *exchanger.Refusal) {
	if secret == "" {
		return tabler.Key{}, exchanger.Refuse(http.StatusUnauthorized, exchanger.CodeKeyMissing, "send a key as 'Authorization: Bearer KEY'")
	}
	hash, err := tabler.HashSecret(secret)
	if err != nil {
		return tabler.Key{}, exchanger.Refuse(http.StatusUnauthorized, exchanger.CodeKeyMalformed, "this is not a key")
	}
	key, err := view.Key(hash)
	switch {
	case errors.Is(err, tabler.ErrWithdrawn):
		return tabler.Key{}, exchanger.Refuse(http.StatusUnauthorized, exchanger.CodeKeyWithdrawn, "this key was withdrawn")
	case err != nil:
		return tabler.Key{}, exchanger.Refuse(http.StatusUnauthorized, exchanger.CodeKeyUnknown, "this key is not known")
	case !a.honoured(key):
		return tabler.Key{}, exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeKeyHomeUnreachable,
			"the key's home region cannot be reached from here, so a withdrawal there could not be heard").After(Fresh)
	}
	return key, nil
}

// Identify returns the key that a request shows, if it shows one.
func (a *Authenticator) Identify(r *http.Request) (key tabler.Key, shown bool, refusal *exchanger.Refusal) {
	secret := secretOf(r)
	if secret == "" {
		return tabler.Key{}, false, nil
	}
	key, refusal = a.check(a.views.View(), secret)
	return key, true, refusal
}

// Bound reports whether a key's workspace is bound to its home region.
func (a *Authenticator) Bound(key tabler.Key) bool {
	workspace, known := a.views.View().Workspace(key.Workspace)
	return known && workspace.HomeRegion != ""
}

// honoured reports whether a key counts here: at home always, elsewhere while
// a withdrawal at its home would be heard.
func (a *Authenticator) honoured(key tabler.Key) bool {
	if key.HomeRegion == a.region {
		return true
	}
	age, known := a.contacts.Contacted(key.HomeRegion)
	return known && age <= Fresh
}

func openPath(view *tabler.View, path string) bool {
	candidates := view.Candidates(path)
	for _, route := range candidates {
		if !route.Open {
			return false
		}
	}
	return len(candidates) > 0
}

// watch gives a request a context that ends when its key is withdrawn.
func (a *Authenticator) watch(ctx context.Context, key tabler.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	request := &openRequest{key: key, cancel: cancel}
	a.mu.Lock()
	a.open[request] = struct{}{}
	a.mu.Unlock()
	return ctx, func() {
		a.mu.Lock()
		delete(a.open, request)
		a.mu.Unlock()
		cancel(nil)
	}
}

// Sweep ends the open requests whose key no longer counts here. It is called
// after every change of the configuration and regularly.
func (a *Authenticator) Sweep() {
	view := a.views.View()
	a.mu.Lock()
	defer a.mu.Unlock()
	for request := range a.open {
		_, err := view.Key(request.key.Hash)
		if err != nil || !a.honoured(request.key) {
			request.cancel(ErrRevoked)
		}
	}
}

// Open returns how many requests with a key are under way.
func (a *Authenticator) Open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.open)
}

// secretOf returns the key that a request shows, or nothing.
func secretOf(r *http.Request) string {
	scheme, secret, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if found && strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(secret)
	}
	return r.Header.Get("X-Api-Key")
}

// Leaks reports whether a request holds its key where it would be passed on.
func Leaks(x *exchanger.Exchange) bool {
	if x.Secret == "" {
		return false
	}
	uri := x.Request.URL.RequestURI()
	if decoded, err := url.QueryUnescape(uri); err == nil {
		uri += decoded
	}
	inURL := strings.Contains(uri, x.Secret)
	inForwarded := strings.Contains(x.Request.Header.Get("Content-Type"), x.Secret) ||
		strings.Contains(x.Request.Header.Get("Accept"), x.Secret)
	return inURL || inForwarded || bytes.Contains(x.Body, []byte(x.Secret))
}
