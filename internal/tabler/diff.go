package tabler

import (
	"reflect"
	"slices"
)

// Diff returns the edit that turns one document into another. Its expected revision
// is not set.
func Diff(from, to Tables) Edit {
	var edit Edit
	edit.Put.Regions = changedItems(from.Regions, to.Regions, regionName)
	edit.Put.Pools = changedItems(from.Pools, to.Pools, poolName)
	edit.Put.Routes = changedItems(from.Routes, to.Routes, routeName)
	edit.Put.Workspaces = changedItems(from.Workspaces, to.Workspaces, workspaceName)
	edit.Remove = slices.Concat(
		removedItems(KindRegion, from.Regions, to.Regions, regionName),
		removedItems(KindPool, from.Pools, to.Pools, poolName),
		removedItems(KindRoute, from.Routes, to.Routes, routeName),
		removedItems(KindWorkspace, from.Workspaces, to.Workspaces, workspaceName),
	)
	return edit
}

// Merge returns the document after an edit, sorted by name.
func Merge(tables Tables, edit Edit) Tables {
	return Tables{
		Regions:    mergeItems(tables.Regions, edit.Put.Regions, edit.Remove, KindRegion, regionName),
		Pools:      mergeItems(tables.Pools, edit.Put.Pools, edit.Remove, KindPool, poolName),
		Routes:     mergeItems(tables.Routes, edit.Put.Routes, edit.Remove, KindRoute, routeName),
		Workspaces: mergeItems(tables.Workspaces, edit.Put.Workspaces, edit.Remove, KindWorkspace, workspaceName),
	}
}

// IsEmpty reports whether the edit changes nothing.
func (e Edit) IsEmpty() bool {
	return len(e.Put.Regions)+len(e.Put.Pools)+len(e.Put.Routes)+len(e.Put.Workspaces)+len(e.Remove) == 0
}

func regionName(r Region) string       { return r.Name }
func poolName(p Pool) string           { return p.Name }
func routeName(r Route) string         { return r.Name }
func workspaceName(w Workspace) string { return w.Name }

func indexByName[T any](items []T, name func(T) string) map[string]T {
	byName := make(map[string]T, len(items))
	for _, item := range items {
		byName[name(item)] = item
	}
	return byName
}

// changedItems returns the items of to that are new or differ in from.
func changedItems[T any](from, to []T, name func(T) string) []T {
	before := indexByName(from, name)
	var result []T
	for _, item := range to {
		old, known := before[name(item)]
		if !known || !reflect.DeepEqual(old, item) {
			result = append(result, item)
		}
	}
	return result
}

// removedItems returns the names of the items of from that are not in to.
func removedItems[T any](kind Kind, from, to []T, name func(T) string) []Name {
	after := indexByName(to, name)
	var result []Name
	for _, item := range from {
		if _, kept := after[name(item)]; !kept {
			result = append(result, Name{Kind: kind, Name: name(item)})
		}
	}
	return result
}

// mergeItems returns the items after an edit, sorted by name.
func mergeItems[T any](items, put []T, remove []Name, kind Kind, name func(T) string) []T {
	byName := indexByName(items, name)
	for _, item := range put {
		byName[name(item)] = item
	}
	for _, removed := range remove {
		if removed.Kind == kind {
			delete(byName, removed.Name)
		}
	}
	result := make([]T, 0, len(byName))
	for _, item := range byName {
		result = append(result, item)
	}
	slices.SortFunc(result, compareByName(name))
	return result
}
