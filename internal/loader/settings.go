// Package loader reads the settings files of the processes: strict YAML, in
// which an unknown or wrong field is refused with its file, line and name.
package loader

import (
	"net/netip"
	"time"
)

// Place is where a process runs.
type Place struct {
	// Name is unique in the fleet and stands in the process's certificate.
	Name          string `yaml:"name" validate:"required,name"`
	Region        string `yaml:"region" validate:"required,name"`
	FailureDomain string `yaml:"failure-domain" validate:"required,name"`
}

// TLS names the files of mutual TLS between the system's processes.
type TLS struct {
	Authority   string `yaml:"authority" validate:"required"`
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
}

// Keeper is a control instance as others reach it.
type Keeper struct {
	Name     string         `yaml:"name" validate:"required,name"`
	Region   string         `yaml:"region" validate:"required,name"`
	Address  netip.AddrPort `yaml:"address" validate:"required"`
	Operator netip.AddrPort `yaml:"operator-address"`
}

// Peer is an entry instance that a starting one asks about the others.
type Peer struct {
	Name    string         `yaml:"name" validate:"required,name"`
	Address netip.AddrPort `yaml:"address" validate:"required"`
}

// CallerTLS names the certificate that callers see; without it the callers'
// port speaks plain HTTP.
type CallerTLS struct {
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
}

// Gate is the settings file of boragehead-gate.
type Gate struct {
	Place `yaml:",inline"`
	// CallerAddress serves callers; PublicAddress is what the directory
	// tells them, when it differs.
	CallerAddress netip.AddrPort `yaml:"caller-address" validate:"required"`
	PublicAddress netip.AddrPort `yaml:"public-address"`
	CallerTLS     *CallerTLS     `yaml:"caller-tls"`
	// BackendAddress hears the announcements of backend servers.
	BackendAddress netip.AddrPort `yaml:"backend-address" validate:"required"`
	PeerAddress    netip.AddrPort `yaml:"peer-address" validate:"required"`
	TLS            TLS            `yaml:"tls"`
	Keepers        []Keeper       `yaml:"keepers" validate:"required,min=1,max=7,unique=Name,dive"`
	Peers          []Peer         `yaml:"peers" validate:"unique=Name,dive"`
	// StopLimit bounds a graceful shutdown; default 10m.
	StopLimit time.Duration `yaml:"stop-limit" validate:"gte=0"`
	// StopLinger is how long a stopping instance serves on for callers that
	// hold an old directory; default 11s.
	StopLinger time.Duration `yaml:"stop-linger" validate:"gte=0"`
	// MaxBody bounds a request's body, in bytes; default 4 MiB.
	MaxBody int64 `yaml:"max-body" validate:"gte=0,lte=67108864"`
}

// Public returns the address that callers are told.
func (g Gate) Public() netip.AddrPort {
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
}

// Entry is the settings file of boragehead-entry.
type Entry struct {
	Place `yaml:",inline"`
	// CallerAddress serves callers, and ReadyAddress tells whether the instance
	// takes them.
	CallerAddress netip.AddrPort `yaml:"caller-address" validate:"required"`
	ReadyAddress  netip.AddrPort `yaml:"ready-address" validate:"required"`
	// RetryShare of the requests for a service may be sent again by the whole
	// fleet in any RetryWindow, and RetrySlack more.
	RetryShare  float64       `yaml:"retry-share" validate:"gte=0,lte=1"`
	RetrySlack  float64       `yaml:"retry-slack" validate:"gte=0"`
	RetryWindow time.Duration `yaml:"retry-window" validate:"gte=0"`
	Fleet       `yaml:",inline"`
}

// Control is the settings file of boragehead-control.
type Control struct {
	Place `yaml:",inline"`
	// OperatorAddress serves operators and hears backend servers;
	// DirectoryAddress tells callers where to connect.
	OperatorAddress  netip.AddrPort `yaml:"operator-address" validate:"required"`
	DirectoryAddress netip.AddrPort `yaml:"directory-address" validate:"required"`
	DataFolder       string         `yaml:"data-folder" validate:"required"`
	// Bootstrap lets the first instances found the fleet, on empty disks.
	Bootstrap bool `yaml:"bootstrap"`
	// DiskLosses is how many disks may be lost at once; twice that and one
	// hold the state.
	DiskLosses int `yaml:"disk-losses" validate:"gte=0,lte=3"`
	Fleet      `yaml:",inline"`
}

// Fleet is how a process finds the others and what it may use.
type Fleet struct {
	// PeerAddress is where the other processes reach this one. The port is the
	// same on all, and the two after it serve relays and metrics.
	PeerAddress netip.AddrPort `yaml:"peer-address" validate:"required"`
	// Seeds are control instances to ask first. Their ports are ignored.
	Seeds []netip.AddrPort `yaml:"seeds" validate:"required,min=1"`
	// FailureDomains maps all failure domains of the fleet to their regions.
	FailureDomains map[string]string `yaml:"failure-domains" validate:"required,min=1"`
	// MemoryMB is what the process may use, in MB; 0 does not bound it.
	MemoryMB int64 `yaml:"memory-mb" validate:"gte=0"`
	// StopLimit bounds a graceful shutdown; default 8s.
	StopLimit time.Duration `yaml:"stop-limit" validate:"gte=0"`
}

// RelayAddress serves requests that other instances pass on.
func (f Fleet) RelayAddress() netip.AddrPort {
	return netip.AddrPortFrom(f.PeerAddress.Addr(), f.PeerAddress.Port()+1)
}

// MetricsAddress serves counters and histograms as text.
func (f Fleet) MetricsAddress() netip.AddrPort {
	return netip.AddrPortFrom(f.PeerAddress.Addr(), f.PeerAddress.Port()+2)
}

// SeedPeers returns where the seeds are reached by other processes.
func (f Fleet) SeedPeers() []netip.AddrPort {
	peers := make([]netip.AddrPort, 0, len(f.Seeds))
	for _, seed := range f.Seeds {
		peers = append(peers, netip.AddrPortFrom(seed.Addr(), f.PeerAddress.Port()))
	}
	return peers
}

// Client is the settings file of the operators' client.
type Client struct {
	TLS     TLS      `yaml:"tls"`
	Keepers []Keeper `yaml:"keepers" validate:"required,min=1,max=7,unique=Name,dive"`
}

// Standin is the settings file of boragehead-standin.
type Standin struct {
	Name    string         `yaml:"name" validate:"required,name"`
	Address netip.AddrPort `yaml:"address" validate:"required"`
	// Announce are the backend addresses of the failure domain's instances.
	Announce []netip.AddrPort `yaml:"announce" validate:"required,min=1"`
	Pools    []string         `yaml:"pools" validate:"required,min=1,dive,name"`
	Models   []string         `yaml:"models"`
	// MaxRunning is how many requests are batched at once; default 8.
	MaxRunning int `yaml:"max-running" validate:"gte=0"`
	// TokenInterval is the time between two tokens; default 2ms.
	TokenInterval time.Duration `yaml:"token-interval" validate:"gte=0"`
	// ChecksFencing makes it refuse orders with an old fencing number.
	ChecksFencing bool `yaml:"checks-fencing"`
}
