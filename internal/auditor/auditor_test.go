package auditor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/auditor"
	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/forwarder"
	"github.com/boragehead/boragehead/internal/tabler"
)

// found returns the kinds and fields of findings.
func found(findings []auditor.Finding) []string {
	result := []string{}
	for _, f := range findings {
		result = append(result, string(f.Kind)+" "+f.Field)
	}
	return result
}

func soundTables() tabler.Tables {
	return tabler.Tables{
		Regions: []tabler.Region{{Name: "n", FailureDomains: []string{"n-a"}}, {Name: "s", FailureDomains: []string{"s-a"}}},
		Pools:   []tabler.Pool{{Name: "engines-n", Region: "n"}, {Name: "desk-n", Region: "n"}},
		Routes: []tabler.Route{
			{Name: "chat", Path: "/v1/chat/completions", Model: "m", Pools: []string{"engines-n"}, MaxOutputTokens: 800},
			{Name: "desk", Path: "/desk/", Pools: []string{"desk-n"}, Once: true},
		},
		Workspaces: []tabler.Workspace{{Name: "one", Rate: 100, Burst: 900}},
	}
}

// TestTables guards against findings that are missed or false in tables: one case for
// each kind, and sound tables without any.
func TestTables(t *testing.T) {
	tests := []struct {
		name   string
		mutate func(*tabler.Tables)
		want   []string
	}{
		{"sound", func(*tabler.Tables) {}, []string{}},
		{"model where no request has one", func(x *tabler.Tables) { x.Routes[1].Model = "m" }, []string{"hidden-route routes[1].path"}},
		{"prefix behind exact paths", func(x *tabler.Tables) {
			x.Routes = append(x.Routes, tabler.Route{Name: "other", Path: "/v1/completions", Pools: []string{"engines-n"}, MaxOutputTokens: 800},
				tabler.Route{Name: "prefix", Path: "/v1/", Model: "m", Pools: []string{"engines-n"}})
		}, []string{"hidden-route routes[3].path"}},
		{"objective above timeout", func(x *tabler.Tables) {
			x.Routes[0].Objective = &tabler.Objective{FirstToken: tabler.Duration(3 * time.Minute), Target: 0.9}
		}, []string{"objective-above-timeout routes[0].objective.first-token"}},
		{"pool without route", func(x *tabler.Tables) { x.Routes = x.Routes[:1] }, []string{"unused pools[1].name"}},
		{"once route with pools of two regions", func(x *tabler.Tables) {
			x.Pools = append(x.Pools, tabler.Pool{Name: "desk-s", Region: "s"})
			x.Routes[1].Pools = append(x.Routes[1].Pools, "desk-s")
		}, []string{"unused routes[1].pools[1]"}},
		{"home without pools", func(x *tabler.Tables) {
			x.Workspaces = append(x.Workspaces, tabler.Workspace{Name: "two", HomeRegion: "s", Rate: 1, Burst: 900})
		}, []string{"home-without-servers workspaces[1].home-region"}},
		{"no rate", func(x *tabler.Tables) { x.Workspaces[0].Rate = 0 }, []string{"quota-below-request workspaces[0].rate"}},
		{"burst below any request", func(x *tabler.Tables) { x.Workspaces[0].Burst = 1 }, []string{"quota-below-request workspaces[0].burst"}},
		{"burst below the output limit", func(x *tabler.Tables) { x.Workspaces[0].Burst = 800 }, []string{"burst-below-request workspaces[0].burst"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tables := soundTables()
			test.mutate(&tables)
			assert.Equal(t, len(tabler.Check(tables)), 0)
			assert.DeepEqual(t, found(auditor.Tables(tables)), test.want)
		})
	}
}

// TestKeys guards against workspaces whose only key was withdrawn.
func TestKeys(t *testing.T) {
	keys := []tabler.Key{{ID: "1", Workspace: "one"}}
	assert.DeepEqual(t, found(auditor.Keys(soundTables(), keys)), []string{})
	keys[0].Withdrawn = true
	assert.DeepEqual(t, found(auditor.Keys(soundTables(), keys)), []string{"workspace-without-key workspaces[0].name"})
}

// TestDiffTables guards against changes that are left out or attributed to other entries.
func TestDiffTables(t *testing.T) {
	next := soundTables()
	next.Regions, next.Pools[0].Region = next.Regions[:1], "s"
	next.Workspaces = append(next.Workspaces, tabler.Workspace{Name: "two"})
	assert.DeepEqual(t, auditor.DiffTables(soundTables(), next), []auditor.Change{
		{Op: "remove", Table: "regions", Name: "s"},
		{Op: "change", Table: "pools", Name: "engines-n", Fields: []string{"region"}},
		{Op: "add", Table: "workspaces", Name: "two"},
	})
	assert.Equal(t, len(auditor.DiffDefinitions(soundDefinition(), soundDefinition())), 0)
}

