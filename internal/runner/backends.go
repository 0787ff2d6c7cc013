package runner

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/dispatcher"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/tracker"
)

// maxAnnouncementBytes limits the body of an announcement.
const maxAnnouncementBytes = 64 << 10

const (
	// announcementTimeout limits the time in which an announcement arrives.
	announcementTimeout = 2 * time.Second
	// announcerIdleTimeout limits how long a connection without one is kept.
	announcerIdleTimeout = 75 * time.Second
)

// newAnnouncementServer returns the server of the port for backend servers.
func newAnnouncementServer(d *dispatcher.Dispatcher, resources *conductor.Resources) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/backends", &announcementHandler{dispatcher: d})
	// net/http cancels a handler that runs beyond ReadTimeout; this one hardly waits.
	return &http.Server{Handler: resources.LimitBodies(mux), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: announcementTimeout, IdleTimeout: announcerIdleTimeout}
}

// announcement is the JSON body with which a backend server reports its
// address, state and load.
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

// load is the part of an announcement that reports the server's current work.
type load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Tokens  int64 `json:"tokens"`
}

// announcementError is the JSON body of the answer to an invalid announcement.
type announcementError struct {
	Error string `json:"error"`
}

// announcementHandler passes valid announcements of backend servers to the
// dispatcher. It answers 400 to an invalid announcement and 503 if the
// dispatcher does not accept it.
type announcementHandler struct {
	dispatcher    *dispatcher.Dispatcher
	refusedLogged logger.RateLimiter
}

// ServeHTTP implements http.Handler.
func (h *announcementHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received, err := readAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err == nil {
		err = received.validate()
	}
	if err != nil {
		h.refuse(w, err)
		return
	}
	if err := h.dispatcher.Announce(r.Context(), received.toTracker()); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readAnnouncement decodes an announcement, which nothing but white space may follow.
func readAnnouncement(body io.Reader) (received announcement, err error) {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&received); err != nil {
		return received, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return received, errors.New("more than one JSON value")
	}
	return received, nil
}

// maxErrorBytes bounds the text of an error that may quote what was received.
const maxErrorBytes = 300

// refuse answers an invalid announcement.
func (h *announcementHandler) refuse(w http.ResponseWriter, err error) {
	text := err.Error()
	text = strings.ToValidUTF8(text[:min(len(text), maxErrorBytes)], "")
	if leftOut, ok := h.refusedLogged.Allow(time.Now()); ok {
		klog.InfoS("invalid announcement refused", "err", text, "left-out", leftOut)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(announcementError{Error: text})
}

// Limits of what a server announces. Its load and its slots are added up with those of
// others, and its pools are gossiped.
const (
	maxRunningLimit    = 1 << 20
	maxAnnouncedLoad   = 1 << 20
	maxAnnouncedTokens = 1 << 40
	maxAnnouncedNames  = 256
)

// validate returns an error that names the first invalid field.
func (a announcement) validate() error {
	if err := checkNames("server", []string{a.Server}); err != nil {
		return err
	}
	if err := registrar.CheckAddress(a.Address); err != nil {
		return err
	}
	if err := checkNames("pools", a.Pools); err != nil {
		return err
	}
	if err := checkNames("models", a.Models); err != nil {
		return err
	}
	switch {
	case len(a.Pools) == 0:
		return errors.New("pools: at least one is needed")
	case a.State != tracker.StateReady && a.State != tracker.StateLeaving:
		return fmt.Errorf("state: %q is not allowed: use ready or leaving", a.State)
	case a.MaxRunning < 1 || a.MaxRunning > maxRunningLimit:
		return fmt.Errorf("max-running: %d is not allowed: use 1 to %d", a.MaxRunning, maxRunningLimit)
	}
	return a.Load.validate()
}

func (l load) validate() error {
	switch {
	case min(l.Running, l.Waiting) < 0 || max(l.Running, l.Waiting) > maxAnnouncedLoad:
		return fmt.Errorf("load: %d running and %d waiting requests are not between 0 and %d", l.Running, l.Waiting, maxAnnouncedLoad)
	case l.Tokens < 0 || l.Tokens > maxAnnouncedTokens:
		return fmt.Errorf("load: %d tokens are not between 0 and %d", l.Tokens, int64(maxAnnouncedTokens))
	}
	return nil
}

// checkNames returns an error if a list of names cannot be that of a field.
func checkNames(field string, names []string) error {
	if len(names) > maxAnnouncedNames {
		return fmt.Errorf("%s: %d are more than %d", field, len(names), maxAnnouncedNames)
	}
	for _, name := range names {
		if name == "" {
			return fmt.Errorf("%s: must be set", field)
		}
		if err := registrar.CheckText(field, name); err != nil {
			return err
		}
	}
	return nil
}

// toTracker converts the announcement to the tracker's type.
func (a announcement) toTracker() tracker.Announcement {
	return tracker.Announcement{
		Name: a.Server, Address: a.Address, Pools: a.Pools, Models: a.Models, State: a.State,
		Incarnation: a.Incarnation, Counter: a.Counter, MaxRunning: a.MaxRunning,
		Load:          tracker.Load{Running: a.Load.Running, Waiting: a.Load.Waiting, Tokens: a.Load.Tokens},
		ChecksFencing: a.ChecksFencing,
	}
}

// readHeaderTimeout limits how long a backend server, another instance, or an
// operator may take to send a request header.
const readHeaderTimeout = 5 * time.Second
