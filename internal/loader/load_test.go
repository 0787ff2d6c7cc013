package loader_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/loader"
)

const gateSettings = `name: g1
region: north
failure-domain: north-1
caller-address: 127.0.0.1:7001
backend-address: 127.0.0.1:7002
peer-address: 127.0.0.1:7003
stop-linger: 5s
tls: {authority: ca.pem, certificate: g1.pem, key: /etc/g1.key}
keepers:
  - {name: k1, region: north, address: "127.0.0.1:7010"}
`

// TestLoadReportsFileLineAndField checks that the error for invalid settings names
// the file, line and field, so that an operator finds the mistake.
func TestLoadReportsFileLineAndField(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{name: "unknown field", old: "region: north\nf", new: "regoin: north\nf", want: []string{"g.yaml:2", "regoin"}},
		{name: "missing", old: "region: north\nf", new: "f", want: []string{"region: must be set"}},
		{name: "not an address", old: "caller-address: 127.0.0.1:7001", new: "caller-address: here", want: []string{"g.yaml:4"}},
		{name: "not a name", old: "name: g1", new: "name: G_1", want: []string{"g.yaml:1: name", "a-z"}},
		{name: "not a duration", old: "5s", new: "soon", want: []string{"g.yaml:7"}},
		{name: "negative", old: "5s", new: "-5s", want: []string{"stop-linger"}},
		{name: "no keepers", old: "keepers:\n  - {name: k1, region: north, address: \"127.0.0.1:7010\"}\n", new: "keepers: []\n", want: []string{"keepers"}},
		{name: "keeper without address", old: `, address: "127.0.0.1:7010"`, new: "", want: []string{"keepers[0].address: must be set"}},
		{name: "same keeper twice", old: "keepers:\n", new: "keepers:\n  - {name: k1, region: north, address: \"127.0.0.1:7011\"}\n", want: []string{"keepers: each name may be used once"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "g.yaml")
			changed := strings.Replace(gateSettings, test.old, test.new, 1)
			assert.Assert(t, changed != gateSettings)
			assert.NilError(t, os.WriteFile(path, []byte(changed), 0o600))
			_, err := loader.Load[loader.Gate](path)
			assert.Assert(t, errors.Is(err, loader.ErrInvalid), "%v", err)
			for _, want := range test.want {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

// TestLoadResolvesRelativePaths checks that relative file names are resolved
// against the folder of the settings file and that absolute ones are kept.
func TestLoadResolvesRelativePaths(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "g.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(gateSettings), 0o600))
	settings, err := loader.Load[loader.Gate](path)
	assert.NilError(t, err)
	assert.Equal(t, settings.TLS.Authority, filepath.Join(folder, "ca.pem"))
	assert.Equal(t, settings.TLS.Key, "/etc/g1.key")
	assert.Equal(t, settings.DirectoryAddress(), settings.CallerAddress)
}

// TestLoadExamples checks that every settings file of the examples is valid.
func TestLoadExamples(t *testing.T) {
	loadByKind := map[string]func(path string) error{
		"gate":     func(path string) error { _, err := loader.Load[loader.Gate](path); return err },
		"keeper":   func(path string) error { _, err := loader.Load[loader.KeeperProcess](path); return err },
		"operator": func(path string) error { _, err := loader.Load[loader.Client](path); return err },
		"engine":   func(path string) error { _, err := loader.Load[loader.Standin](path); return err },
		"booking":  func(path string) error { _, err := loader.Load[loader.Standin](path); return err },
	}
	paths, err := filepath.Glob("../../examples/*/settings/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 40)
	for _, path := range paths {
		kind, _, _ := strings.Cut(strings.TrimSuffix(filepath.Base(path), ".yaml"), "-")
		assert.NilError(t, loadByKind[kind](path), path)
	}
}
