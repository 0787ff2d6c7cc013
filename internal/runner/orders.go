package runner

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/keeper"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/orderer"
)

// orderDeliverer sends operators' orders to the backend servers of this failure
// domain.
type orderDeliverer struct {
	settings   loader.Gate
	client     *messenger.Client
	dispatcher *dispatcher.Dispatcher
	sender     orderer.Sender
}

// deliver gets the order's fencing number from the calling keeper, which leads
// the group, and sends the order. The order's age includes the time of this
// call, so that a stale order is not sent.
func (o *orderDeliverer) deliver(ctx context.Context, from certifier.Identity, query keeper.DeliverQuery) (keeper.DeliverAnswer, error) {
	server, known := o.dispatcher.Servers()[query.Order.Server]
	if !known {
		return keeper.DeliverAnswer{}, trace.NotFound("no backend server %q in %s", query.Order.Server, o.settings.FailureDomain)
	}
	leader, known := o.keeperEndpoint(from.Name)
	if !known {
		return keeper.DeliverAnswer{}, trace.NotFound("no keeper %q", from.Name)
	}
	asked := time.Now()
	ticket, err := messenger.Call[keeper.NumberQuery, orderer.Ticket](ctx, o.client, leader, keeper.MethodNumber, keeper.NumberQuery{ID: query.ID})
	if err != nil {
		return keeper.DeliverAnswer{}, trace.Wrap(err)
	}
	if err := o.sender.Send(ctx, server.Address, ticket, asked); err != nil {
		return keeper.DeliverAnswer{}, trace.Wrap(err)
	}
	klog.InfoS("order delivered", "server", server.Name, "kind", ticket.Order.Kind, "number", ticket.Number, "checked", server.ChecksFencing)
	return keeper.DeliverAnswer{Number: ticket.Number}, nil
}

// keeperEndpoint returns the endpoint of the keeper with this name.
func (o *orderDeliverer) keeperEndpoint(name string) (messenger.Endpoint, bool) {
	for _, k := range o.settings.Keepers {
		if k.Name == name {
			return messenger.Endpoint{Name: k.Name, Address: k.Address}, true
		}
	}
	return messenger.Endpoint{}, false
}
