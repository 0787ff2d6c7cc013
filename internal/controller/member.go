package controller

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/replicator"
)

// Times of membership.
const (
	// joinInterval is the time between two tries to be let in.
	joinInterval = 300 * time.Millisecond
	// leaderless is how long a member may know no leader before it asks to be
	// let in again: it may have been dropped while it was cut off.
	leaderless = 2 * time.Second
)

// firstStore is the identity of the first disk of a seed. Every seed knows it of
// the others without asking, so that all found the same group. Only a process
// that starts with the whole fleet may take it: a disk that replaces the first
// one gets a drawn identity.
func firstStore(peer netip.AddrPort) replicator.StoreID {
	return replicator.StoreID("first-" + peer.String())
}

// founds reports whether this process is one of those that found the group.
func (c *Controller) founds() bool {
	return c.settings.Bootstrap && slices.Contains(c.settings.SeedPeers(), c.settings.PeerAddress)
}

// runMember founds the group or joins it, and joins again when it was dropped.
func (c *Controller) runMember(ctx context.Context) error {
	if c.founds() && c.identity.Store == firstStore(c.settings.PeerAddress) {
		c.found(ctx)
	}
	known := time.Now()
	return conductor.Every(ctx, joinInterval, func(ctx context.Context) {
		if _, led := c.group.Leader(); led && c.member(c.identity.Store) {
			known = time.Now()
			return
		}
		if c.member(c.identity.Store) && time.Since(known) < leaderless {
			return
		}
		c.join(ctx)
	})
}

func (c *Controller) member(store replicator.StoreID) bool {
	return slices.ContainsFunc(c.group.Status().Members, func(m replicator.Member) bool { return m.Store == store })
}

// found makes the seeds the first members.
func (c *Controller) found(ctx context.Context) {
	if len(c.group.Status().Members) > 0 {
		return
	}
	var members []replicator.Member
	for _, peer := range c.settings.SeedPeers() {
		members = append(members, replicator.Member{Name: peer.String(), Store: firstStore(peer), Voter: true})
	}
	slices.SortFunc(members, func(a, b replicator.Member) int {
		return netip.MustParseAddrPort(a.Name).Compare(netip.MustParseAddrPort(b.Name))
	})
	if err := c.group.Found(ctx, members); err != nil {
		klog.ErrorS(err, "group not founded")
		return
	}
	klog.InfoS("group founded", "members", len(members), "store", c.identity.Store)
}

// joinQuery asks to be let in.
type joinQuery struct {
	Name  string             `cbor:"n"`
	Store replicator.StoreID `cbor:"s"`
}

// joinAnswer names the leader, if another must be asked.
type joinAnswer struct {
	Leader string `cbor:"l,omitempty"`
}

// join asks the control instances in turn, and the leader that they name.
func (c *Controller) join(ctx context.Context) {
	query := joinQuery{Name: c.settings.PeerAddress.String(), Store: c.identity.Store}
	asked := map[string]bool{query.Name: true}
	queue := c.controls()
	for len(queue) > 0 && ctx.Err() == nil {
		address := queue[0]
		queue = queue[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		answer, err := call[joinQuery, joinAnswer](ctx, c, address, methodJoin, query)
		if err != nil {
			klog.V(2).InfoS("not let in", "asked", address, "err", logger.Reason(err))
			continue
		}
		if answer.Leader == "" {
			klog.InfoS("let in", "by", address, "store", c.identity.Store)
			return
		}
		queue = append([]string{answer.Leader}, queue...)
	}
}

func (c *Controller) serveJoin(ctx context.Context, _ certifier.Identity, query joinQuery) (joinAnswer, error) {
	if !c.group.Leads() {
		leader, known := c.group.Leader()
		if !known {
			return joinAnswer{}, trace.Wrap(ErrUnavailable)
		}
		return joinAnswer{Leader: leader.Name}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.group.Admit(ctx, query.Name, query.Store)
	if errors.Is(err, replicator.ErrMember) && c.member(query.Store) {
		return joinAnswer{}, nil
	}
	klog.InfoS("store asks to be let in", "name", query.Name, "store", query.Store, "err", logger.Reason(err))
	return joinAnswer{}, trace.Wrap(err)
}

func (c *Controller) serveReplicate(_ context.Context, _ certifier.Identity, query replicateQuery) (replicateAnswer, error) {
	c.couriers.heard(query.Store, query.Sender)
	return replicateAnswer{}, c.group.Deliver(query.Frame)
}

// call calls another control instance within callTimeout. A connection whose
// calls do not end is given up.
func call[Q, A any](ctx context.Context, c *Controller, address, method string, query Q) (A, error) {
	var answer A
	endpoint, err := endpointOf(address)
	if err != nil {
		return answer, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err = messenger.Call[Q, A](ctx, c.client, endpoint, method, query)
	if ctx.Err() != nil {
		c.client.Reset(endpoint)
	}
	return answer, err
}
