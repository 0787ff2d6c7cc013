// Package runner joins the packages into processes: it opens the ports, gives
// each duty a goroutine, and stops them in order.
package runner

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/acceptor"
	"github.com/boragehead/boragehead/internal/authenticator"
	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/claimer"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/director"
	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/keeper"
	"github.com/boragehead/boragehead/internal/lender"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/reporter"
	"github.com/boragehead/boragehead/internal/router"
	"github.com/boragehead/boragehead/internal/sender"
	"github.com/boragehead/boragehead/internal/tracker"
	"github.com/boragehead/boragehead/internal/watcher"
)

const (
	relayPath = sender.RelayPrefix
	// sweepInterval is how often open requests are checked against the
	// contact with their keys' homes.
	sweepInterval = time.Second
	// startPause is the time between two looks whether an instance can serve.
	startPause = 20 * time.Millisecond
	// startPatience is how long a starting instance waits for a first backend
	// server and its grants: a failure domain may have none.
	startPatience = tracker.Silence
	// defaultStopLimit bounds a graceful shutdown.
	defaultStopLimit = 10 * time.Minute
	// defaultStopLinger outlasts the directories that callers hold.
	defaultStopLinger = director.TTL + time.Second
	// stopQuiet is for how long callers have left their open connections unused
	// before these are closed: a caller may write its next request while an idle
	// connection is closed, and would find it cut. Callers with work to do reuse
	// a connection within a second.
	stopQuiet = time.Second
	stopPoll  = 50 * time.Millisecond
)

// Gate is an entry instance.
type Gate struct {
	settings   loader.Gate
	client     *messenger.Client
	follower   *watcher.Follower
	dispatcher *dispatcher.Dispatcher
	fleet      *fleet
	watch      *watch
	ledger     *ledger
	auth       *authenticator.Authenticator
	reporter   *reporter.Reporter
	registry   metrics.Registry
	stopping   *stopping

	callers *http.Server
	// port is that of callers, once it is open.
	port     atomic.Pointer[conductor.Port]
	backends *http.Server
	relays   *http.Server
	mux      *messenger.Mux
}

// ServeGate serves an entry instance until a signal has stopped it.
func ServeGate(ctx context.Context, settings loader.Gate) error {
	credentials, err := loadCredentials(settings.TLS)
	if err != nil {
		return err
	}
	return NewGate(settings, credentials).Run(ctx, credentials)
}

func loadCredentials(files loader.TLS) (certifier.Credentials, error) {
	credentials, err := certifier.LoadCredentials(files.Authority, files.Certificate, files.Key)
	return credentials, trace.Wrap(err, "tls")
}

// NewGate joins the parts of an entry instance.
func NewGate(settings loader.Gate, credentials certifier.Credentials, options ...messenger.Option) *Gate {
	g := &Gate{settings: settings, registry: metrics.NewRegistry(), stopping: &stopping{}}
	g.client = messenger.NewClient(credentials, options...)
	g.follower = watcher.NewFollower(settings.Region)
	g.dispatcher = dispatcher.New()
	g.fleet = newFleet(settings, g.client, g.follower, g.dispatcher)
	g.watch = newWatch(settings, g.client, g.follower, g.fleet)
	g.auth = authenticator.New(settings.Region, g.follower, g.fleet)
	g.reporter = reporter.New(g.registry)
	g.join()
	return g
}

