package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// HeaderNumber carries the fencing number.
const HeaderNumber = "Boragehead-Fencing-Number"

// Path is where engines take orders.
const Path = "/v1/orders"

// orderBody is the JSON form of an order.
type orderBody struct {
	Kind     Kind   `json:"kind"`
	Argument string `json:"argument"`
}

// Courier sends orders to engines. The zero value is ready to use.
type Courier struct {
	// Clock is time.Now unless set.
	Clock func() time.Time
}

// Send delivers a ticket that was received at a time. The check for freshness
// is the last thing before the order is written: a process that was frozen in
// between finds the ticket stale, and the connection's deadline ends a write
// that was frozen itself.
func (c *Courier) Send(ctx context.Context, address netip.AddrPort, ticket Ticket, received time.Time) error {
	body, err := json.Marshal(orderBody{Kind: ticket.Order.Kind, Argument: ticket.Order.Argument})
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithDeadline(ctx, received.Add(Lifetime-ticket.Age))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+Path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderNumber, strconv.FormatUint(ticket.Number, 10))
	response, err := c.transport(ticket, received).RoundTrip(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return trace.Errorf("the server refused the order with status %d", response.StatusCode)
	}
	return nil
}

// transport uses a connection of its own for each order, and checks the
// ticket once more when the connection stands.
func (c *Courier) transport(ticket Ticket, received time.Time) *http.Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &freshConn{Conn: conn, fresh: func() bool { return ticket.Fresh(received, c.now()) }}, nil
	}
	return &http.Transport{DialContext: dial, DisableKeepAlives: true}
}

func (c *Courier) now() time.Time {
	if c.Clock == nil {
		return time.Now()
	}
	return c.Clock()
}

// freshConn refuses to write once the ticket is stale.
type freshConn struct {
	net.Conn
	fresh func() bool
}

// Write implements net.Conn.
func (c *freshConn) Write(data []byte) (int, error) {
	if !c.fresh() {
		return 0, ErrStale
	}
	return c.Conn.Write(data)
}
