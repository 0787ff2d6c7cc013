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

// Timing of group membership.
const (
	// joinInterval is the time between two membership checks, each of which may
	// try to join.
	joinInterval = 300 * time.Millisecond
	// leaderlessTimeout is how long a member may know no leader before it asks to
	// join again: it may have been removed while it was disconnected.
	leaderlessTimeout = 2 * time.Second
)

// founderStoreID returns the store ID of a seed's first disk. Because it follows
// from the peer address, every seed knows the IDs of the others without asking,
// and all found the same group. Only a process that starts together with the
// whole fleet may use it: a disk that replaces the first one gets a random ID.
func founderStoreID(peer netip.AddrPort) replicator.StoreID {
	return replicator.StoreID("first-" + peer.String())
}

// isFounder reports whether this process is one of the group's founders: a seed
// that is set to bootstrap.
func (c *Controller) isFounder() bool {
	return c.settings.Bootstrap && slices.Contains(c.settings.SeedPeers(), c.settings.PeerAddress)
}

// runMember founds the group if this process is a founder with its first disk.
// From then on it joins the group whenever this store is no member, or may have
// been removed without noticing.
func (c *Controller) runMember(ctx context.Context) error {
	if c.isFounder() && c.identity.Store == founderStoreID(c.settings.PeerAddress) {
		c.foundGroup(ctx)
	}
	lastLeaderSeen := time.Now()
	return conductor.RunEvery(ctx, joinInterval, func(ctx context.Context) {
		if _, hasLeader := c.group.Leader(); hasLeader && c.isMember(c.identity.Store) {
			lastLeaderSeen = time.Now()
			return
		}
		if c.isMember(c.identity.Store) && time.Since(lastLeaderSeen) < leaderlessTimeout {
			return
		}
		c.join(ctx)
	})
}

// isMember reports whether a store is a member of the group, as far as this
// instance knows.
func (c *Controller) isMember(store replicator.StoreID) bool {
	return slices.ContainsFunc(c.group.Status().Members, func(m replicator.Member) bool { return m.Store == store })
}

// foundGroup founds the group with the seeds as its voters, unless it has
// members already. The members are sorted by address, so that all founders
// agree.
func (c *Controller) foundGroup(ctx context.Context) {
	if len(c.group.Status().Members) > 0 {
		return
	}
	var members []replicator.Member
	for _, peer := range c.settings.SeedPeers() {
		members = append(members, replicator.Member{Name: peer.String(), Store: founderStoreID(peer), Voter: true})
	}
	slices.SortFunc(members, func(a, b replicator.Member) int {
		return netip.MustParseAddrPort(a.Name).Compare(netip.MustParseAddrPort(b.Name))
	})
	if err := c.group.Bootstrap(ctx, members); err != nil {
		klog.ErrorS(err, "cannot found the replication group")
		return
	}
	klog.InfoS("group founded", "members", len(members), "store", c.identity.Store)
}

// joinQuery asks the leader to admit a store to the group.
type joinQuery struct {
	// Name is the member's name, its peer address.
	Name  string             `cbor:"n"`
	Store replicator.StoreID `cbor:"s"`
}

// joinAnswer is empty if the store is a member now. Otherwise Leader is the peer
// address of the leader, which must be asked instead.
type joinAnswer struct {
	Leader string `cbor:"l,omitempty"`
}

// join asks the other control instances one after the other to admit this store,
// each at most once. A leader that one of them names is asked next.
func (c *Controller) join(ctx context.Context) {
	query := joinQuery{Name: c.settings.PeerAddress.String(), Store: c.identity.Store}
	asked := map[string]bool{query.Name: true}
	queue := c.controlAddresses()
	for len(queue) > 0 && ctx.Err() == nil {
		address := queue[0]
		queue = queue[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		answer, err := call[joinQuery, joinAnswer](ctx, c, address, methodJoin, query)
		if err != nil {
			klog.V(2).InfoS("join request failed", "asked", address, "err", logger.ErrorText(err))
			continue
		}
		if answer.Leader == "" {
			klog.InfoS("joined the replication group", "by", address, "store", c.identity.Store)
			return
		}
		queue = append([]string{answer.Leader}, queue...)
	}
}

func (c *Controller) serveJoin(ctx context.Context, _ certifier.Identity, query joinQuery) (joinAnswer, error) {
	if !c.group.IsLeader() {
		leader, known := c.group.Leader()
		if !known {
			return joinAnswer{}, trace.Wrap(ErrUnavailable)
		}
		return joinAnswer{Leader: leader.Name}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.group.Admit(ctx, query.Name, query.Store)
	if errors.Is(err, replicator.ErrMembershipRefused) && c.isMember(query.Store) {
		return joinAnswer{}, nil
	}
	klog.InfoS("join request handled", "name", query.Name, "store", query.Store, "err", logger.ErrorText(err))
	return joinAnswer{}, trace.Wrap(err)
}

func (c *Controller) serveReplicate(_ context.Context, _ certifier.Identity, query replicateQuery) (replicateAnswer, error) {
	c.transport.recordSender(query)
	frame, err := decompress(query.Frame, query.Compressed)
	if err != nil {
		return replicateAnswer{}, trace.Wrap(err, "message from %s", query.Sender)
	}
	return replicateAnswer{}, c.group.Deliver(frame)
}

// call calls the control instance at a peer address and waits at most
// callTimeout. If the call does not end in time, its connection is closed.
func call[Q, A any](ctx context.Context, c *Controller, address, method string, query Q) (A, error) {
	var answer A
	endpoint, err := parseEndpoint(address)
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
