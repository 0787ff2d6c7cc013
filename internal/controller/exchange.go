package controller

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
)

// Calls with which control instances share the announcements of backend servers.
const (
	methodExchange = "servers-exchange"
	methodForward  = "servers-tell"
	// methodDescribe takes a ServersQuery and returns a ServersAnswer.
	methodDescribe = "servers-describe"
)

// Limits of sharing.
const (
	// forwardInterval is how long announcements are batched before they are
	// forwarded. Departures are also forwarded at once.
	forwardInterval = 200 * time.Millisecond
	// exchangeInterval is the time between two exchanges of complete tables, each
	// with one other control instance.
	exchangeInterval = 2 * time.Second
	// maxPendingForwards bounds the announcements that wait to be forwarded. More
	// are dropped; the next exchange covers them.
	maxPendingForwards = 4096
)

// forwardQuery carries announcements to another control instance: those of ready servers as
// references if it accepts them, since most of them only say that a server still lives.
type forwardQuery struct {
	Servers    registrar.List        `cbor:"s"`
	References []registrar.Reference `cbor:"r,omitempty"`
}

type forwardAnswer struct {
	// AcceptsReferences means that the answering process knows references; one of an
	// earlier release does not.
	AcceptsReferences bool `cbor:"a,omitempty"`
	// Missing are the hashes of references that it has no description for.
	Missing []uint64 `cbor:"m,omitempty"`
}

// exchangedTables is what each side of an exchange sends to the other.
type exchangedTables struct {
	Servers    registrar.List        `cbor:"s"`
	References []registrar.Reference `cbor:"r,omitempty"`
	// AcceptsReferences and Missing are as in a forwardAnswer. Missing belongs to the query.
	AcceptsReferences bool     `cbor:"a,omitempty"`
	Missing           []uint64 `cbor:"m,omitempty"`
	// Controls are peer addresses, the sender's first.
	Controls   []string           `cbor:"c"`
	Quarantine []quarantiner.Part `cbor:"q,omitempty"`
	// QuarantineDigest is that of the sender's table; see quarantiner.Table.Digest. The
	// table itself is left out if the other side is known to have the same.
	QuarantineDigest uint64 `cbor:"h,omitempty"`
}

// divide returns the servers that are sent as they are, and references to the others.
func divide(servers []registrar.Server, acceptsReferences bool) (full registrar.List, references []registrar.Reference) {
	for _, server := range servers {
		if acceptsReferences && server.State == registrar.StateReady {
			references = append(references, server.Reference())
			continue
		}
		full = append(full, server)
	}
	return full, references
}

// forward sends announcements to one control instance. A failure is only logged.
func (c *Controller) forward(ctx context.Context, address string, servers []registrar.Server) {
	c.mu.Lock()
	accepts := c.acceptsReferences[address]
	c.mu.Unlock()
	var query forwardQuery
	query.Servers, query.References = divide(servers, accepts)
	answer, err := call[forwardQuery, forwardAnswer](ctx, c, address, methodForward, query)
	if err == nil {
		c.recordAcceptance(address, answer.AcceptsReferences)
		err = c.forwardDescribed(ctx, address, answer.Missing)
	}
	if err != nil {
		klog.V(2).InfoS("cannot forward server announcements", "to", address, "count", len(servers), "err", logger.ErrorText(err))
	}
}

// forwardDescribed sends the servers with some description hashes to a control instance.
func (c *Controller) forwardDescribed(ctx context.Context, address string, hashes []uint64) error {
	var query forwardQuery
	now := time.Now()
	c.mu.Lock()
	for _, hash := range hashes {
		if server, known := c.servers.Described(now, hash); known {
			query.Servers = append(query.Servers, server)
		}
	}
	c.mu.Unlock()
	if len(query.Servers) == 0 {
		return nil
	}
	_, err := call[forwardQuery, forwardAnswer](ctx, c, address, methodForward, query)
	return err
}

// recordAcceptance records whether the process at a peer address knows references.
func (c *Controller) recordAcceptance(address string, accepts bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acceptsReferences == nil {
		c.acceptsReferences = map[string]bool{}
	}
	c.acceptsReferences[address] = accepts
}

func (c *Controller) serveForward(_ context.Context, _ certifier.Identity, query forwardQuery) (forwardAnswer, error) {
	c.mergeServers(query.Servers)
	return forwardAnswer{AcceptsReferences: true, Missing: c.mergeReferences(query.References)}, nil
}

