package runner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/imitator"
	"github.com/boragehead/boragehead/internal/loader"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/operator"
	"github.com/boragehead/boragehead/internal/runner"
	"github.com/boragehead/boragehead/internal/tabler"
)

// testTables have two regions of one failure domain each.
const testTables = `
regions:
  - {name: north, failure-domains: [north-1]}
  - {name: south, failure-domains: [south-1]}
pools:
  - {name: engines-north, region: north}
  - {name: engines-south, region: south}
  - {name: booking-north, region: north}
routes:
  - {name: chat, path: /v1/chat/completions, model: m, pools: [engines-north, engines-south], timeout: 60s}
  - {name: swaps, path: /swaps, pools: [booking-north], once: true, timeout: 10s}
  - {name: hours, path: /hours, pools: [booking-north], open: true, timeout: 10s}
workspaces:
  - {name: members, home-region: north, rate: 100000, burst: 1000000}
  - {name: roaming, rate: 100000, burst: 1000000}
`

// patience bounds every wait of the tests; it is far above what is needed.
const patience = 30 * time.Second

// testFleet is a fleet in one process, over real sockets on loopback.
type testFleet struct {
	t       testing.TB
	folder  string
	tables  string
	domains map[string]string
	links   *links
	client  *operator.Client
	// authority issues more certificates.
	authority *certifier.Authority
	keepers   []loader.Keeper
	peers     []loader.Peer
	gates     map[string]loader.Gate
	stops     map[string]func()
	servers   map[string]*imitator.Server
	tellers   map[string]*imitator.Announcer
}

// newFleet starts three keepers, two in the north and one in the south, and
// the entry instances n1 and n2 in the north and s1 in the south, each region
// with an engine.
func newFleet(t testing.TB) *testFleet {
	return newFleetWith(t, testTables, map[string]string{})
}

// newFleetWith starts a fleet whose processes may be in other failure domains
// than the first of their region.
func newFleetWith(t testing.TB, tables string, domains map[string]string) *testFleet {
	f := &testFleet{
		tables: tables, domains: domains,
		t: t, folder: t.TempDir(), links: newLinks(), gates: map[string]loader.Gate{}, stops: map[string]func(){},
		servers: map[string]*imitator.Server{}, tellers: map[string]*imitator.Announcer{},
	}
	authority, err := certifier.OpenAuthority(f.folder)
	assert.NilError(t, err)
	issue := func(name string, role certifier.Role) { assert.NilError(t, authority.Issue(f.folder, name, role, nil)) }
	issue("operator", certifier.RoleOperator)
	for _, place := range [][2]string{{"k1", "north"}, {"k2", "north"}, {"k3", "south"}} {
		issue(place[0], certifier.RoleKeeper)
		k := loader.Keeper{Name: place[0], Region: place[1], Address: freePort(), Operator: freePort()}
		f.keepers = append(f.keepers, k)
		f.links.place(k.Address, place[0], place[1])
	}
	for _, place := range [][2]string{{"n1", "north"}, {"n2", "north"}, {"s1", "south"}} {
		issue(place[0], certifier.RoleGate)
		gate := loader.Gate{
			Place:         loader.Place{Name: place[0], Region: place[1], FailureDomain: f.domainOf(place[0], place[1])},
			CallerAddress: freePort(), BackendAddress: freePort(), PeerAddress: freePort(),
			Keepers: f.keepers, StopLinger: 50 * time.Millisecond, MaxBody: 64 << 10,
		}
		f.gates[place[0]] = gate
		f.peers = append(f.peers, loader.Peer{Name: place[0], Address: gate.PeerAddress})
		f.links.place(gate.PeerAddress, place[0], place[1])
	}
	t.Cleanup(f.stopAll)
	for _, k := range f.keepers {
		f.startKeeper(k)
	}
	for name := range f.gates {
		f.startGate(name)
	}
	f.authority = authority
	f.client, err = operator.NewClient(loader.Client{Keepers: f.keepers, TLS: f.files("operator")})
	assert.NilError(t, err)
	f.found()
	f.startServer("engine-n", "engines-north", f.together("n1", "n2")...)
	f.startServer("engine-s", "engines-south", "s1")
	f.startServer("booking-n", "booking-north", f.together("n1", "n2")...)
	if f.domains["n2"] != "" {
		f.startServer("engine-n2", "engines-north", "n2")
	}
	f.awaitServing()
	return f
}

// lastAddress numbers the loopback addresses that tests have taken.
var lastAddress atomic.Uint32

// freePort returns a port of a loopback address that nothing else uses: a port
// of 127.0.0.1 could be taken by a connection before it is opened. Test
// processes that run at the same time have addresses of their own.
func freePort() netip.AddrPort {
	const (
		firstPort = 7000
		addresses = 250
	)
	number := lastAddress.Add(1)
	process := uint32(os.Getpid())
	address := [4]byte{127, byte(64 + process%128), byte(1 + process/128%addresses), byte(1 + number%addresses)}
	return netip.AddrPortFrom(netip.AddrFrom4(address), uint16(firstPort+number/addresses))
}

func (f *testFleet) files(name string) loader.TLS {
	file := func(name string) string { return filepath.Join(f.folder, name) }
	return loader.TLS{Authority: file("authority.pem"), Certificate: file(name + ".pem"), Key: file(name + ".key")}
}

func (f *testFleet) credentials(name string) certifier.Credentials {
	files := f.files(name)
	credentials, err := certifier.LoadCredentials(files.Authority, files.Certificate, files.Key)
	assert.NilError(f.t, err)
	return credentials
}

