package runner

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/claimer"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/granter"
	"github.com/boragehead/boragehead/internal/keeper"
	"github.com/boragehead/boragehead/internal/lender"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/responder"
	"github.com/boragehead/boragehead/internal/watcher"
)

// Calls by which entry instances borrow rate-limit tokens from each other.
const (
	methodGive   = "give"
	methodReturn = "return"
)

// claimRetryInterval is the pause before all keepers of a region are tried again
// with a claim command.
const claimRetryInterval = 50 * time.Millisecond

// relayAcceptTimeout is how long a relayed request waits until the other instance
// accepts its body. It is longer than any deadline, because the transport sends the
// body after it.
const relayAcceptTimeout = 24 * time.Hour

// giveQuery asks another instance for up to Want tokens of a workspace.
type giveQuery struct {
	Workspace string  `cbor:"w"`
	Want      float64 `cbor:"a"`
}

// returnQuery returns the unused tokens of the loan with this ID.
type returnQuery struct {
	Workspace string  `cbor:"w"`
	ID        uint64  `cbor:"i"`
	Unused    float64 `cbor:"u"`
}

type returnAnswer struct{}

// peerCaller calls other entry instances and the claim groups of the regions.
// It is safe for concurrent use.
type peerCaller struct {
	settings   loader.Gate
	client     *messenger.Client
	membership *membership
	follower   *watcher.Follower

	mu              sync.Mutex
	relayTransports map[messenger.Endpoint]*http.Transport
}

func newPeerCaller(settings loader.Gate, client *messenger.Client, m *membership, follower *watcher.Follower) *peerCaller {
	return &peerCaller{
		settings: settings, client: client, membership: m, follower: follower,
		relayTransports: map[messenger.Endpoint]*http.Transport{},
	}
}

// Holders implements lender.Peers. It returns the other instances that hold
// grants of a workspace, those of the same failure domain first, then those of
// the same region, then the rest.
func (p *peerCaller) Holders(workspace, homeRegion string) []string {
	holders := granter.Holders(workspace, homeRegion, p.membership.liveInstances())
	holders = slices.DeleteFunc(holders, func(i granter.Instance) bool { return i.Name == p.settings.Name })
	slices.SortStableFunc(holders, func(a, b granter.Instance) int { return cmp.Compare(p.proximity(a), p.proximity(b)) })
	var names []string
	for _, holder := range holders {
		names = append(names, holder.Name)
	}
	return names
}

// proximity returns 0 for an instance of the same failure domain, 1 for one of
// the same region, and 2 for any other.
func (p *peerCaller) proximity(instance granter.Instance) int {
	switch {
	case instance.FailureDomain == p.settings.FailureDomain:
		return 0
	case instance.Region == p.settings.Region:
		return 1
	}
	return 2
}

// RequestLoan implements lender.Peers.
func (p *peerCaller) RequestLoan(ctx context.Context, holder, workspace string, want float64) (lender.Loan, error) {
	endpoint, known := p.membership.endpoint(holder)
	if !known {
		return lender.Loan{}, trace.NotFound("instance %s is not live", holder)
	}
	return messenger.Call[giveQuery, lender.Loan](ctx, p.client, endpoint, methodGive, giveQuery{Workspace: workspace, Want: want})
}

// ReturnLoan implements lender.Peers. If the call fails, the tokens are lost.
func (p *peerCaller) ReturnLoan(ctx context.Context, holder, workspace string, id uint64, unused float64) {
	if endpoint, known := p.membership.endpoint(holder); known {
		query := returnQuery{Workspace: workspace, ID: id, Unused: unused}
		_, _ = messenger.Call[returnQuery, returnAnswer](ctx, p.client, endpoint, methodReturn, query)
	}
}

// registerLender registers the calls by which other instances borrow tokens and
// return them.
func registerLender(mux *messenger.Mux, l *lender.Lender) {
	gates := []certifier.Role{certifier.RoleGate}
	messenger.Handle(mux, methodGive, gates, func(_ context.Context, _ certifier.Identity, query giveQuery) (lender.Loan, error) {
		return l.Lend(query.Workspace, query.Want), nil
	})
	messenger.Handle(mux, methodReturn, gates, func(_ context.Context, _ certifier.Identity, query returnQuery) (returnAnswer, error) {
		l.TakeBack(query.Workspace, query.ID, query.Unused)
		return returnAnswer{}, nil
	})
}

