// Package loader reads the settings files of the processes. They are strict YAML:
// an unknown or invalid field is rejected with its file, line and name.
package loader

import (
	"net/netip"
	"time"
)

// Place holds the name and the location of a process.
type Place struct {
	// Name is unique in the fleet and is the name in the process's certificate.
	Name          string `yaml:"name" validate:"required,name"`
	Region        string `yaml:"region" validate:"required,name"`
	FailureDomain string `yaml:"failure-domain" validate:"required,name"`
}

// TLS holds the file names of the certificate authority, the certificate and the
// private key for mutual TLS between the processes of the fleet.
type TLS struct {
	Authority   string `yaml:"authority" validate:"required"`
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
}

// Keeper is the name, region and addresses of a control instance that other
// processes connect to.
type Keeper struct {
	Name     string         `yaml:"name" validate:"required,name"`
	Region   string         `yaml:"region" validate:"required,name"`
	Address  netip.AddrPort `yaml:"address" validate:"required"`
	Operator netip.AddrPort `yaml:"operator-address"`
}

// Peer is an entry instance from which a starting one learns of the others.
type Peer struct {
	Name    string         `yaml:"name" validate:"required,name"`
	Address netip.AddrPort `yaml:"address" validate:"required"`
}

// CallerTLS holds the file names of the certificate and private key for callers'
// connections. Without it the caller address serves plain HTTP.
type CallerTLS struct {
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
}

// Gate is the settings file of boragehead-gate.
type Gate struct {
	Place `yaml:",inline"`
	// CallerAddress serves callers. PublicAddress is the address in the directory,
	// if it differs from CallerAddress.
	CallerAddress netip.AddrPort `yaml:"caller-address" validate:"required"`
	PublicAddress netip.AddrPort `yaml:"public-address"`
	CallerTLS     *CallerTLS     `yaml:"caller-tls"`
	// BackendAddress receives the announcements of backend servers.
	BackendAddress netip.AddrPort `yaml:"backend-address" validate:"required"`
	PeerAddress    netip.AddrPort `yaml:"peer-address" validate:"required"`
	TLS            TLS            `yaml:"tls"`
	Keepers        []Keeper       `yaml:"keepers" validate:"required,min=1,max=7,unique=Name,dive"`
	Peers          []Peer         `yaml:"peers" validate:"unique=Name,dive"`
	// StopLimit bounds a graceful shutdown; default 10m.
	StopLimit time.Duration `yaml:"stop-limit" validate:"gte=0"`
	// StopLinger is how long a stopping instance continues to serve callers whose
	// cached directory still lists it; default 11s.
	StopLinger time.Duration `yaml:"stop-linger" validate:"gte=0"`
	// MaxBody is the maximum size of a request's body in bytes; default 4 MiB.
	MaxBody int64 `yaml:"max-body" validate:"gte=0,lte=67108864"`
	Limits  `yaml:",inline"`
}

// DirectoryAddress returns the address that the directory gives to callers.
func (g Gate) DirectoryAddress() netip.AddrPort {
	if g.PublicAddress.IsValid() {
		return g.PublicAddress
	}
	return g.CallerAddress
}

// KeeperProcess is the settings file of boragehead-keeper.
type KeeperProcess struct {
	Place           `yaml:",inline"`
	PeerAddress     netip.AddrPort `yaml:"peer-address" validate:"required"`
	OperatorAddress netip.AddrPort `yaml:"operator-address" validate:"required"`
	DataFolder      string         `yaml:"data-folder" validate:"required"`
	TLS             TLS            `yaml:"tls"`
	Keepers         []Keeper       `yaml:"keepers" validate:"required,min=1,max=7,unique=Name,dive"`
	Limits          `yaml:",inline"`
}

// Entry is the settings file of boragehead-entry.
type Entry struct {
	Place `yaml:",inline"`
	// CallerAddress serves callers. ReadyAddress serves the readiness probe, which
	// tells whether the instance accepts requests.
	CallerAddress netip.AddrPort `yaml:"caller-address" validate:"required"`
	ReadyAddress  netip.AddrPort `yaml:"ready-address" validate:"required"`
	// In any RetryWindow, the whole fleet may retry at most RetryShare of the
	// requests for a service, plus RetrySlack requests.
	RetryShare  float64       `yaml:"retry-share" validate:"gte=0,lte=1"`
	RetrySlack  float64       `yaml:"retry-slack" validate:"gte=0"`
	RetryWindow time.Duration `yaml:"retry-window" validate:"gte=0"`
	Fleet       `yaml:",inline"`
}

