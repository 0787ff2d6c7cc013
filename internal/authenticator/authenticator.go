// Package authenticator authenticates requests by their key, and cancels requests
// in flight whose key is withdrawn.
package authenticator

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/tabler"
)

// MaxContactAge is the longest time since the last contact with a key's home
// region after which other regions still accept the key. Withdrawals made in the
// home region would not arrive without contact.
const MaxContactAge = 5 * time.Second

// MaxLag is the longest time for which an instance that knows of a newer
// configuration serves bound workspaces by its own. The watch delivers a
// configuration long before that, unless it is cut off.
const MaxLag = time.Second

// ErrKeyInvalidated is the cancellation cause of a request whose key was withdrawn
// or is no longer accepted here.
var ErrKeyInvalidated = errors.New("the key was withdrawn")

// ViewSource returns the latest configuration that this instance has. It must be
// safe for concurrent use.
type ViewSource interface {
	View() *tabler.View
	// Lag returns for how long this instance has known that there is a newer
	// configuration than that of View, or 0 if it knows of none.
	Lag(now time.Time) time.Duration
}

// Contacts reports the contact with other regions. It must be safe for concurrent
// use.
type Contacts interface {
	// SinceContact returns the time since the last contact with a region, or false
	// if there was none.
	SinceContact(region string) (time.Duration, bool)
}

// Authenticator is the exchanger.Filter that sets the key and the workspace of a
// request. It is safe for concurrent use.
type Authenticator struct {
	region   string
	views    ViewSource
	contacts Contacts

	mu       sync.Mutex // guards inFlight
	inFlight map[*inFlightRequest]struct{}
}

// inFlightRequest is an authenticated request that is being handled.
type inFlightRequest struct {
	key    tabler.Key
	cancel context.CancelCauseFunc
}

// New returns an authenticator for an instance in the given region.
func New(region string, views ViewSource, contacts Contacts) *Authenticator {
	return &Authenticator{region: region, views: views, contacts: contacts, inFlight: map[*inFlightRequest]struct{}{}}
}

// Handle implements exchanger.Filter. It replaces refusals of the following filters,
// too, if a newer configuration may allow the request.
func (a *Authenticator) Handle(ctx context.Context, x *exchanger.Exchange, next exchanger.Handler) *exchanger.Refusal {
	return a.replaceOutdated(a.handle(ctx, x, next))
}

func (a *Authenticator) handle(ctx context.Context, x *exchanger.Exchange, next exchanger.Handler) *exchanger.Refusal {
	view := a.views.View()
	if view.Revision == 0 {
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeNoConfiguration,
			"this instance has no configuration yet").WithRetryAfter(time.Second)
	}
	x.Secret = presentedSecret(x.Request)
	if x.Secret == "" && isOpenPath(view, x.Request.URL.Path) {
		return next(ctx, x)
	}
	key, refusal := a.checkKey(view, x.Secret)
	if refusal != nil {
		return refusal
	}
	workspace, refusal := workspaceOf(view, key)
	if refusal != nil {
		return refusal
	}
	x.Key = key
	x.Workspace = workspace
	ctx, untrack := a.track(ctx, key)
	defer untrack()
	// Check again, because a withdrawal that arrived after the first check and
	// before track has not canceled this request.
	if _, refusal := a.checkKey(a.views.View(), x.Secret); refusal != nil {
		return refusal
	}
	return next(ctx, x)
}

// checkKey returns the key of a secret, or the refusal if the key is missing,
// malformed, unknown, withdrawn or not accepted here.
func (a *Authenticator) checkKey(view *tabler.View, secret string) (tabler.Key, *exchanger.Refusal) {
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
	case !a.acceptsKey(key):
		return tabler.Key{}, exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeKeyHomeUnreachable,
			"the key's home region cannot be reached from here, so a withdrawal there could not be heard").WithRetryAfter(MaxContactAge)
	}
	return key, nil
}

// Identify returns the workspace of a request's key. presented is false if the
// request has no key, and refusal is nil unless it has one that is not accepted.
func (a *Authenticator) Identify(r *http.Request) (workspace tabler.Workspace, presented bool, refusal *exchanger.Refusal) {
	secret := presentedSecret(r)
	if secret == "" {
		return tabler.Workspace{}, false, nil
	}
	view := a.views.View()
	key, refusal := a.checkKey(view, secret)
	if refusal != nil {
		return tabler.Workspace{}, true, a.replaceOutdated(refusal)
	}
	workspace, refusal = workspaceOf(view, key)
	if refusal == nil {
		refusal = RefuseOutdated(a.views, workspace)
	}
	return workspace, true, a.replaceOutdated(refusal)
}

