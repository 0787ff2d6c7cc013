//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	scenarios["split"] = scenarioOf{playSplit, smallEntries}
}

// Names of the second service and of its route, which a later desired state adds.
const (
	kioskService = "kiosk"
	kioskPrefix  = "/stock/kch/"
)

// splitDocument returns the desired state that splits the route of stock readings: those of
// the depot kch, which need no key, go to a service of their own.
func splitDocument(version int) map[string]any {
	document := newDocument(version)
	document["routes"] = append(document["routes"].([]any),
		route("r-kiosk", kioskPrefix, "idempotent", kioskService, 2500, 300, 2, map[string]any{"auth_exempt": true}))
	document["services"] = append(document["services"].([]any),
		map[string]any{"name": kioskService, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0})
	return document
}

// serviceOf returns the service of the route that the pages select for a path: the one with
// the longest path_prefix that begins the path.
func serviceOf(path string, split bool) string {
	if split && strings.HasPrefix(path, kioskPrefix) {
		return kioskService
	}
	return "desk"
}

// playSplit asks for readings before and after the split. A reading of the item "kch/17" has
// an encoded slash in its path, which no prefix begins but that of the earlier route.
func playSplit(f *fleet, trouble bool) (bool, error) {
	if err := f.startSmall(kioskService); err != nil {
		return false, err
	}
	if trouble {
		if err := f.define(splitDocument(8)); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second) // config_apply_ms and a second
	}
	wrong := 0
	for i := range 60 {
		path := []string{"/stock/17", "/stock/kch%2F17", "/stock/kch/17"}[i%3]
		entry := f.entries[i%len(f.entries)]
		id := newID()
		keyed := i%2 == 0
		send := askOnce
		if !keyed {
			send = askWithoutKey
		}
		got := send(entry.front(), http.MethodGet, path, id, "", 2500*time.Millisecond)
		service := ""
		if runs := f.allRuns()[id]; len(runs) > 0 {
			service = runs[0].service
		}
		allowed := serviceOf(path, trouble)
		mark := ""
		if service != "" && service != allowed {
			wrong++
			mark = "  <- the desired state allows " + allowed + " only"
		}
		f.record.note("client: GET %s id=%s key=%v by %s: answered %d, run by service %q%s", path, id, keyed, entry.name, got.status, service, mark)
		if got.err != nil {
			return false, fmt.Errorf("no answer: %w", got.err)
		}
	}
	f.record.note("requests run by a service that their route does not name: %d", wrong)
	fmt.Println("requests run by a service that their route does not name:", wrong)
	return wrong > 0, nil
}