// RelayTransport implements sender.Peers. It returns a transport and a base URL
// for an instance, and false if the instance is not live.
func (p *peerCaller) RelayTransport(name string) (http.RoundTripper, string, bool) {
	endpoint, known := p.membership.endpoint(name)
	if !known {
		return nil, "", false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	transport, open := p.relayTransports[endpoint]
	if !open {
		transport = p.client.HTTPTransport(endpoint)
		transport.ExpectContinueTimeout = relayAcceptTimeout
		p.relayTransports[endpoint] = transport
	}
	return transport, "https://" + endpoint.Address.String(), true
}

// Do implements claimer.Group. It tries the keepers of the region in turn until
// one answers or ctx ends, or one knows that the home is another region. A command that is sent twice takes effect once.
func (p *peerCaller) Do(ctx context.Context, region string, command claimer.Command) (claimer.Outcome, error) {
	lastErr := error(trace.NotFound("region %s has no keeper", region))
	for ctx.Err() == nil {
		for _, k := range p.settings.Keepers {
			if k.Region != region {
				continue
			}
			endpoint := messenger.Endpoint{Name: k.Name, Address: k.Address}
			outcome, err := messenger.Call[claimer.Command, claimer.Outcome](ctx, p.client, endpoint, keeper.MethodClaim, command)
			if err == nil {
				return outcome, nil
			}
			if errors.Is(err, keeper.ErrHomeElsewhere) {
				return claimer.Outcome{}, trace.Wrap(err)
			}
			if errors.Is(err, messenger.ErrUnreachable) {
				p.client.Reset(endpoint)
			}
			lastErr = err
		}
		conductor.Sleep(ctx, claimRetryInterval)
	}
	return claimer.Outcome{}, trace.Wrap(lastErr)
}

// relayHandler serves requests that other entry instances relay to this one.
type relayHandler struct {
	follower *watcher.Follower
	serve    func(x *exchanger.Exchange)
}

// ServeHTTP implements http.Handler.
func (h *relayHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(exchanger.HeaderRequestID)
	w.Header().Set(exchanger.HeaderRequestID, id)
	x, refusal := h.parse(w, r, id)
	if refusal != nil {
		responder.Answer(w, r, func(w http.ResponseWriter) { refusal.Write(w, id) })
		return
	}
	h.serve(x)
}

// parse checks the sender's role, strips the relay prefix from the path and
// reads route, workspace and remaining time from the headers.
func (h *relayHandler) parse(w http.ResponseWriter, r *http.Request, id string) (*exchanger.Exchange, *exchanger.Refusal) {
	identity, err := certifier.PeerIdentity(*r.TLS)
	if err != nil || !identity.HasRole(certifier.RoleGate) {
		return nil, exchanger.Refuse(http.StatusForbidden, exchanger.CodeBadRequest, "only entry instances relay")
	}
	path, relayed := strings.CutPrefix(r.URL.Path, relayPath)
	if !relayed {
		return nil, exchanger.Refuse(http.StatusNotFound, exchanger.CodeRouteUnknown, "no such path")
	}
	r.URL.Path = path
	x := &exchanger.Exchange{Writer: w, Request: r, ID: id, Arrived: time.Now(), Relayed: true}
	view := h.follower.View()
	var known bool
	if x.Route, known = view.RouteByName(r.Header.Get(exchanger.HeaderRoute)); !known {
		return nil, exchanger.Refuse(http.StatusMisdirectedRequest, exchanger.CodeRouteUnknown, "the route is not known here")
	}
	if name := r.Header.Get(exchanger.HeaderWorkspace); name != "" {
		if x.Workspace, known = view.Workspace(name); !known {
			return nil, exchanger.Refuse(http.StatusMisdirectedRequest, exchanger.CodeWorkspaceUnknown, "the workspace is not known here")
		}
	}
	remaining, err := time.ParseDuration(r.Header.Get(exchanger.HeaderDeadline))
	if err != nil {
		return nil, exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadRequest, "no deadline")
	}
	x.Deadline = x.Arrived.Add(remaining)
	return x, nil
}
