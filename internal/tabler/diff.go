package tabler

import (
	"reflect"
	"slices"
)

// Diff returns the edit that turns one document into another.
func Diff(from, to Tables) Edit {
	var edit Edit
	edit.Put.Regions = changed(from.Regions, to.Regions, regionName)
	edit.Put.Pools = changed(from.Pools, to.Pools, poolName)
	edit.Put.Routes = changed(from.Routes, to.Routes, routeName)
	edit.Put.Workspaces = changed(from.Workspaces, to.Workspaces, workspaceName)
	edit.Remove = slices.Concat(
		missing(KindRegion, from.Regions, to.Regions, regionName),
		missing(KindPool, from.Pools, to.Pools, poolName),
		missing(KindRoute, from.Routes, to.Routes, routeName),
		missing(KindWorkspace, from.Workspaces, to.Workspaces, workspaceName),
	)
	return edit
}

// Merge returns the document after an edit, sorted by name.
func Merge(tables Tables, edit Edit) Tables {
	return Tables{
		Regions:    merge(tables.Regions, edit.Put.Regions, edit.Remove, KindRegion, regionName),
		Pools:      merge(tables.Pools, edit.Put.Pools, edit.Remove, KindPool, poolName),
		Routes:     merge(tables.Routes, edit.Put.Routes, edit.Remove, KindRoute, routeName),
		Workspaces: merge(tables.Workspaces, edit.Put.Workspaces, edit.Remove, KindWorkspace, workspaceName),
	}
}

// Empty reports whether the edit changes nothing.
func (e Edit) Empty() bool {
	return len(e.Put.Regions)+len(e.Put.Pools)+len(e.Put.Routes)+len(e.Put.Workspaces)+len(e.Remove) == 0
}

func regionName(r Region) string       { return r.Name }
func poolName(p Pool) string           { return p.Name }
func routeName(r Route) string         { return r.Name }
func workspaceName(w Workspace) string { return w.Name }

func index[T any](items []T, name func(T) string) map[string]T {
	byName := make(map[string]T, len(items))
	for _, item := range items {
		byName[name(item)] = item
	}
	return byName
}

func changed[T any](from, to []T, name func(T) string) []T {
	before := index(from, name)
	var result []T
	for _, item := range to {
		old, known := before[name(item)]
		if !known || !reflect.DeepEqual(old, item) {
			result = append(result, item)
		}
	}
	return result
}

func missing[T any](kind Kind, from, to []T, name func(T) string) []Name {
	after := index(to, name)
	var result []Name
	for _, item := range from {
		if _, kept := after[name(item)]; !kept {
			result = append(result, Name{Kind: kind, Name: name(item)})
		}
	}
	return result
}

func merge[T any](items, put []T, remove []Name, kind Kind, name func(T) string) []T {
	byName := index(items, name)
	for _, item := range put {
		byName[name(item)] = item
	}
	for _, gone := range remove {
		if gone.Kind == kind {
			delete(byName, gone.Name)
		}
	}
	result := make([]T, 0, len(byName))
	for _, item := range byName {
		result = append(result, item)
	}
	slices.SortFunc(result, compareNames(name))
	return result
}
