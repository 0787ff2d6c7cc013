package definer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func validDefinition() Definition {
	return Definition{
		Version:  3,
		Services: []Service{{Name: "engines"}, {Name: "desk"}},
		Routes: []Route{
			{Name: "all", Host: "A.example", Prefix: "/", Timeout: time.Second, Targets: []Target{{"engines", 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Timeout: time.Second, Targets: []Target{{"engines", 90}, {"desk", 10}}},
			{Name: "other", Host: "b.example", Prefix: "/x/", Timeout: time.Second, Targets: []Target{{"desk", 1}}},
		},
		Workspaces: []Workspace{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
	}
}

func TestLongestPrefixOfHostWins(t *testing.T) {
	view := NewView(validDefinition())
	tests := []struct{ host, path, route string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example:8080", "/x/y/", "deep"},
		{"A.EXAMPLE", "/x/y", "all"},
		{"a.example", "/x/yy/z", "all"},
		{"a.example", "/", "all"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/y", ""},
		{"c.example", "/", ""},
		{"a.example", "", ""},
	}
	for _, test := range tests {
		route, err := view.Route(test.host, test.path)
		if test.route == "" {
			assert.ErrorIs(t, err, ErrNoRoute, "%v", test)
			continue
		}
		assert.NilError(t, err, "%v", test)
		assert.Equal(t, route.Name, test.route, "%v", test)
	}
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		mutate func(d *Definition)
		text   string
	}{
		{"valid", func(*Definition) {}, ""},
		{"unknown service", func(d *Definition) { d.Routes[0].Targets[0].Service = "none" }, "unknown service"},
		{"same place", func(d *Definition) { d.Routes[1].Prefix = "/" }, "same host and path prefix"},
		{"no weight", func(d *Definition) { d.Routes[0].Targets[0].Weight = 0 }, "add up to 0"},
		{"weights beyond all numbers", func(d *Definition) { d.Routes[0].Targets = []Target{{"engines", math.MaxInt}, {"desk", 1}} }, "add up to more"},
		{"weights whose sum overflows", func(d *Definition) {
			d.Routes[0].Targets = []Target{{Service: "engines", Weight: math.MaxInt}, {Service: "engines", Weight: math.MaxInt}}
		}, "weight"},
		{"no target", func(d *Definition) { d.Routes[0].Targets = nil }, "add up to 0"},
		{"no timeout", func(d *Definition) { d.Routes[0].Timeout = 0 }, "timeout"},
		{"shared key", func(d *Definition) { d.Workspaces[1].Keys = []string{"k1"} }, "same key"},
		{"prefix without slash", func(d *Definition) { d.Routes[0].Prefix = "/a" }, "slash"},
		{"service twice", func(d *Definition) { d.Services[1].Name = "engines" }, "used twice"},
		{"workspace twice", func(d *Definition) { d.Workspaces[1].Name = "one" }, "unique"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := validDefinition()
			test.mutate(&d)
			err := Check(d)
			if test.text == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, ErrInvalid)
			assert.ErrorContains(t, err, test.text)
		})
	}
}

func TestChooseFollowsWeights(t *testing.T) {
	route := &validDefinition().Routes[1]
	counts := map[string]int{}
	for i := range 2000 {
		id := fmt.Sprintf("request-%d", i)
		assert.Equal(t, route.ChooseService(id), route.ChooseService(id))
		counts[route.ChooseService(id)]++
	}
	assert.Assert(t, counts["desk"] > 140 && counts["desk"] < 260, "%v", counts)
}

func TestHomesIntersectRouteAndWorkspace(t *testing.T) {
	tests := []struct {
		route, workspace []string
		want             []string
		bound            bool
	}{
		{nil, nil, nil, false},
		{[]string{"n"}, nil, []string{"n"}, true},
		{nil, []string{"s"}, []string{"s"}, true},
		{[]string{"n", "s"}, []string{"s", "e"}, []string{"s"}, true},
		{[]string{"n"}, []string{"s"}, nil, true},
	}
	for _, test := range tests {
		got, bound := AllowedRegions(&Route{Homes: test.route}, &Workspace{Homes: test.workspace})
		assert.DeepEqual(t, got, test.want)
		assert.Equal(t, bound, test.bound)
	}
}
