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

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(7000, 0)

// underway is a ticket that an entry instance holds, perhaps frozen.
type underway struct {
	ticket   orderer.Ticket
	received time.Time
}

// TestOldOrdersAreNeverObeyedLast issues orders under leaders that change, and
// holds them at instances that are frozen for as long as one likes. An engine
// that checks refuses old numbers; at one that does not, the order that arrives
// last is always the newest that arrived.
func TestOldOrdersAreNeverObeyedLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		issuer := orderer.NewIssuer(now.Add(-time.Hour))
		order := orderer.Order{FailureDomain: "d", Server: "s", Kind: orderer.KindLoadModel}
		var waiting []underway
		number, obeyed := uint64(0), uint64(0)
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
				waiting = append(waiting, underway{
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
				assert.Assert(t, held.ticket.Number >= obeyed, "order %d arrived after %d", held.ticket.Number, obeyed)
				obeyed = held.ticket.Number
			}
		}
	})
}

// TestFrozenSenderSendsNothing sends tickets of different ages to an engine
// that checks numbers and to one that does not.
func TestFrozenSenderSendsNothing(t *testing.T) {
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
				courier := &orderer.Courier{Clock: func() time.Time { return received.Add(frozen) }}
				order := orderer.Order{Server: "s", Kind: orderer.KindLoadModel, Argument: fmt.Sprint("model-", number)}
				return courier.Send(context.Background(), address, orderer.Ticket{Order: order, Number: number}, received)
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

// ExampleIssuer shows that a second order waits for the first.
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
