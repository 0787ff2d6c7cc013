package messenger

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/certifier"
)

// TestOddTextMakesCallFail passes texts that are not UTF-8 both ways.
func TestOddTextMakesCallFail(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := &Mux{}
	Handle(mux, "echo", []certifier.Role{certifier.RoleKeeper}, func(_ context.Context, _ certifier.Identity, texts []string) ([]string, error) {
		return texts, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- NewPlainServer(listener, mux).Run(ctx) }()
	client := NewPlainClient(certifier.Identity{Name: "a", Role: certifier.RoleKeeper})
	to := Endpoint{Name: "b", Address: netip.MustParseAddrPort(listener.Addr().String())}
	sent := []string{"sound", "\xff\xfe", "щ"}
	received, err := Call[[]string, []string](ctx, client, to, "echo", sent)
	assert.NilError(t, err)
	assert.DeepEqual(t, received, sent)
	client.Close()
	cancel()
	assert.NilError(t, <-ended)
}
