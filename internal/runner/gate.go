// Package runner assembles the processes of a fleet: entry instances (gates),
// control instances (keepers), and stand-in backend servers. It opens the
// ports, runs each background task in its own goroutine, and shuts them down in
// order.
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
	// sweepInterval is how often open requests are checked for keys that no
	// longer count because their home region has not been in contact.
	sweepInterval = time.Second
	// startPollInterval is how often a starting instance checks whether it can
	// serve.
	startPollInterval = 20 * time.Millisecond
	// capacityTimeout limits how long a starting instance waits for its first
	// backend server and its grants: a failure domain may have none.
	capacityTimeout = tracker.SilenceTimeout
	// defaultStopLimit limits a graceful shutdown.
	defaultStopLimit = 10 * time.Minute
	// defaultStopLinger is how long a stopping instance goes on accepting
	// connections. It is longer than callers may cache a directory that still
	// lists the instance.
	defaultStopLinger = director.TTL + time.Second
	// stopIdleTime is how long a connection must have been idle before a stopping
	// instance closes it. Closing it earlier could cut off a request that the
	// caller is just writing; callers with work to do reuse a connection within a
	// second.
	stopIdleTime     = time.Second
	stopPollInterval = 50 * time.Millisecond
)

// Gate is an entry instance. Create it with NewGate and start it with Run.
type Gate struct {
	settings      loader.Gate
	client        *messenger.Client
	follower      *watcher.Follower
	dispatcher    *dispatcher.Dispatcher
	membership    *membership
	configWatcher *configWatcher
	grants        *grantSyncer
	auth          *authenticator.Authenticator
	reporter      *reporter.Reporter
	router        *router.Router
	sender        *sender.Sender
	registry      metrics.Registry
	resources     *conductor.Resources
	closer        *connectionCloser

	callerServer *http.Server
	// callerPort is nil until the callers' port is open.
	callerPort    atomic.Pointer[conductor.DrainableServer]
	backendServer *http.Server
	relayServer   *http.Server
	backendPort   *conductor.DrainableServer
	relayPort     *conductor.DrainableServer
	calls         *messenger.Mux
}

// ServeGate loads the credentials that the settings name and runs an entry
// instance until a signal has stopped it gracefully.
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

// NewGate returns an entry instance that opens no port before Run. The options
// apply to its calls to other processes.
func NewGate(settings loader.Gate, credentials certifier.Credentials, options ...messenger.Option) *Gate {
	g := &Gate{settings: settings, registry: metrics.NewRegistry(), closer: &connectionCloser{}}
	g.client = messenger.NewClient(credentials, options...)
	g.follower = watcher.NewFollower(settings.Region)
	g.dispatcher = dispatcher.New()
	g.membership = newMembership(settings, g.client, g.follower, g.dispatcher)
	g.configWatcher = newConfigWatcher(settings, g.client, g.follower, g.membership)
	g.auth = authenticator.New(settings.Region, g.follower, g.membership)
	g.reporter = reporter.New(g.registry)
	g.resources = conductor.NewResources(settings.MemoryMB, settings.MaxFiles, g.reporter)
	g.buildHandlers()
	return g
}