// Control is the settings file of boragehead-control.
type Control struct {
	Place `yaml:",inline"`
	// OperatorAddress serves operators and receives the heartbeats of backend
	// servers. DirectoryAddress tells callers which entry instances to connect to.
	OperatorAddress  netip.AddrPort `yaml:"operator-address" validate:"required"`
	DirectoryAddress netip.AddrPort `yaml:"directory-address" validate:"required"`
	DataFolder       string         `yaml:"data-folder" validate:"required"`
	// Bootstrap lets the first instances, which have empty disks and are among the
	// seeds, found the fleet. It is meant for the first start only.
	Bootstrap bool `yaml:"bootstrap"`
	// DiskLosses is how many disks may be lost at once without losing the state:
	// 2*DiskLosses+1 control instances store it.
	DiskLosses int `yaml:"disk-losses" validate:"gte=0,lte=3"`
	Fleet      `yaml:",inline"`
}

// Fleet holds the settings that entry and control instances share: how a process
// finds the others, and its resource limits.
type Fleet struct {
	// PeerAddress is where the other processes reach this one. All processes of
	// the fleet use the same port, and its two successors for relays and metrics.
	PeerAddress netip.AddrPort `yaml:"peer-address" validate:"required"`
	// Seeds are the control instances to contact at start. Their ports are ignored
	// in favor of PeerAddress's port; see SeedPeers.
	Seeds []netip.AddrPort `yaml:"seeds" validate:"required,min=1"`
	// FailureDomains maps every failure domain of the fleet to its region.
	FailureDomains map[string]string `yaml:"failure-domains" validate:"required,min=1"`
	Limits         `yaml:",inline"`
	// StopLimit bounds a graceful shutdown; default 8s.
	StopLimit time.Duration `yaml:"stop-limit" validate:"gte=0"`
}

// Limits holds the resource limits of a process.
type Limits struct {
	// MemoryMB is how much memory the process may use, in MB of 2^20 bytes; 0 means
	// no limit. Requests may use a quarter of it, or else 64 MB.
	MemoryMB int64 `yaml:"memory-mb" validate:"gte=0"`
	// MaxFiles is how many descriptors the process may use. The limits on the connections of
	// its ports are derived from it. 0 stands for the process's own limit.
	MaxFiles int64 `yaml:"max-files" validate:"eq=0|gte=128"`
}

// RelayAddress returns the address that serves requests relayed by other entry
// instances.
func (f Fleet) RelayAddress() netip.AddrPort {
	return netip.AddrPortFrom(f.PeerAddress.Addr(), f.PeerAddress.Port()+1)
}

// MetricsAddress returns the address that serves counters and histograms as text.
func (f Fleet) MetricsAddress() netip.AddrPort {
	return netip.AddrPortFrom(f.PeerAddress.Addr(), f.PeerAddress.Port()+2)
}

// SeedPeers returns the peer addresses of the seeds: their IP addresses with the
// port of PeerAddress.
func (f Fleet) SeedPeers() []netip.AddrPort {
	peers := make([]netip.AddrPort, 0, len(f.Seeds))
	for _, seed := range f.Seeds {
		peers = append(peers, netip.AddrPortFrom(seed.Addr(), f.PeerAddress.Port()))
	}
	return peers
}

// Client is the settings file of the operators' command-line client.
type Client struct {
	TLS     TLS      `yaml:"tls"`
	Keepers []Keeper `yaml:"keepers" validate:"required,min=1,max=7,unique=Name,dive"`
}

// Standin is the settings file of boragehead-standin, an emulated backend server.
type Standin struct {
	Name    string         `yaml:"name" validate:"required,name"`
	Address netip.AddrPort `yaml:"address" validate:"required"`
	// Announce holds the backend addresses of the entry instances in the server's
	// failure domain, to which it sends its announcements.
	Announce []netip.AddrPort `yaml:"announce" validate:"required,min=1"`
	Pools    []string         `yaml:"pools" validate:"required,min=1,dive,name"`
	Models   []string         `yaml:"models"`
	// MaxRunning is the maximum number of requests in a batch; default 8.
	MaxRunning int `yaml:"max-running" validate:"gte=0"`
	// TokenInterval is the time between two tokens; default 2ms.
	TokenInterval time.Duration `yaml:"token-interval" validate:"gte=0"`
	// ChecksFencing makes the server reject orders with an old fencing number.
	ChecksFencing bool `yaml:"checks-fencing"`
}
