package runner

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/warden"
)

// methodEvidence is the call with which an entry instance tells another one what it knows
// of requests that crash backend servers.
const methodEvidence = "evidence"

const (
	// evidenceInterval is how long evidence is batched before it is told to all live
	// instances.
	evidenceInterval = 100 * time.Millisecond
	// evidenceTimeout limits one such call. Gossip repairs what did not arrive.
	evidenceTimeout = time.Second
)

// evidenceReport carries evidence about requests.
type evidenceReport struct {
	Requests []quarantiner.Part `cbor:"r"`
}

type evidenceAnswer struct{}

// evidenceSharer is the quarantine of one entry instance, which it shares with the others:
// new evidence is sent to all of them at once, and gossip compares the tables. It is safe
// for concurrent use.
type evidenceSharer struct {
	warden.Warden
	name       string
	client     *messenger.Client
	membership *membership
	dispatcher *dispatcher.Dispatcher
}

// Admit implements sender.Quarantine.
func (e *evidenceSharer) Admit(traits quarantiner.Traits) quarantiner.Admission {
	return e.Warden.Admit(traits, e.name, func() []string {
		var names []string
		for _, instance := range e.membership.Instances() {
			names = append(names, instance.Name)
		}
		return names
	})
}

// RecordCrash implements sender.Quarantine. Servers that leave have not crashed.
func (e *evidenceSharer) RecordCrash(at time.Time, server registrar.Server, traits quarantiner.Traits) {
	if _, usable := e.dispatcher.Servers()[server.Name]; usable {
		e.Warden.RecordCrash(at, server, traits)
	}
}

// run tells the live instances new evidence until ctx ends.
func (e *evidenceSharer) run(ctx context.Context) error {
	return conductor.RunEvery(ctx, evidenceInterval, func(ctx context.Context) {
		requests, revision := e.Due(time.Now())
		if len(requests) == 0 {
			return
		}
		var wait sync.WaitGroup
		for _, to := range peerEndpoints(e.membership.LivePeers()) {
			wait.Go(func() { e.tell(ctx, to, requests) })
		}
		wait.Wait()
		e.RecordReported(revision)
	})
}

// tell sends evidence to one instance. A failure is only logged.
func (e *evidenceSharer) tell(ctx context.Context, to messenger.Endpoint, requests []quarantiner.Part) {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	if _, err := messenger.Call[evidenceReport, evidenceAnswer](ctx, e.client, to, methodEvidence, evidenceReport{Requests: requests}); err != nil {
		klog.V(2).InfoS("cannot tell evidence about requests", "peer", to.Name, "requests", len(requests), "err", err)
	}
}

func (e *evidenceSharer) serve(_ context.Context, _ certifier.Identity, report evidenceReport) (evidenceAnswer, error) {
	e.Merge(time.Now(), report.Requests)
	return evidenceAnswer{}, nil
}

// reconcile brings the tables of this instance and another one together after gossip, which
// has told the digest of the other one's table and, if it differs, that table.
func (e *evidenceSharer) reconcile(ctx context.Context, to messenger.Endpoint, digest uint64, requests []quarantiner.Part) {
	now := time.Now()
	e.Merge(now, requests)
	if digest != e.Digest() {
		e.tell(ctx, to, e.All(now))
	}
}
