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

// Announcer tells entry instances of a stand-in, once a second.
type Announcer struct {
	Server     *Server
	Address    netip.AddrPort
	Instances  []netip.AddrPort
	Pools      []string
	Models     []string
	MaxRunning int
	// ChecksFencing is announced as it is.
	ChecksFencing bool

	mu          sync.Mutex
	incarnation int64
	counter     uint64
}

const (
	announcePeriod  = time.Second
	announceTimeout = time.Second
)

// said is the JSON form of an announcement.
type said struct {
	Server        string         `json:"server"`
	Address       netip.AddrPort `json:"address"`
	Pools         []string       `json:"pools"`
	Models        []string       `json:"models"`
	State         string         `json:"state"`
	Incarnation   int64          `json:"incarnation"`
	Counter       uint64         `json:"counter"`
	MaxRunning    int            `json:"max-running"`
	Load          saidLoad       `json:"load"`
	ChecksFencing bool           `json:"checks-fencing"`
}

type saidLoad struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Tokens  int64 `json:"tokens"`
}

// Run announces until the context ends.
func (a *Announcer) Run(ctx context.Context) error {
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for {
		a.Tell(ctx, "ready")
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Tell announces a state to all instances once.
func (a *Announcer) Tell(ctx context.Context, state string) {
	body, err := json.Marshal(a.next(state))
	if err != nil {
		klog.ErrorS(err, "announcement not encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, instance := range a.Instances {
		wait.Go(func() { post(ctx, instance, body) })
	}
	wait.Wait()
}

func (a *Announcer) next(state string) said {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation == 0 {
		a.incarnation = time.Now().UnixNano()
	}
	a.counter++
	running, tokens := a.Server.Load()
	return said{
		Server: a.Server.Name, Address: a.Address, Pools: a.Pools, Models: a.Models, State: state,
		Incarnation: a.incarnation, Counter: a.counter, MaxRunning: a.MaxRunning,
		Load: saidLoad{Running: running, Tokens: tokens}, ChecksFencing: a.ChecksFencing,
	}
}

func post(ctx context.Context, instance netip.AddrPort, body []byte) {
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
