package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/commander"
)

const examples = "../../examples/"

// runCheck runs a check and returns what it prints.
func runCheck(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	root := rootCommand()
	root.Writer = &out
	err := root.Run(t.Context(), append([]string{"boragehead", "--output", "json", "tables", "check"}, arguments...))
	return out.String(), err
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestExamplesPassCheck guards against examples that the check would fault, in both forms.
func TestExamplesPassCheck(t *testing.T) {
	var files []string
	for _, pattern := range []string{"*/tables.yaml", "*/definition.json"} {
		matches, err := filepath.Glob(examples + pattern)
		assert.NilError(t, err)
		assert.Assert(t, len(matches) > 0, pattern)
		files = append(files, matches...)
	}
	for _, file := range files {
		out, err := runCheck(t, file)
		assert.NilError(t, err, out)
	}
}

// TestCheckShowsChanges guards against changes that are left out or that show keys, and
// against a definition that the fleet would not take because of its version.
func TestCheckShowsChanges(t *testing.T) {
	text, err := os.ReadFile(examples + "co-op/definition.json")
	assert.NilError(t, err)
	replace := strings.NewReplacer(`"example-key-swaps"`, `"SECRET", "SECRET-2"`, `"burst": 100}`, `"burst": 101}`)
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/-/config")
		_, _ = w.Write(text)
	}))
	t.Cleanup(control.Close)
	for _, inForce := range [][]string{{"--against", examples + "co-op/definition.json"}, {"--control", control.Listener.Addr().String()}} {
		out, err := runCheck(t, append(inForce, writeFile(t, replace.Replace(string(text))))...)
		assert.ErrorIs(t, err, errFindings)
		for _, part := range []string{`"kind": "outdated"`, `"table": "tenants"`, `"api_keys (2 added, 1 removed)"`, `"burst"`, `"in-force": 1`} {
			assert.Assert(t, strings.Contains(out, part), "%s not in %s", part, out)
		}
		for _, key := range []string{"SECRET", "example-key"} {
			assert.Assert(t, !strings.Contains(out, key), out)
		}
	}
	_, err = runCheck(t, "--control", control.Listener.Addr().String(), examples+"co-op/tables.yaml")
	assert.ErrorIs(t, err, commander.ErrUsage)
	_, err = runCheck(t, "--fleet", examples+"co-op/definition.json")
	assert.ErrorIs(t, err, commander.ErrUsage)
}

// TestCheckAgainstFleet guards against a check that leaves out the keys or the tables of
// a running fleet.
func TestCheckAgainstFleet(t *testing.T) {
	folder := t.TempDir()
	authority, err := certifier.OpenAuthority(folder)
	assert.NilError(t, err)
	assert.NilError(t, authority.Issue(folder, "k1", certifier.RoleKeeper, nil))
	assert.NilError(t, authority.Issue(folder, "ops", certifier.RoleOperator, nil))
	path := func(name string) string { return filepath.Join(folder, name) }
	credentials, err := certifier.LoadCredentials(path("authority.pem"), path("k1.pem"), path("k1.key"))
	assert.NilError(t, err)
	answers := map[string]string{
		"/v1/tables": `{"revision": 7, "tables": {"regions": [{"name": "n", "failure-domains": ["n-a"]}]}}`,
		"/v1/keys":   `{"keys": [{"id": "1", "workspace": "one"}]}`,
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, answers[r.URL.Path])
	}))
	server.TLS = credentials.ServerConfig("http/1.1")
	server.StartTLS()
	t.Cleanup(server.Close)
	settings := fmt.Sprintf("tls: {authority: authority.pem, certificate: ops.pem, key: ops.key}\nkeepers:\n- {name: k1, region: n, address: %q, operator-address: %q}\n",
		server.Listener.Addr(), server.Listener.Addr())
	assert.NilError(t, os.WriteFile(path("operator.yaml"), []byte(settings), 0o600))
	t.Setenv("BORAGEHEAD_SETTINGS", path("operator.yaml"))
	out, err := runCheck(t, "--fleet", writeFile(t, `
regions: [{name: n, failure-domains: [n-a]}]
pools: [{name: p, region: n}]
routes: [{name: r, path: /r, pools: [p]}]
workspaces:
- {name: one, rate: 1, burst: 1}
- {name: two, rate: 1, burst: 1}
`))
	assert.ErrorIs(t, err, errFindings)
	for _, part := range []string{`"workspace-without-key"`, `"line": 7`, `"in-force": 7`, `"op": "add"`, `"name": "p"`} {
		assert.Assert(t, strings.Contains(out, part), "%s not in %s", part, out)
	}
	assert.Equal(t, strings.Count(out, `"kind"`), 1, out)
}

// TestCheckPlacesFindings guards against findings without their place, wrong exit codes and
// keys in the output.
func TestCheckPlacesFindings(t *testing.T) {
	const tables = "regions:\n- {name: n, failure-domains: [n-a]}\npools:\n- {name: p, region: n}\nroutes:\n"
	const document = "{\"version\": 1, \"services\": [],\n\t\"routes\": [],\n\t\"tenants\": [{\"name\": \"t\", \"api_keys\": [\"SECRET\"]},\n"
	tests := []struct {
		name, text string
		arguments  []string
		want       []string
		err        error
	}{
		{"unused pool", tables, nil, []string{`"form": "tables"`, `"kind": "unused"`, `"line": 4`, `"pools[0].name"`}, errFindings},
		{"invalid tables", tables + "- {name: r, path: x, pools: [p]}\n", nil, []string{`"kind": "invalid"`, `"line": 6`, `"routes[0].path"`}, errFindings},
		{"shared key", document + "\t{\"name\": \"u\", \"api_keys\": [\"SECRET\"]}]}", nil,
			[]string{`"form": "definition"`, `"kind": "shared-key"`, `"line": 3`, `"tenants[0].api_keys[0]"`, `"line": 4`}, errFindings},
		{"wrong type", document + "\t{\"name\": 5}]}", nil, []string{`"kind": "invalid"`, `"line": 4`}, errFindings},
		{"syntax", document + "]}", nil, []string{`"kind": "invalid"`, `"line": 4`}, errFindings},
		{"end of text", document, nil, []string{`"kind": "invalid"`, `"line": 4`}, errFindings},
		{"form by flag", document, []string{"--form", "other"}, nil, commander.ErrUsage},
		{"no such settings", document, []string{"--entry-settings", "none"}, nil, os.ErrNotExist},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out, err := runCheck(t, append(test.arguments, writeFile(t, test.text))...)
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
			for _, part := range test.want {
				assert.Assert(t, strings.Contains(out, part), "%s not in %s", part, out)
			}
			assert.Assert(t, !strings.Contains(out, "SECRET"), out)
		})
	}
	_, err := runCheck(t, "none")
	assert.ErrorIs(t, err, commander.ErrUsage)
}
