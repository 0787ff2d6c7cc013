package runner_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/loader"
)

// drain sends a keeper a drain of the instance n2 that was given at a revision of the drain,
// and returns the status.
func (f *testFleet) drain(k loader.Keeper, id string, draining bool, after int) int {
	transport := &http.Transport{TLSClientConfig: f.credentials("operator").ClientConfig(k.Name, "http/1.1")}
	defer transport.CloseIdleConnections()
	body := fmt.Sprintf(`{"change-id": %q, "draining": %t, "after": %d}`, id, draining, after)
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "https://"+k.Operator.String()+"/v1/instances/n2/drain", strings.NewReader(body))
	assert.NilError(f.t, err)
	response, err := transport.RoundTrip(request)
	assert.NilError(f.t, err)
	assert.NilError(f.t, response.Body.Close())
	return response.StatusCode
}

// TestDelayedDrainUndoesNewerOne has drains arrive at each keeper after newer ones, among them
// one that changes nothing, and one that has its result already.
func TestDelayedDrainUndoesNewerOne(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	for i, k := range f.keepers {
		_, err := f.client.SetDraining(t.Context(), "", "n2", i%2 == 0)
		assert.NilError(t, err)
		assert.Equal(t, f.drain(k, "old", i%2 != 0, 0), http.StatusConflict)
	}
	_, err := f.client.SetDraining(t.Context(), "once", "n2", true) // as it is
	assert.NilError(t, err)
	assert.Equal(t, f.drain(f.keepers[0], "old", false, 0), http.StatusConflict)
	assert.Equal(t, f.drain(f.keepers[0], "once", false, 0), http.StatusOK, "a change that is sent again gets its first result")
	_, revision, err := f.client.Tables(t.Context(), false)
	assert.NilError(t, err)
	_, err = f.client.SetDraining(t.Context(), "", "n2", true)
	assert.NilError(t, err)
	_, after, err := f.client.Tables(t.Context(), false)
	assert.NilError(t, err)
	assert.Equal(t, after, revision, "an old drain was carried out")
}