// join builds the chains of filters and the handlers of the ports.
func (g *Gate) join() {
	seed := uint64(time.Now().UnixNano())
	maxBody := g.settings.MaxBody
	if maxBody == 0 {
		maxBody = acceptor.DefaultMaxBody
	}
	p := newPeers(g.settings, g.client, g.fleet, g.follower)
	lend := lender.New(p)
	route := router.New(g.settings.Region, g.follower, g.fleet, maxBody, seed)
	send := sender.New(g.dispatcher, p, g.reporter, seed)
	g.ledger = newLedger(g.settings, g.client, g.follower, lend)

	chain := exchanger.Chain(send.Handle, g.auth, route, claimer.NewFilter(p, p), lend)
	relayed := acceptor.New(func(ctx context.Context, x *exchanger.Exchange) *exchanger.Refusal {
		if sender.Once(x.Request) {
			x.Attempt = x.ID
		}
		return route.HandleRelayed(ctx, x, send.Handle)
	}, g.reporter)

	callers := pages{
		own: map[string]http.Handler{
			"/v1/instances": director.New(g.settings.Region, g.fleet, g.auth),
			"/v1/metrics":   http.HandlerFunc(g.serveMetrics),
			"/v1/health":    http.HandlerFunc(g.serveHealth),
		},
		others: acceptor.New(chain, g.reporter),
	}
	g.callers = &http.Server{
		Handler:           g.stopping.wrap(callers),
		ReadHeaderTimeout: acceptor.HeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	announcements := http.NewServeMux()
	announcements.Handle("POST /v1/backends", &backendHandler{dispatcher: g.dispatcher})
	g.backends = &http.Server{Handler: announcements, ReadHeaderTimeout: backendHeaderTimeout}
	g.relays = &http.Server{
		Handler:           &relayHandler{follower: g.follower, serve: relayed.Serve},
		ReadHeaderTimeout: backendHeaderTimeout,
	}
	g.register(lend)
}

// maxHeaderBytes is where net/http itself stops reading; the acceptor's own,
// lower bound answers in the gateway's form.
const maxHeaderBytes = 1 << 20

func (g *Gate) register(lend *lender.Lender) {
	gates := []certifier.Role{certifier.RoleGate}
	keepers := []certifier.Role{certifier.RoleKeeper}
	g.mux = &messenger.Mux{}
	messenger.Handle(g.mux, methodGossip, gates, g.fleet.serveGossip)
	messenger.Handle(g.mux, keeper.MethodWatch, gates, g.watch.serve)
	messenger.Handle(g.mux, keeper.MethodBurn, keepers,
		func(context.Context, certifier.Identity, keeper.BurnQuery) (reporter.Counts, error) {
			return g.reporter.Counts(g.settings.Region), nil
		})
	messenger.Handle(g.mux, keeper.MethodServers, keepers, g.serveServers)
	registerLender(g.mux, lend)
	deliver := &orders{settings: g.settings, client: g.client, dispatcher: g.dispatcher}
	messenger.Handle(g.mux, keeper.MethodDeliver, keepers, deliver.serve)
}

// serveServers tells keepers the backend servers of this failure domain.
func (g *Gate) serveServers(context.Context, certifier.Identity, keeper.ServersQuery) ([]keeper.ServerStatus, error) {
	var servers []keeper.ServerStatus
	for _, server := range g.dispatcher.Servers() {
		servers = append(servers, keeper.ServerStatus{
			FailureDomain: g.settings.FailureDomain, Name: server.Name, Pools: server.Pools,
			Running: server.Load.Running, MaxRunning: server.MaxRunning, ChecksFencing: server.ChecksFencing,
		})
	}
	return servers, nil
}

// Run serves until a signal has stopped the instance gracefully.
func (g *Gate) Run(ctx context.Context, credentials certifier.Credentials) error {
	ports, err := g.listen()
	if err != nil {
		return err
	}
	peerServer := messenger.NewServer(ports.peers, credentials, g.mux)
	defer g.client.Close()
	actors := &conductor.Actors{}
	actors.Add("dispatcher", g.dispatcher.Run)
	actors.Add("gossip", g.fleet.run)
	actors.Add("ledger", g.ledger.run)
	actors.Add("configurator", g.runConfigurator)
	actors.Add("sweeper", g.runSweeper)
	for _, k := range g.settings.Keepers {
		actors.Add("watch-"+k.Name, func(ctx context.Context) error { return g.watch.followKeeper(ctx, k) })
	}
	for slot := range leadsPerDomain {
		actors.Add("watch-lead", func(ctx context.Context) error { return g.watch.followLead(ctx, slot) })
	}
	actors.Add("peers", peerServer.Run)
	actors.Serve("relays", g.relays, peerServer.Streams())
	actors.Serve("backends", g.backends, ports.backends)
	callers := make(chan net.Listener, 1)
	actors.ServeLater("callers", g.callers, callers)
	actors.Add("starter", func(ctx context.Context) error { return g.start(ctx, callers) })
	return actors.Run(ctx, g.stop)
}

// ports are the listeners of an entry instance.
type ports struct {
	backends, peers net.Listener
}

func (g *Gate) listen() (ports, error) {
	var p ports
	var err error
	if p.backends, err = net.Listen("tcp", g.settings.BackendAddress.String()); err != nil {
		return p, trace.Wrap(err, "backend-address")
	}
	if p.peers, err = net.Listen("tcp", g.settings.PeerAddress.String()); err != nil {
		return p, trace.Wrap(err, "peer-address")
	}
	return p, nil
}

// start opens the callers' port once the instance can serve: it has a
// configuration, and has heard the backend servers for a whole period. Until
// then callers use other instances.
func (g *Gate) start(ctx context.Context, callers chan<- net.Listener) error {
	for g.follower.View().Revision == 0 && ctx.Err() == nil {
		conductor.Pause(ctx, startPause)
	}
	begun := time.Now()
	for !g.supplied() && time.Since(begun) < startPatience && ctx.Err() == nil {
		conductor.Pause(ctx, startPause)
	}
	conductor.Pause(ctx, tracker.Period)
	if ctx.Err() != nil {
		return nil
	}
	listener, err := g.listenCallers()
	if err != nil {
		return err
	}
	callers <- listener
	g.fleet.ready()
	klog.InfoS("entry instance serves", "name", g.settings.Name, "callers", g.settings.CallerAddress.String())
	<-ctx.Done()
	return nil
}

// supplied reports whether the instance has backend servers and grants.
func (g *Gate) supplied() bool {
	return len(g.dispatcher.Summary()) > 0 && g.ledger.synced.Load()
}

func (g *Gate) listenCallers() (net.Listener, error) {
	port, err := conductor.NewPort(g.callers, g.settings.CallerAddress.String())
	if err != nil {
		return nil, trace.Wrap(err, "caller-address")
	}
	g.port.Store(port)
	files := g.settings.CallerTLS
	if files == nil {
		return port.Listener, nil
	}
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, trace.Wrap(err, "caller-tls")
	}
	return tls.NewListener(port.Listener, &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}, NextProtos: []string{"http/1.1"},
	}), nil
}