// finalCodes are those of refusals that follow from the configuration and after which
// callers do not try again. A withdrawn key is not among them: it stays withdrawn.
var finalCodes = []exchanger.Code{
	exchanger.CodeKeyMissing, exchanger.CodeKeyUnknown, exchanger.CodeWorkspaceUnknown, exchanger.CodeRouteUnknown, exchanger.CodeCostAboveBurst,
}

// replaceOutdated returns a refusal that asks the caller to come back, in place of a
// final one, if this instance knows of a newer configuration that it does not have.
func (a *Authenticator) replaceOutdated(refusal *exchanger.Refusal) *exchanger.Refusal {
	if refusal == nil || refusal.OutcomeOrNotRun() != exchanger.OutcomeNotRun || !slices.Contains(finalCodes, refusal.Code) || a.views.Lag(time.Now()) == 0 {
		return refusal
	}
	return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeConfigurationOutdated,
		"this instance knows that it lacks a newer configuration, which may allow the request").WithRetryAfter(time.Second)
}

// RefuseOutdated returns a refusal if the workspace is bound to a region and this
// instance has known for longer than MaxLag that its configuration is not the
// newest: the home may have moved. An instance that is cut off and knows of no
// newer configuration goes on serving.
func RefuseOutdated(views ViewSource, workspace tabler.Workspace) *exchanger.Refusal {
	if workspace.HomeRegion == "" || views.Lag(time.Now()) <= MaxLag {
		return nil
	}
	return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeConfigurationOutdated,
		"this instance knows that it lacks a newer configuration, by which the workspace's home may be elsewhere").WithRetryAfter(time.Second)
}

// workspaceOf returns the workspace of a key, or the refusal if it was removed.
func workspaceOf(view *tabler.View, key tabler.Key) (tabler.Workspace, *exchanger.Refusal) {
	workspace, known := view.Workspace(key.Workspace)
	if !known {
		return tabler.Workspace{}, exchanger.Refuse(http.StatusForbidden, exchanger.CodeWorkspaceUnknown, "the key's workspace no longer exists")
	}
	return workspace, nil
}

// acceptsKey reports whether a valid key is accepted by this instance: in its home
// region always, in other regions only if the last contact with the home region is
// recent enough for a withdrawal there to have arrived.
func (a *Authenticator) acceptsKey(key tabler.Key) bool {
	if key.HomeRegion == a.region {
		return true
	}
	age, known := a.contacts.SinceContact(key.HomeRegion)
	return known && age <= MaxContactAge
}

// isOpenPath reports whether a path has routes and none of them needs a key.
func isOpenPath(view *tabler.View, path string) bool {
	candidates := view.RoutesForPath(path)
	for _, route := range candidates {
		if !route.Open {
			return false
		}
	}
	return len(candidates) > 0
}

// track returns a context that CancelUnaccepted cancels if the key is withdrawn,
// and a function that must be called when the request ends.
func (a *Authenticator) track(ctx context.Context, key tabler.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	request := &inFlightRequest{key: key, cancel: cancel}
	a.mu.Lock()
	a.inFlight[request] = struct{}{}
	a.mu.Unlock()
	return ctx, func() {
		a.mu.Lock()
		delete(a.inFlight, request)
		a.mu.Unlock()
		cancel(nil)
	}
}

// CancelUnaccepted cancels the requests in flight whose key is withdrawn or no
// longer accepted here. It must be called after every change of the
// configuration, and periodically, because contact with a home region may be lost
// at any time.
func (a *Authenticator) CancelUnaccepted() {
	view := a.views.View()
	a.mu.Lock()
	defer a.mu.Unlock()
	for request := range a.inFlight {
		_, err := view.Key(request.key.Hash)
		if err != nil || !a.acceptsKey(request.key) {
			request.cancel(ErrKeyInvalidated)
		}
	}
}

// InFlight returns the number of requests in flight that have a key.
func (a *Authenticator) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.inFlight)
}

// presentedSecret returns the key in a request's header, or "".
func presentedSecret(r *http.Request) string {
	scheme, secret, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if found && strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(secret)
	}
	return r.Header.Get("X-Api-Key")
}

// ForwardsSecret reports whether a request repeats its key in the URL, in one of
// exchanger.ForwardedHeaders, or in the body, where a backend server would see it.
func ForwardsSecret(x *exchanger.Exchange) bool {
	if x.Secret == "" {
		return false
	}
	uri := x.Request.URL.RequestURI()
	if decoded, err := url.QueryUnescape(uri); err == nil {
		uri += decoded
	}
	inURI := strings.Contains(uri, x.Secret)
	inForwardedHeaders := slices.ContainsFunc(exchanger.ForwardedHeaders, func(name string) bool {
		return strings.Contains(x.Request.Header.Get(name), x.Secret)
	})
	return inURI || inForwardedHeaders || bytes.Contains(x.Body, []byte(x.Secret))
}
