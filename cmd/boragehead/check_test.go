package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

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
