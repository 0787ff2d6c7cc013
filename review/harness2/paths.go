//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	scenarios["paths"] = scenarioOf{playPaths, smallEntries}
}

// playPaths asks for paths as browsers send them: the URL standard encodes no vertical bar in
// a path. An engine must get them unchanged.
func playPaths(f *fleet, trouble bool) (bool, error) {
	if err := f.startSmall(); err != nil {
		return false, err
	}
	changed := 0
	for i := range 40 {
		method, path, body := http.MethodGet, fmt.Sprintf("/stock/argon-%d", i), ""
		if i%2 == 1 {
			method, path, body = http.MethodPost, fmt.Sprintf("/swap/argon-%d", i), "swap"
		}
		if trouble && i%4 >= 2 {
			path += "|kch"
		}
		id, entry := newID(), f.entries[i%len(f.entries)]
		got := askOnce(entry.front(), method, path, id, body, 2500*time.Millisecond)
		if got.err != nil {
			return false, fmt.Errorf("no answer: %w", got.err)
		}
		target, mark := "", ""
		if runs := f.allRuns()[id]; len(runs) > 0 {
			target = runs[0].target
		}
		if target != "" && target != path {
			changed++
			mark = "  <- changed"
		}
		f.record.note("client: %s %s id=%s by %s: answered %d, the engine ran %q%s", method, path, id, entry.name, got.status, target, mark)
	}
	f.record.note("requests run with another path: %d", changed)
	fmt.Println("requests run with another path:", changed)
	return changed > 0, nil
}