// buildHandlers builds the filter chains and the HTTP servers of the ports, and
// registers the calls that other processes make.
func (g *Gate) buildHandlers() {
	seed := uint64(time.Now().UnixNano())
	maxBody := g.settings.MaxBody
	if maxBody == 0 {
		maxBody = acceptor.DefaultMaxBodyBytes
	}
	p := newPeerCaller(g.settings, g.client, g.membership, g.follower)
	lending := lender.New(p)
	routing := router.New(g.settings.Region, g.follower, g.membership, maxBody, seed)
	sending := sender.New(g.dispatcher, p, g.reporter, routing, seed)
	sending.UseQuarantine(g.membership.evidence, g.reporter)
	g.router, g.sender = routing, sending
	g.grants = newGrantSyncer(g.settings, g.client, g.follower, lending)

	chain := exchanger.Chain(sending.Handle, g.auth, routing, claimer.NewFilter(p, routing), lending)
	relayed := acceptor.New(func(ctx context.Context, x *exchanger.Exchange) *exchanger.Refusal {
		if sender.RunsOnce(x.Request) {
			x.ClaimID = x.ID
		}
		return routing.HandleRelayed(ctx, x, sending.Handle)
	}, g.reporter, g.resources.Memory)

	callerMux := exactMux{
		handlersByPath: map[string]http.Handler{
			"/v1/instances": director.New(g.settings.Region, g.membership, g.auth),
			"/v1/metrics":   http.HandlerFunc(g.serveMetrics),
			"/v1/health":    http.HandlerFunc(g.serveHealth),
		},
		fallback: acceptor.New(chain, g.reporter, g.resources.Memory),
	}
	g.callerServer = &http.Server{
		Handler:           g.closer.wrap(callerMux),
		ReadHeaderTimeout: acceptor.HeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	g.backendServer = newAnnouncementServer(g.dispatcher, g.resources)
	g.relayServer = &http.Server{
		Handler:           &relayHandler{follower: g.follower, serve: relayed.Serve},
		ReadHeaderTimeout: readHeaderTimeout,
	}
	g.relayPort = conductor.NewDrainableServer(g.relayServer)
	g.registerCalls(lending)
}

// registerCalls registers the calls of other entry instances and of keepers.
func (g *Gate) registerCalls(lend *lender.Lender) {
	entryRoles := []certifier.Role{certifier.RoleGate}
	keeperRoles := []certifier.Role{certifier.RoleKeeper}
	g.calls = &messenger.Mux{}
	messenger.Handle(g.calls, methodGossip, entryRoles, g.membership.handleGossip)
	messenger.Handle(g.calls, methodEvidence, entryRoles, g.membership.evidence.serve)
	messenger.Handle(g.calls, keeper.MethodWatch, entryRoles, g.configWatcher.serve)
	messenger.Handle(g.calls, keeper.MethodBurn, keeperRoles,
		func(context.Context, certifier.Identity, keeper.BurnQuery) (reporter.Counts, error) {
			return g.reporter.Counts(g.settings.Region), nil
		})
	messenger.Handle(g.calls, keeper.MethodServers, keeperRoles, g.serveServers)
	registerLender(g.calls, lend)
	deliverer := &orderDeliverer{settings: g.settings, client: g.client, dispatcher: g.dispatcher}
	messenger.Handle(g.calls, keeper.MethodDeliver, keeperRoles, deliverer.deliver)
}

// serveServers returns the backend servers of this failure domain to a keeper.
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

// Run opens the ports and serves until a signal has stopped the instance
// gracefully. The callers' port opens only when the instance can serve.
func (g *Gate) Run(ctx context.Context, credentials certifier.Credentials) error {
	actors := &conductor.Actors{}
	actors.CatchSignals()
	ports, err := g.listen()
	if err != nil {
		return err
	}
	peerServer := messenger.NewServer(ports.peers, credentials, g.calls)
	defer g.client.Close()
	actors.Add("dispatcher", g.dispatcher.Run)
	actors.Add("gossip", g.membership.run)
	actors.Add("evidence", g.membership.evidence.run)
	actors.Add("ledger", g.grants.run)
	actors.Add("configurator", g.applyConfigurations)
	actors.Add("sweeper", g.sweepOpenRequests)
	for _, k := range g.settings.Keepers {
		actors.Add("watch-"+k.Name, func(ctx context.Context) error { return g.configWatcher.watchKeeper(ctx, k) })
	}
	for slot := range upstreamsPerDomain {
		actors.Add("watch-lead", func(ctx context.Context) error { return g.configWatcher.watchUpstream(ctx, slot) })
	}
	actors.Add("catch-up", g.configWatcher.catchUp)
	actors.Add("peers", peerServer.Run)
	actors.Serve("relays", g.relayServer, peerServer.HTTPListener())
	actors.Serve("backends", g.backendServer, ports.backends.Listener)
	callers := make(chan net.Listener, 1)
	actors.ServeWhenOpened("callers", g.callerServer, callers)
	actors.Add("starter", func(ctx context.Context) error { return g.openCallerPort(ctx, callers) })
	return actors.Run(ctx, g.stop)
}

// ports are the listeners that an entry instance opens at once.
type ports struct {
	backends *conductor.DrainableServer
	peers    net.Listener
}

func (g *Gate) listen() (ports, error) {
	var p ports
	var err error
	if p.backends, err = conductor.NewPort(g.backendServer, g.settings.BackendAddress.String()); err != nil {
		return p, trace.Wrap(err, "backend-address")
	}
	g.backendPort = p.backends
	p.backends.Listener.Limits = g.resources.Port("backends", shareBackends)
	p.peers, err = listenPeers(g.settings.PeerAddress, g.resources, shareGatePeers)
	return p, err
}

// openCallerPort opens the callers' port and marks the instance ready once it
// can serve: it has a configuration, it has backend servers and grants or has
// waited capacityTimeout for them, and one more announcement period has passed,
// in which every backend server should have announced itself. Until then callers
// use other instances. It returns when ctx ends.
func (g *Gate) openCallerPort(ctx context.Context, callers chan<- net.Listener) error {
	for g.follower.View().Revision == 0 && ctx.Err() == nil {
		conductor.Sleep(ctx, startPollInterval)
	}
	waitingSince := time.Now()
	for !g.hasCapacity() && time.Since(waitingSince) < capacityTimeout && ctx.Err() == nil {
		conductor.Sleep(ctx, startPollInterval)
	}
	conductor.Sleep(ctx, tracker.AnnouncementPeriod)
	if ctx.Err() != nil {
		return nil
	}
	listener, err := g.listenCallers()
	if err != nil {
		return err
	}
	callers <- listener
	g.membership.markReady()
	klog.InfoS("entry instance ready", "name", g.settings.Name, "callers", g.settings.CallerAddress.String())
	<-ctx.Done()
	return nil
}

// hasCapacity reports whether the instance knows backend servers and has
// received grants.
func (g *Gate) hasCapacity() bool {
	return len(g.dispatcher.Summary()) > 0 && g.grants.receivedGrants.Load()
}

// listenCallers opens the callers' port, with TLS if the settings name a
// certificate for it.
func (g *Gate) listenCallers() (net.Listener, error) {
	port, err := conductor.NewPort(g.callerServer, g.settings.CallerAddress.String())
	if err != nil {
		return nil, trace.Wrap(err, "caller-address")
	}
	g.callerPort.Store(port)
	port.Listener.Limits = g.resources.Port("callers", shareCallers).Public()
	if g.settings.CallerTLS == nil {
		return port.Listener, nil
	}
	pair, err := tls.LoadX509KeyPair(g.settings.CallerTLS.Certificate, g.settings.CallerTLS.Key)
	if err != nil {
		return nil, trace.Wrap(err, "caller-tls")
	}
	port.Listener.Limits.Secure()
	return tls.NewListener(port.Listener, &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}, NextProtos: []string{"http/1.1"},
	}), nil
}

