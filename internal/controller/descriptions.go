package controller

import (
	"context"
	"time"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/registrar"
)

// MethodServers is the call with which an entry instance fetches servers that a watch was
// only sent references of. It takes a ServersQuery and returns a ServersAnswer.
const MethodServers = "state-servers"

// MaxFetchedServers bounds the servers of one ServersAnswer, so that watches don't wait
// behind a long one on a narrow link.
const MaxFetchedServers = 256

// ServersQuery asks for servers by the hashes of their descriptions.
type ServersQuery struct {
	Hashes []uint64 `cbor:"h"`
	// Region is that of the servers; empty for any.
	Region string `cbor:"r,omitempty"`
}

// ServersAnswer has the servers of a ServersQuery, without those whose description has
// changed since: a watch tells of that.
type ServersAnswer struct {
	Servers registrar.List `cbor:"s"`
}

func (c *Controller) serveServers(_ context.Context, _ certifier.Identity, query ServersQuery) (ServersAnswer, error) {
	var answer ServersAnswer
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hash := range query.Hashes[:min(len(query.Hashes), MaxFetchedServers)] {
		server, known := c.servers.Described(now, hash)
		if known && (query.Region == "" || c.settings.FailureDomains[server.FailureDomain] == query.Region) {
			answer.Servers = append(answer.Servers, server)
		}
	}
	return answer, nil
}