// launch runs a process's part until it is stopped gracefully.
func (f *testFleet) launch(name string, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	f.stops[name] = sync.OnceFunc(func() {
		cancel()
		select {
		case err := <-ended:
			assert.Check(f.t, err == nil, "%s: %v", name, err)
		case <-time.After(patience):
			f.t.Errorf("%s did not stop", name)
		}
	})
}

func (f *testFleet) startKeeper(k loader.Keeper) {
	settings := loader.KeeperProcess{
		Place:       loader.Place{Name: k.Name, Region: k.Region, FailureDomain: f.domainOf(k.Name, k.Region)},
		PeerAddress: k.Address, OperatorAddress: k.Operator, DataFolder: filepath.Join(f.folder, "data-"+k.Name), Keepers: f.keepers,
	}
	credentials := f.credentials(k.Name)
	f.launch(k.Name, func(ctx context.Context) error {
		return runner.RunKeeper(ctx, settings, credentials, messenger.WithDial(f.links.dial(k.Name, k.Region)))
	})
}

func (f *testFleet) startGate(name string) {
	settings := f.gates[name]
	settings.Peers = f.peers
	credentials := f.credentials(name)
	gate := runner.NewGate(settings, credentials, messenger.WithDial(f.links.dial(name, settings.Region)))
	f.launch(name, func(ctx context.Context) error { return gate.Run(ctx, credentials) })
}

// together returns the instances that are in the first one's failure domain.
func (f *testFleet) together(first string, others ...string) []string {
	names := []string{first}
	for _, other := range others {
		if f.domains[other] == f.domains[first] {
			names = append(names, other)
		}
	}
	return names
}

func (f *testFleet) domainOf(name, region string) string {
	if domain, apart := f.domains[name]; apart {
		return domain
	}
	return region + "-1"
}

// startServer starts a stand-in that announces itself to entry instances.
func (f *testFleet) startServer(name, pool string, gates ...string) {
	server := &imitator.Server{Name: name, Keep: true}
	listener := httptest.NewServer(server)
	f.t.Cleanup(listener.Close)
	teller := &imitator.Announcer{
		Server: server, Address: netip.MustParseAddrPort(listener.Listener.Addr().String()),
		Pools: []string{pool}, Models: []string{"m"}, MaxRunning: 64,
	}
	for _, gate := range gates {
		teller.Instances = append(teller.Instances, f.gates[gate].BackendAddress)
	}
	f.servers[name], f.tellers[name] = server, teller
	f.launch(name, teller.Run)
}

func (f *testFleet) stopAll() {
	f.links.heal()
	for name, stop := range f.stops {
		if !strings.HasPrefix(name, "k") {
			stop()
		}
	}
	for _, stop := range f.stops {
		stop()
	}
}

func (f *testFleet) found() {
	ctx := context.Background()
	f.eventually("founded", func() error { return f.client.Found(ctx) })
	tables, err := tabler.Parse("tables.yaml", []byte(f.tables))
	assert.NilError(f.t, err)
	f.eventually("tables applied", func() error {
		_, err := f.client.Edit(ctx, "first", 0, tables)
		return err
	})
}

// eventually repeats a check until it holds.
func (f *testFleet) eventually(what string, check func() error) {
	f.t.Helper()
	deadline := time.Now().Add(patience)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: %v", what, err)
		}
		<-time.After(20 * time.Millisecond)
	}
}

func (f *testFleet) awaitServing() {
	secret, _ := f.give("roaming", "north")
	for name := range f.gates {
		f.eventually(name+" knows all instances", func() error { return f.knowsAll(name) })
		f.eventually(name+" serves", func() error {
			status, body := f.ask(name, secret, "/v1/chat/completions", question, nil)
			if status != http.StatusOK {
				return fmt.Errorf("status %d: %s", status, body)
			}
			return nil
		})
	}
}

// knowsAll checks that an instance's directory names all instances.
func (f *testFleet) knowsAll(name string) error {
	response, err := http.Get("http://" + f.gates[name].CallerAddress.String() + "/v1/instances")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var directory struct {
		Instances []struct{} `json:"instances"`
	}
	if err := json.NewDecoder(response.Body).Decode(&directory); err != nil {
		return err
	}
	if len(directory.Instances) < len(f.gates) {
		return fmt.Errorf("%d instances", len(directory.Instances))
	}
	return nil
}

const question = `{"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"when"}]}`

func (f *testFleet) give(workspace, home string) (secret, id string) {
	secret = tabler.NewSecret()
	key, err := tabler.NewKey(secret, workspace, home)
	assert.NilError(f.t, err)
	f.eventually("key given", func() error {
		_, err := f.client.Give(context.Background(), "give-"+key.ID, key)
		return err
	})
	return secret, key.ID
}

func (f *testFleet) request(gate, secret, path, body string, header http.Header) (*http.Response, error) {
	url := "http://" + f.gates[gate].CallerAddress.String() + path
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	assert.NilError(f.t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	return http.DefaultTransport.RoundTrip(request)
}

// ask makes one request and returns its whole answer; status 0 means that no
// answer came.
func (f *testFleet) ask(gate, secret, path, body string, header http.Header) (int, string) {
	response, err := f.request(gate, secret, path, body, header)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// codeOf returns the code of a refusal.
func codeOf(body string) string {
	var refusal struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(bytes.TrimSpace([]byte(body)), &refusal)
	return refusal.Error.Code
}
