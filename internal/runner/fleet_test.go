package runner_test

import (
	"bytes"
	"context"
	"encoding/binary"
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

// testTables has two regions of one failure domain each.
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

// waitTimeout limits every wait of the tests. It is far longer than any of them
// needs.
const waitTimeout = 30 * time.Second

// testFleet is a fleet whose processes run inside the test process and
// communicate over loopback sockets.
type testFleet struct {
	t               testing.TB
	folder          string
	tables          string
	domainByProcess map[string]string
	links           *links
	client          *operator.Client
	// authority can issue further certificates.
	authority  *certifier.Authority
	keepers    []loader.Keeper
	peers      []loader.Peer
	gates      map[string]loader.Gate
	stopByName map[string]func()
	backends   map[string]*imitator.Server
	announcers map[string]*imitator.Announcer
}

// newFleet starts the keepers k1 and k2 in the region north and k3 in south, the
// entry instances n1 and n2 in north and s1 in south, an engine in each region,
// and a booking server in north.
func newFleet(t testing.TB) *testFleet {
	return newFleetWith(t, testTables, map[string]string{})
}

// newFleetWith is like newFleet, with other tables and with the failure domains
// of some processes, by name. The others are in the first failure domain of
// their region.
func newFleetWith(t testing.TB, tables string, domains map[string]string) *testFleet {
	f := &testFleet{
		tables: tables, domainByProcess: domains,
		t: t, folder: t.TempDir(), links: newLinks(), gates: map[string]loader.Gate{}, stopByName: map[string]func(){},
		backends: map[string]*imitator.Server{}, announcers: map[string]*imitator.Announcer{},
	}
	authority, err := certifier.OpenAuthority(f.folder)
	assert.NilError(t, err)
	issue := func(name string, role certifier.Role) { assert.NilError(t, authority.Issue(f.folder, name, role, nil)) }
	issue("operator", certifier.RoleOperator)
	for _, process := range [][2]string{{"k1", "north"}, {"k2", "north"}, {"k3", "south"}} {
		issue(process[0], certifier.RoleKeeper)
		k := loader.Keeper{Name: process[0], Region: process[1], Address: freePort(), Operator: freePort()}
		f.keepers = append(f.keepers, k)
		f.links.register(k.Address, process[0], process[1])
	}
	for _, process := range [][2]string{{"n1", "north"}, {"n2", "north"}, {"s1", "south"}} {
		issue(process[0], certifier.RoleGate)
		gate := loader.Gate{
			Place:         loader.Place{Name: process[0], Region: process[1], FailureDomain: f.domainOf(process[0], process[1])},
			CallerAddress: freePort(), BackendAddress: freePort(), PeerAddress: freePort(),
			Keepers: f.keepers, StopLinger: 50 * time.Millisecond, MaxBody: 64 << 10,
		}
		f.gates[process[0]] = gate
		f.peers = append(f.peers, loader.Peer{Name: process[0], Address: gate.PeerAddress})
		f.links.register(gate.PeerAddress, process[0], process[1])
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
	f.foundAndConfigure()
	f.startBackend("engine-n", "engines-north", f.sameDomain("n1", "n2")...)
	f.startBackend("engine-s", "engines-south", "s1")
	f.startBackend("booking-n", "booking-north", f.sameDomain("n1", "n2")...)
	if f.domainByProcess["n2"] != "" {
		f.startBackend("engine-n2", "engines-north", "n2")
	}
	f.waitUntilServing()
	return f
}

// usedAddresses counts the addresses that freePort has returned.
var usedAddresses atomic.Uint32

// freePort returns an address that nothing else uses. It has an IP address of
// its own, because a port of 127.0.0.1 could be taken by an outgoing connection
// before it is opened. Concurrent test processes use different addresses.
func freePort() netip.AddrPort {
	const (
		firstPort = 7000
		addresses = 250
	)
	number := usedAddresses.Add(1)
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

// runProcess runs a process of the fleet in a goroutine. The function in
// stopByName stops it gracefully and fails the test if it returns an error or
// does not stop within waitTimeout.
func (f *testFleet) runProcess(name string, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	f.stopByName[name] = sync.OnceFunc(func() {
		cancel()
		select {
		case err := <-ended:
			assert.Check(f.t, err == nil, "%s: %v", name, err)
		case <-time.After(waitTimeout):
			f.t.Errorf("%s did not stop", name)
		}
	})
}

// awaitClosed waits until no socket listens on the addresses. A process that another
// test is starting holds copies of all sockets until it executes its program.
func (f *testFleet) awaitClosed(addresses ...netip.AddrPort) {
	const listening = "0A"
	f.eventually("ports are closed", func() error {
		sockets, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return err
		}
		for _, address := range addresses {
			ip := address.Addr().As4()
			local := fmt.Sprintf("%08X:%04X 00000000:0000 ", binary.NativeEndian.Uint32(ip[:]), address.Port())
			if strings.Contains(string(sockets), local+listening) {
				return fmt.Errorf("%s is still open", address)
			}
		}
		return nil
	})
}

func (f *testFleet) startKeeper(k loader.Keeper) {
	f.awaitClosed(k.Address, k.Operator)
	settings := loader.KeeperProcess{
		Place:       loader.Place{Name: k.Name, Region: k.Region, FailureDomain: f.domainOf(k.Name, k.Region)},
		PeerAddress: k.Address, OperatorAddress: k.Operator, DataFolder: filepath.Join(f.folder, "data-"+k.Name), Keepers: f.keepers,
	}
	credentials := f.credentials(k.Name)
	f.runProcess(k.Name, func(ctx context.Context) error {
		return runner.RunKeeper(ctx, settings, credentials, messenger.WithDial(f.links.dial(k.Name, k.Region)))
	})
}

func (f *testFleet) startGate(name string) {
	settings := f.gates[name]
	f.awaitClosed(settings.CallerAddress, settings.BackendAddress, settings.PeerAddress)
	settings.Peers = f.peers
	credentials := f.credentials(name)
	gate := runner.NewGate(settings, credentials, messenger.WithDial(f.links.dial(name, settings.Region)))
	f.runProcess(name, func(ctx context.Context) error { return gate.Run(ctx, credentials) })
}

// sameDomain returns the first instance and those of the others that are in its
// failure domain.
func (f *testFleet) sameDomain(first string, others ...string) []string {
	names := []string{first}
	for _, other := range others {
		if f.domainByProcess[other] == f.domainByProcess[first] {
			names = append(names, other)
		}
	}
	return names
}

// domainOf returns the failure domain of a process.
func (f *testFleet) domainOf(name, region string) string {
	if domain, assigned := f.domainByProcess[name]; assigned {
		return domain
	}
	return region + "-1"
}

// startBackend starts a stand-in backend server that announces itself to the
// given entry instances.
func (f *testFleet) startBackend(name, pool string, gates ...string) {
	server := &imitator.Server{Name: name, RecordRequests: true}
	listener := httptest.NewServer(server)
	f.t.Cleanup(listener.Close)
	announcer := &imitator.Announcer{
		Server: server, Address: netip.MustParseAddrPort(listener.Listener.Addr().String()),
		Pools: []string{pool}, Models: []string{"m"}, MaxRunning: 64,
	}
	for _, gate := range gates {
		announcer.Instances = append(announcer.Instances, f.gates[gate].BackendAddress)
	}
	f.backends[name], f.announcers[name] = server, announcer
	f.runProcess(name, announcer.Run)
}

// stopAll stops all processes gracefully, the keepers last.
func (f *testFleet) stopAll() {
	f.links.heal()
	for name, stop := range f.stopByName {
		if !strings.HasPrefix(name, "k") {
			stop()
		}
	}
	for _, stop := range f.stopByName {
		stop()
	}
}

// foundAndConfigure founds the keepers' group and applies the tables.
func (f *testFleet) foundAndConfigure() {
	ctx := context.Background()
	f.eventually("founded", func() error { return f.client.FoundGroups(ctx) })
	tables, err := tabler.Parse("tables.yaml", []byte(f.tables))
	assert.NilError(f.t, err)
	f.eventually("tables applied", func() error {
		_, err := f.client.ReplaceTables(ctx, "first", 0, tables)
		return err
	})
}

// eventually repeats a check until it returns nil, and fails the test after
// waitTimeout.
func (f *testFleet) eventually(what string, check func() error) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
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

// waitUntilServing waits until every entry instance lists all instances and
// answers requests.
func (f *testFleet) waitUntilServing() {
	secret, _ := f.createKey("roaming", "north")
	for name := range f.gates {
		f.eventually(name+" lists all instances", func() error { return f.checkDirectoryComplete(name) })
		f.eventually(name+" serves", func() error {
			status, body := f.post(name, secret, "/v1/chat/completions", chatBody, nil)
			if status != http.StatusOK {
				return fmt.Errorf("status %d: %s", status, body)
			}
			return nil
		})
	}
}

// checkDirectoryComplete checks that an instance's directory lists all instances.
func (f *testFleet) checkDirectoryComplete(name string) error {
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

// chatBody is a request for a short streamed answer.
const chatBody = `{"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"when"}]}`

// createKey gives a new key to a workspace and returns its secret and its ID.
func (f *testFleet) createKey(workspace, home string) (secret, id string) {
	secret = tabler.NewSecret()
	key, err := tabler.NewKey(secret, workspace, home)
	assert.NilError(f.t, err)
	f.eventually("key created", func() error {
		_, err := f.client.AddKey(context.Background(), "give-"+key.ID, key)
		return err
	})
	return secret, key.ID
}

// startRequest sends a request and returns its answer, whose body the caller
// must close.
func (f *testFleet) startRequest(gate, secret, path, body string, header http.Header) (*http.Response, error) {
	return f.startRequestContext(context.Background(), gate, secret, path, body, header)
}

// startRequestContext is startRequest with a context that ends the request and
// its answer.
func (f *testFleet) startRequestContext(
	ctx context.Context, gate, secret, path, body string, header http.Header,
) (*http.Response, error) {
	url := "http://" + f.gates[gate].CallerAddress.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	assert.NilError(f.t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	return http.DefaultTransport.RoundTrip(request)
}

// post sends a request and returns its status and its complete body. If there is
// no complete answer, it returns status 0 and the text of the error.
func (f *testFleet) post(gate, secret, path, body string, header http.Header) (int, string) {
	response, err := f.startRequest(gate, secret, path, body, header)
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

// errorCode returns the code in the body of an error answer, or "".
func errorCode(body string) string {
	var refusal struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(bytes.TrimSpace([]byte(body)), &refusal)
	return refusal.Error.Code
}
