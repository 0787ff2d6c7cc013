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

	"github.com/boragehead/boragehead/internal/matcher"
)

// HeaderFencingNumber is the header with the fencing number of an order.
const HeaderFencingNumber = "Boragehead-Fencing-Number"

// OrdersPath is the path at which model engines accept orders.
const OrdersPath = "/v1/orders"

// maxHeadBytes bounds the head of an engine's answer to an order. The body is not
// read.
const maxHeadBytes = 64 << 10

// orderBody is the JSON body of an order.
type orderBody struct {
	Kind     Kind   `json:"kind"`
	Argument string `json:"argument"`
}

// Sender sends orders to model engines. The zero value is ready to use, and its
// methods may be called concurrently.
type Sender struct {
	// Clock returns the current time; time.Now if nil.
	Clock func() time.Time
}

// Send delivers a ticket that was received at the given time. It returns ErrStale
// if the ticket is too old. Freshness is checked immediately before the order is
// written: a process that was suspended in between finds the ticket stale, and the
// deadline of the connection ends a write that was itself suspended.
func (s *Sender) Send(ctx context.Context, address netip.AddrPort, ticket Ticket, received time.Time) error {
	body, err := json.Marshal(orderBody{Kind: ticket.Order.Kind, Argument: ticket.Order.Argument})
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithDeadline(ctx, received.Add(Lifetime-ticket.Age))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+OrdersPath, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderFencingNumber, strconv.FormatUint(ticket.Number, 10))
	response, err := s.transport(ticket, received).RoundTrip(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := matcher.CheckHead(response); err != nil {
		return trace.Wrap(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return trace.Errorf("the server refused the order with status %d", response.StatusCode)
	}
	return nil
}

// transport returns a transport with a new connection for each order, which checks
// the ticket again on every write.
func (s *Sender) transport(ticket Ticket, received time.Time) *http.Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &freshConn{Conn: conn, fresh: func() bool { return ticket.Fresh(received, s.now()) }}, nil
	}
	return &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
}

func (s *Sender) now() time.Time {
	if s.Clock == nil {
		return time.Now()
	}
	return s.Clock()
}

// freshConn is a connection that fails writes with ErrStale once fresh returns
// false.
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