// mergeReferences adds announcements that another control instance has sent as references.
// It returns the hashes of those that lack a description.
func (c *Controller) mergeReferences(references []registrar.Reference) (missing []uint64) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reference := range references {
		described, known := c.servers.Described(now, reference.Hash)
		if !known {
			missing = append(missing, reference.Hash)
			continue
		}
		if server := reference.Apply(described); server.Check(now.Add(registrar.MaxClockError)) == nil {
			c.mergeServer(now, server)
		}
	}
	return missing
}

// runExchange exchanges complete tables, first with all other control instances,
// then with one of them at a time. This repairs what was lost in transit or by a
// restart.
func (c *Controller) runExchange(ctx context.Context) error {
	turn := 0
	c.exchangeAll(ctx)
	return conductor.RunEvery(ctx, exchangeInterval, func(ctx context.Context) {
		others := c.otherControls()
		if len(others) == 0 {
			return
		}
		turn++
		c.exchange(ctx, others[turn%len(others)])
	})
}

// exchangeAll exchanges tables with all other control instances, one by one.
func (c *Controller) exchangeAll(ctx context.Context) {
	for _, address := range c.otherControls() {
		c.exchange(ctx, address)
	}
}

// exchange exchanges tables with one control instance. A failure is only logged.
func (c *Controller) exchange(ctx context.Context, address string) {
	if err := c.tryExchange(ctx, address); err != nil {
		klog.V(2).InfoS("cannot exchange tables with a control instance", "with", address, "err", logger.ErrorText(err))
	}
}

func (c *Controller) tryExchange(ctx context.Context, address string) error {
	c.mu.Lock()
	digest, accepts := c.quarantineDigests[address], c.acceptsReferences[address]
	c.mu.Unlock()
	tables := c.localTables(digest)
	tables.Servers, tables.References = divide(tables.Servers, accepts)
	answer, err := call[exchangedTables, exchangedTables](ctx, c, address, methodExchange, tables)
	if err != nil {
		return trace.Wrap(err)
	}
	c.recordAcceptance(address, answer.AcceptsReferences)
	missing := c.mergeTables(answer)
	c.mu.Lock()
	c.quarantineDigests[address] = answer.QuarantineDigest
	c.mu.Unlock()
	if err := c.forwardDescribed(ctx, address, answer.Missing); err != nil {
		return trace.Wrap(err)
	}
	complete := true
	for hashes := range slices.Chunk(missing, MaxFetchedServers) {
		described, err := call[ServersQuery, ServersAnswer](ctx, c, address, methodDescribe, ServersQuery{Hashes: hashes})
		if err != nil {
			return trace.Wrap(err)
		}
		c.mergeServers(described.Servers)
		complete = complete && len(described.Servers) == len(hashes)
	}
	if complete {
		c.recordExchange(answer)
	}
	return nil
}

func (c *Controller) serveExchange(_ context.Context, _ certifier.Identity, query exchangedTables) (exchangedTables, error) {
	answer := c.localTables(query.QuarantineDigest)
	answer.Servers, answer.References = divide(answer.Servers, query.AcceptsReferences)
	if answer.Missing = c.mergeTables(query); len(answer.Missing) == 0 {
		c.recordExchange(query)
	}
	return answer, nil
}

// localTables returns the tables of this instance. That of the quarantine is left out if
// its digest is the one that the other side had last. c.mu must not be held.
func (c *Controller) localTables(othersDigest uint64) exchangedTables {
	controls := c.controlAddresses()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	tables := exchangedTables{Servers: c.servers.Since(now, 0), AcceptsReferences: true, Controls: controls, QuarantineDigest: c.quarantine.Digest()}
	if tables.QuarantineDigest != othersDigest {
		tables.Quarantine = c.quarantine.Since(now, 0)
	}
	return tables
}

// mergeTables adds the tables of another control instance. It returns the hashes of the
// references that lack a description.
func (c *Controller) mergeTables(tables exchangedTables) (missing []uint64) {
	c.mergeServers(tables.Servers)
	c.mergeEvidence(tables.Quarantine)
	return c.mergeReferences(tables.References)
}

// recordExchange records that this instance has all servers of another one's tables. Of the
// control addresses only the first, the sender's own, counts: the others were not heard here.
func (c *Controller) recordExchange(tables exchangedTables) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers.addControls(time.Now(), tables.Controls[:min(1, len(tables.Controls))]) {
		c.notifyWatchers()
	}
}
