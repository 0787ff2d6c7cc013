package imitator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Announcer announces a stand-in backend server to entry instances once a second.
// Set the exported fields before the first call. Its methods may be called
// concurrently.
type Announcer struct {
	Server     *Server
	Address    netip.AddrPort
	Instances  []netip.AddrPort
	Pools      []string
	Models     []string
	MaxRunning int
	// ChecksFencing is announced as set; it does not change the server's behavior.
	ChecksFencing bool

	mu          sync.Mutex
	incarnation int64
	counter     uint64
}

const (
	announcePeriod  = time.Second
	announceTimeout = time.Second
)

// announcement is the JSON body of an announcement.
type announcement struct {
	Server        string         `json:"server"`
	Address       netip.AddrPort `json:"address"`
	Pools         []string       `json:"pools"`
	Models        []string       `json:"models"`
	State         string         `json:"state"`
	Incarnation   int64          `json:"incarnation"`
	Counter       uint64         `json:"counter"`
	MaxRunning    int            `json:"max-running"`
	Load          announcedLoad  `json:"load"`
	ChecksFencing bool           `json:"checks-fencing"`
}

type announcedLoad struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Tokens  int64 `json:"tokens"`
}

// Run announces the state "ready" once a second until the context ends. It returns
// nil.
func (a *Announcer) Run(ctx context.Context) error {
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for {
		a.Announce(ctx, "ready")
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Announce announces a state to all instances once and waits for their answers,
// a second at most. Instances that cannot be reached are ignored.
func (a *Announcer) Announce(ctx context.Context, state string) {
	body, err := json.Marshal(a.nextAnnouncement(state))
	if err != nil {
		klog.ErrorS(err, "cannot encode announcement")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, instance := range a.Instances {
		group.Go(func() { postAnnouncement(ctx, instance, body) })
	}
	group.Wait()
}

func (a *Announcer) nextAnnouncement(state string) announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation == 0 {
		a.incarnation = time.Now().UnixNano()
	}
	a.counter++
	running, tokens := a.Server.Load()
	return announcement{
		Server: a.Server.Name, Address: a.Address, Pools: a.Pools, Models: a.Models, State: state,
		Incarnation: a.incarnation, Counter: a.counter, MaxRunning: a.MaxRunning,
		Load: announcedLoad{Running: running, Tokens: tokens}, ChecksFencing: a.ChecksFencing,
	}
}

func postAnnouncement(ctx context.Context, instance netip.AddrPort, body []byte) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instance.String()+"/v1/backends", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}