// runConfigurator puts every new configuration in force.
func (g *Gate) runConfigurator(ctx context.Context) error {
	for {
		changed := g.follower.Changed()
		g.ledger.configured(g.follower.View())
		g.auth.Sweep()
		select {
		case <-changed:
			klog.V(1).InfoS("configuration in force", "revision", g.follower.View().Revision)
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gate) runSweeper(ctx context.Context) error {
	for ctx.Err() == nil {
		g.auth.Sweep()
		conductor.Pause(ctx, sweepInterval)
	}
	return nil
}

// stop is the graceful shutdown: leave the directory, tell the others, hand
// leased grants back, serve on while callers still hold old directories, and
// close when the last request has ended.
func (g *Gate) stop(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(g.settings.StopLimit, defaultStopLimit))
	defer cancel()
	klog.InfoS("stopping", "open-requests", g.auth.Open())
	g.stopping.begin()
	g.fleet.announce(ctx, gossiper.StateStopping)
	g.ledger.surrender(ctx)
	conductor.Pause(ctx, cmp.Or(g.settings.StopLinger, defaultStopLinger))
	if port := g.port.Load(); port != nil {
		for ctx.Err() == nil && !port.Quiet(began, stopQuiet) {
			conductor.Pause(ctx, stopPoll)
		}
		if err := port.Close(ctx, stopQuiet); err != nil {
			klog.ErrorS(err, "requests cut at the stop limit")
		}
	}
	for _, server := range []*http.Server{g.relays, g.backends} {
		if err := server.Shutdown(ctx); err != nil {
			klog.ErrorS(err, "requests cut at the stop limit")
		}
	}
}

func (g *Gate) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(g.registry, w)
}

func (g *Gate) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if g.follower.View().Revision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// pages serves the instance's own pages and hands all other requests on, with
// their paths as they came: http.ServeMux would redirect those that are not clean.
type pages struct {
	own    map[string]http.Handler
	others http.Handler
}

func (p pages) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	page, own := p.own[r.URL.Path]
	if !own || r.Method != http.MethodGet && r.Method != http.MethodHead {
		page = p.others
	}
	page.ServeHTTP(w, r)
}

// stopping asks callers to close their connections once a stop has begun.
type stopping struct {
	begun atomic.Bool
}

func (s *stopping) begin() {
	s.begun.Store(true)
}

func (s *stopping) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.begun.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