// applyConfigurations passes every new configuration to the rate limiter and
// re-checks the open requests against it, until ctx ends.
func (g *Gate) applyConfigurations(ctx context.Context) error {
	for {
		changed := g.follower.Changed()
		g.grants.applyConfiguration(g.follower.View())
		g.auth.CancelUnaccepted()
		g.sender.CancelWaiting(g.router.IsElsewhere)
		select {
		case <-changed:
			klog.V(1).InfoS("configuration changed", "revision", g.follower.View().Revision)
		case <-ctx.Done():
			return nil
		}
	}
}

// sweepOpenRequests ends the open requests whose keys no longer count, every
// sweepInterval until ctx ends.
func (g *Gate) sweepOpenRequests(ctx context.Context) error {
	for ctx.Err() == nil {
		g.auth.CancelUnaccepted()
		conductor.Sleep(ctx, sweepInterval)
	}
	return nil
}

// stop shuts the instance down gracefully: it announces the state stopping to
// all live instances, which removes it from the directory, returns its leased
// grants, goes on serving while callers may still use a cached directory, and
// closes the ports when the last request has ended or the stop limit is
// reached.
func (g *Gate) stop(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(g.settings.StopLimit, defaultStopLimit))
	defer cancel()
	klog.InfoS("stopping", "open-requests", g.auth.InFlight())
	g.closer.activate()
	g.relayPort.CloseConnections()
	g.membership.announceState(ctx, gossiper.StateStopping)
	g.grants.surrender(ctx)
	conductor.Sleep(ctx, cmp.Or(g.settings.StopLinger, defaultStopLinger))
	if port := g.callerPort.Load(); port != nil {
		for ctx.Err() == nil && !port.AllIdle(began, stopIdleTime) {
			conductor.Sleep(ctx, stopPollInterval)
		}
		if err := port.Close(ctx, stopIdleTime); err != nil {
			klog.ErrorS(err, "requests cut at the stop limit")
		}
	}
	for _, port := range []*conductor.DrainableServer{g.relayPort, g.backendPort} {
		if err := port.Close(ctx, 0); err != nil {
			klog.ErrorS(err, "requests cut at the stop limit")
		}
	}
	klog.InfoS("stopped", "open-requests", g.auth.InFlight(), "took", time.Since(began))
}

func (g *Gate) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(g.registry, w)
}

// serveHealth answers 204 if the instance has a configuration and 503 if not.
func (g *Gate) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if g.follower.View().Revision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// connectionCloser asks callers to close their connections during a shutdown.
type connectionCloser struct {
	closing atomic.Bool
}

func (c *connectionCloser) activate() {
	c.closing.Store(true)
}

// wrap adds "Connection: close" to the answers of a handler once activate has
// been called.
func (c *connectionCloser) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
