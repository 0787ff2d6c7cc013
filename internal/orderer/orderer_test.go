package orderer_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragehead/boragehead/internal/imitator"
	"github.com/boragehead/boragehead/internal/orderer"
)

// TestMain fixes the seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(7000, 0)

// heldTicket is a ticket at an entry instance, which may be suspended.
type heldTicket struct {
	ticket   orderer.Ticket
	received time.Time
}

// TestOlderOrderNeverFollowsNewer issues orders under changing leaders, to entry
// instances that are suspended for any time before they send. An engine that checks
// fencing numbers refuses old ones; at an engine that does not, no order may arrive
// after a newer one has arrived.
func TestOlderOrderNeverFollowsNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		issuer := orderer.NewIssuer(now.Add(-time.Hour))
		order := orderer.Order{FailureDomain: "d", Server: "s", Kind: orderer.KindLoadModel}
		var waiting []heldTicket
		number, lastObeyed := uint64(0), uint64(0)
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				issuer = orderer.NewIssuer(now)
			case 1, 2:
				if _, err := issuer.Reserve(now, order); err != nil {
					continue
				}
				number++
				age := time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond
				waiting = append(waiting, heldTicket{
					ticket: orderer.Ticket{Order: order, Number: number, Age: age}, received: now.Add(age),
				})
			default:
				if len(waiting) == 0 {
					continue
				}
				held := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "which")]
				if now.Before(held.received) || !held.ticket.Fresh(held.received, now) {
					continue
				}
				assert.Assert(t, held.ticket.Number >= lastObeyed, "order %d arrived after %d", held.ticket.Number, lastObeyed)
				lastObeyed = held.ticket.Number
			}
		}
	})
}

// TestStaleTicketsAndOldNumbersAreRejected sends tickets of different ages to an
// engine that checks fencing numbers and to one that does not.
func TestStaleTicketsAndOldNumbersAreRejected(t *testing.T) {
	tests := []struct {
		name   string
		checks bool
		number uint64
		frozen time.Duration
		taken  bool
	}{
		{name: "fresh, does not check", number: 9, taken: true},
		{name: "frozen, does not check", number: 9, frozen: time.Minute},
		{name: "fresh, checks", checks: true, number: 9, taken: true},
		{name: "old number, checks", checks: true, number: 3},
		{name: "same number again, checks", checks: true, number: 5, taken: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := &imitator.Server{Name: "s", ChecksFencing: test.checks}
			listener := httptest.NewServer(server)
			defer listener.Close()
			address := netip.MustParseAddrPort(listener.Listener.Addr().String())
			send := func(number uint64, frozen time.Duration) error {
				received := time.Now()
				sender := &orderer.Sender{Clock: func() time.Time { return received.Add(frozen) }}
				order := orderer.Order{Server: "s", Kind: orderer.KindLoadModel, Argument: fmt.Sprint("model-", number)}
				return sender.Send(context.Background(), address, orderer.Ticket{Order: order, Number: number}, received)
			}
			assert.NilError(t, send(5, 0))
			err := send(test.number, test.frozen)
			assert.Equal(t, err == nil, test.taken, "%v", err)
			assert.Equal(t, len(server.Orders()) == 2, test.taken)
			if test.frozen > 0 {
				assert.Assert(t, errors.Is(err, orderer.ErrStale), "%v", err)
			}
		})
	}
}

// ExampleIssuer shows that a second order has to wait for the first.
func ExampleIssuer() {
	issuer := orderer.NewIssuer(start.Add(-time.Minute))
	order := orderer.Order{FailureDomain: "d", Server: "s", Kind: orderer.KindChangeRole, Argument: "prefill"}
	_, err := issuer.Reserve(start, order)
	fmt.Println(err)
	wait, err := issuer.Reserve(start.Add(2*time.Second), order)
	fmt.Println(wait, err)
	// Output:
	// <nil>
	// 4s an earlier order may still be on its way
}