func soundDefinition() definer.Definition {
	return definer.Definition{
		Version:    1,
		Services:   []definer.Service{{Name: "engines", Warmup: time.Second, WarmupRate: 1}},
		Routes:     []definer.Route{{Name: "chat", Host: "h", Prefix: "/", Timeout: time.Second, Objective: time.Second, Attempts: 2, Targets: []definer.Target{{Service: "engines", Weight: 1}}}},
		Workspaces: []definer.Workspace{{Name: "one", Keys: []string{"secret-1"}, Rate: 1, Burst: 1}, {Name: "two", Keys: []string{"secret-2"}}},
		Limits:     definer.Limits{HeaderTimeout: time.Second},
	}
}

// TestDefinition guards against findings that are missed or false in definitions: one
// case for each kind, and a sound definition without any.
func TestDefinition(t *testing.T) {
	budget := &forwarder.RetryLimit{Share: 0.1}
	tests := []struct {
		name   string
		mutate func(*definer.Definition)
		limit  *forwarder.RetryLimit
		want   []string
	}{
		{"sound", func(*definer.Definition) {}, budget, []string{}},
		{"retry budget not known", func(*definer.Definition) {}, nil, []string{}},
		{"no retry budget", func(*definer.Definition) {}, &forwarder.RetryLimit{Slack: 1}, []string{"attempts-without-budget routes[0].attempts"}},
		{"hidden route", func(d *definer.Definition) {
			d.Routes = append(d.Routes, d.Routes[0])
			d.Routes[1].Host = "H:80"
		}, budget, []string{"invalid routes[1]", "hidden-route routes[0]"}},
		{"weight of 0", func(d *definer.Definition) {
			d.Routes[0].Targets = append(d.Routes[0].Targets, definer.Target{Service: "engines"})
		}, budget, []string{"unused routes[0].targets[1].weight"}},
		{"unused service", func(d *definer.Definition) { d.Services = append(d.Services, definer.Service{Name: "x"}) }, budget, []string{"unused services[1].name"}},
		{"homes without a common region", func(d *definer.Definition) {
			d.Routes[0].Homes, d.Workspaces[0].Homes, d.Workspaces[1].Homes = []string{"n"}, []string{"s"}, []string{"n"}
		}, budget, []string{"home-without-servers workspaces[0].homes"}},
		{"route that shares no region", func(d *definer.Definition) {
			d.Routes = append(d.Routes, d.Routes[0])
			d.Routes[1].Prefix, d.Routes[1].Homes = "/x/", []string{"n"}
			d.Workspaces[0].Homes, d.Workspaces[1].Homes = []string{"s"}, []string{"s"}
		}, budget, []string{"home-without-servers routes[1].homes"}},
		{"objective above timeout", func(d *definer.Definition) { d.Routes[0].Objective++ }, budget, []string{"objective-above-timeout routes[0].objective"}},
		{"gap above timeout", func(d *definer.Definition) { d.Routes[0].Gap = time.Minute }, budget, []string{"objective-above-timeout routes[0].gap"}},
		{"header timeout above timeout", func(d *definer.Definition) { d.Limits.HeaderTimeout++ }, budget, []string{"header-timeout-above-timeout routes[0].timeout"}},
		{"warm-up rate", func(d *definer.Definition) { d.Services[0].WarmupRate = 0.9 }, budget, []string{"warmup-rate services[0].warmuprate"}},
		{"warm-up rate whose interval overflows", func(d *definer.Definition) { d.Services[0].WarmupRate = 1e-300 }, budget, []string{"warmup-rate services[0].warmuprate"}},
		{"workspace without a key", func(d *definer.Definition) { d.Workspaces[1].Keys = nil }, budget, []string{"workspace-without-key workspaces[1].name"}},
		{"shared key", func(d *definer.Definition) { d.Workspaces[1].Keys = d.Workspaces[0].Keys }, budget, []string{"invalid workspaces[1].keys[0]", "shared-key workspaces[0].keys[0]"}},
		{"quota in requests", func(d *definer.Definition) { d.Workspaces[0].Burst = 0.5 }, budget, []string{"quota-below-request workspaces[0].burst"}},
		{"quota in tokens", func(d *definer.Definition) { d.Workspaces[0].CountTokens, d.Workspaces[0].PlainCost = true, 2 }, budget, []string{"quota-below-request workspaces[0].burst"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := soundDefinition()
			test.mutate(&d)
			assert.DeepEqual(t, found(auditor.Definition(d, test.limit)), test.want)
		})
	}
}
