package runner

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/tracker"
)

// maxAnnouncement bounds an announcement, in bytes.
const maxAnnouncement = 64 << 10

// announcement is the JSON form in which backend servers announce themselves.
type announcement struct {
	Server        string         `json:"server"`
	Address       netip.AddrPort `json:"address"`
	Pools         []string       `json:"pools"`
	Models        []string       `json:"models"`
	State         tracker.State  `json:"state"`
	Incarnation   int64          `json:"incarnation"`
	Counter       uint64         `json:"counter"`
	MaxRunning    int            `json:"max-running"`
	Load          load           `json:"load"`
	ChecksFencing bool           `json:"checks-fencing"`
}

type load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Tokens  int64 `json:"tokens"`
}

// announcementError names the field that is wrong.
type announcementError struct {
	Error string `json:"error"`
}

// backendHandler hears backend servers.
type backendHandler struct {
	dispatcher *dispatcher.Dispatcher
}

// ServeHTTP implements http.Handler.
func (h *backendHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	var said announcement
	err := decoder.Decode(&said)
	if err == nil {
		err = said.check()
	}
	if err != nil {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(announcementError{Error: err.Error()})
		return
	}
	if err := h.dispatcher.Announce(r.Context(), said.tracked()); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a announcement) check() error {
	switch {
	case a.Server == "":
		return errors.New("server: must be set")
	case !a.Address.IsValid():
		return errors.New("address: must be an IP address and port")
	case len(a.Pools) == 0:
		return errors.New("pools: at least one is needed")
	case a.State != tracker.StateReady && a.State != tracker.StateLeaving:
		return fmt.Errorf("state: %q is not allowed: use ready or leaving", a.State)
	case a.MaxRunning < 1:
		return fmt.Errorf("max-running: %d is not allowed: use 1 or more", a.MaxRunning)
	}
	return nil
}

func (a announcement) tracked() tracker.Announcement {
	return tracker.Announcement{
		Name: a.Server, Address: a.Address, Pools: a.Pools, Models: a.Models, State: a.State,
		Incarnation: a.Incarnation, Counter: a.Counter, MaxRunning: a.MaxRunning,
		Load:          tracker.Load{Running: a.Load.Running, Waiting: a.Load.Waiting, Tokens: a.Load.Tokens},
		ChecksFencing: a.ChecksFencing,
	}
}

const backendHeaderTimeout = 5 * time.Second
