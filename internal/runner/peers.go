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
	"github.com/boragehead/boragehead/internal/router"
	"github.com/boragehead/boragehead/internal/watcher"
)

// The calls between entry instances.
const (
	methodGive   = "give"
	methodReturn = "return"
)

// claimPause is the pause between two rounds of asking for a claim.
const claimPause = 50 * time.Millisecond

type giveQuery struct {
	Workspace string  `cbor:"w"`
	Want      float64 `cbor:"a"`
}

type returnQuery struct {
	Workspace string  `cbor:"w"`
	ID        uint64  `cbor:"i"`
	Unused    float64 `cbor:"u"`
}

type returnAnswer struct{}

// peers reaches other instances and the claim groups.
type peers struct {
	settings loader.Gate
	client   *messenger.Client
	fleet    *fleet
	follower *watcher.Follower

	mu         sync.Mutex
	transports map[messenger.Endpoint]*http.Transport
}

func newPeers(settings loader.Gate, client *messenger.Client, f *fleet, follower *watcher.Follower) *peers {
	return &peers{
		settings: settings, client: client, fleet: f, follower: follower,
		transports: map[messenger.Endpoint]*http.Transport{},
	}
}

// Holders implements lender.Peers: the same failure domain first, then the
// region, then the others.
func (p *peers) Holders(workspace, homeRegion string) []string {
	holders := granter.Holders(workspace, homeRegion, p.fleet.instances())
	holders = slices.DeleteFunc(holders, func(i granter.Instance) bool { return i.Name == p.settings.Name })
	slices.SortStableFunc(holders, func(a, b granter.Instance) int { return cmp.Compare(p.distance(a), p.distance(b)) })
	var names []string
	for _, holder := range holders {
		names = append(names, holder.Name)
	}
	return names
}

func (p *peers) distance(instance granter.Instance) int {
	switch {
	case instance.FailureDomain == p.settings.FailureDomain:
		return 0
	case instance.Region == p.settings.Region:
		return 1
	}
	return 2
}

// Ask implements lender.Peers.
func (p *peers) Ask(ctx context.Context, holder, workspace string, want float64) (lender.Loan, error) {
	endpoint, known := p.fleet.find(holder)
	if !known {
		return lender.Loan{}, trace.NotFound("instance %s is not live", holder)
	}
	return messenger.Call[giveQuery, lender.Loan](ctx, p.client, endpoint, methodGive, giveQuery{Workspace: workspace, Want: want})
}

// Return implements lender.Peers.
func (p *peers) Return(ctx context.Context, holder, workspace string, id uint64, unused float64) {
	if endpoint, known := p.fleet.find(holder); known {
		query := returnQuery{Workspace: workspace, ID: id, Unused: unused}
		_, _ = messenger.Call[returnQuery, returnAnswer](ctx, p.client, endpoint, methodReturn, query)
	}
}

// registerLender adds the calls by which other instances borrow.
func registerLender(mux *messenger.Mux, l *lender.Lender) {
	gates := []certifier.Role{certifier.RoleGate}
	messenger.Handle(mux, methodGive, gates, func(_ context.Context, _ certifier.Identity, query giveQuery) (lender.Loan, error) {
		return l.Give(query.Workspace, query.Want), nil
	})
	messenger.Handle(mux, methodReturn, gates, func(_ context.Context, _ certifier.Identity, query returnQuery) (returnAnswer, error) {
		l.TakeBack(query.Workspace, query.ID, query.Unused)
		return returnAnswer{}, nil
	})
}

// Relay implements sender.Peers.
func (p *peers) Relay(name string) (http.RoundTripper, string, bool) {
	endpoint, known := p.fleet.find(name)
	if !known {
		return nil, "", false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	transport, open := p.transports[endpoint]
	if !open {
		transport = p.client.StreamTransport(endpoint)
		p.transports[endpoint] = transport
	}
	return transport, "https://" + endpoint.Address.String(), true
}

// ClaimRegion implements claimer.Regions: the claims of a route lie where its
// lawful pools do.
func (p *peers) ClaimRegion(x *exchanger.Exchange) string {
	pools := router.LawfulPools(p.follower.View(), x.Route, x.Workspace)
	if len(pools) == 0 {
		return p.settings.Region
	}
	return pools[0].Region
}

// Do implements claimer.Group: it asks the region's keepers in turn until one
// can answer. A command that is sent twice has its effect once.
func (p *peers) Do(ctx context.Context, region string, command claimer.Command) (claimer.Outcome, error) {
	last := error(trace.NotFound("region %s has no keeper", region))
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
			if errors.Is(err, messenger.ErrUnreachable) {
				p.client.Reset(endpoint)
			}
			last = err
		}
		conductor.Pause(ctx, claimPause)
	}
	return claimer.Outcome{}, trace.Wrap(last)
}

// relayHandler serves the requests that other instances relay here.
type relayHandler struct {
	follower *watcher.Follower
	serve    func(x *exchanger.Exchange)
}

// ServeHTTP implements http.Handler.
func (h *relayHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(exchanger.HeaderRequestID)
	w.Header().Set(exchanger.HeaderRequestID, id)
	x, refusal := h.exchange(w, r, id)
	if refusal != nil {
		refusal.Write(w, id)
		return
	}
	h.serve(x)
}

func (h *relayHandler) exchange(w http.ResponseWriter, r *http.Request, id string) (*exchanger.Exchange, *exchanger.Refusal) {
	identity, err := certifier.IdentityOf(*r.TLS)
	if err != nil || !identity.Allowed(certifier.RoleGate) {
		return nil, exchanger.Refuse(http.StatusForbidden, exchanger.CodeBadRequest, "only entry instances relay")
	}
	path, relayed := strings.CutPrefix(r.URL.Path, relayPath)
	if !relayed {
		return nil, exchanger.Refuse(http.StatusNotFound, exchanger.CodeNoRoute, "no such path")
	}
	r.URL.Path = path
	x := &exchanger.Exchange{Writer: w, Request: r, ID: id, Arrived: time.Now(), Relayed: true}
	view := h.follower.View()
	var known bool
	if x.Route, known = view.RouteByName(r.Header.Get(exchanger.HeaderRoute)); !known {
		return nil, exchanger.Refuse(http.StatusMisdirectedRequest, exchanger.CodeNoRoute, "the route is not known here")
	}
	if name := r.Header.Get(exchanger.HeaderWorkspace); name != "" {
		if x.Workspace, known = view.Workspace(name); !known {
			return nil, exchanger.Refuse(http.StatusMisdirectedRequest, exchanger.CodeNoWorkspace, "the workspace is not known here")
		}
	}
	left, err := time.ParseDuration(r.Header.Get(exchanger.HeaderDeadline))
	if err != nil {
		return nil, exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadRequest, "no deadline")
	}
	x.Deadline = x.Arrived.Add(left)
	return x, nil
}
