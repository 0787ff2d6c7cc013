package auditor

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/locator"
	"github.com/boragehead/boragehead/internal/tabler"
)

// Change is the difference of one entry between two configurations. It tells which
// fields differ and, except for names, none of their values: some are keys.
type Change struct {
	// Op is add, change or remove.
	Op string `json:"op"`
	// Table is the table of the entry, as routes.
	Table  string   `json:"table"`
	Name   string   `json:"name"`
	Fields []string `json:"fields,omitempty"`
}

// DiffTables returns the changes from one document of tables to another.
func DiffTables(from, to tabler.Tables) []Change {
	edit := tabler.Diff(from, to)
	removed := func(kind tabler.Kind) (names []string) {
		for _, name := range edit.Remove {
			if name.Kind == kind {
				names = append(names, name.Name)
			}
		}
		return names
	}
	return slices.Concat(
		changes("regions", from.Regions, edit.Put.Regions, removed(tabler.KindRegion), func(r tabler.Region) string { return r.Name }),
		changes("pools", from.Pools, edit.Put.Pools, removed(tabler.KindPool), func(p tabler.Pool) string { return p.Name }),
		changes("routes", from.Routes, edit.Put.Routes, removed(tabler.KindRoute), func(r tabler.Route) string { return r.Name }),
		changes("workspaces", from.Workspaces, edit.Put.Workspaces, removed(tabler.KindWorkspace), func(w tabler.Workspace) string { return w.Name }),
	)
}

// DiffDefinitions returns the changes from one definition to another, without their
// versions. A route is identified by its host and path prefix, since two routes may
// have the same name.
func DiffDefinitions(from, to definer.Definition) []Change {
	limits := func(definer.Limits) string { return "limits" }
	return slices.Concat(
		diffItems("routes", from.Routes, to.Routes, func(r definer.Route) string { return strings.ToLower(r.Host) + r.Prefix }),
		diffItems("services", from.Services, to.Services, func(s definer.Service) string { return s.Name }),
		diffItems("workspaces", from.Workspaces, to.Workspaces, func(w definer.Workspace) string { return w.Name }),
		diffItems("limits", []definer.Limits{from.Limits}, []definer.Limits{to.Limits}, limits),
	)
}

// Outdated returns the finding on a changed definition whose version is not above the
// one in force.
func Outdated(version, inForce definer.Version) Finding {
	return Finding{KindOutdated, locator.Fault{Field: "version", Text: fmt.Sprintf("%d is not above version %d, which is in force and would stay", version, inForce)}}
}

func diffItems[T any](table string, from, to []T, name func(T) string) []Change {
	var put []T
	var removed []string
	before, after := indexByName(from, name), indexByName(to, name)
	for _, item := range to {
		if old, known := before[name(item)]; !known || len(changedFields(old, item)) > 0 {
			put = append(put, item)
		}
	}
	for _, item := range from {
		if _, kept := after[name(item)]; !kept {
			removed = append(removed, name(item))
		}
	}
	return changes(table, from, put, removed, name)
}

// changes returns the changes that put and remove items of a table.
func changes[T any](table string, from, put []T, removed []string, name func(T) string) []Change {
	var result []Change
	before := indexByName(from, name)
	for _, item := range put {
		change := Change{Op: "add", Table: table, Name: name(item)}
		if old, known := before[change.Name]; known {
			change.Op, change.Fields = "change", changedFields(old, item)
		}
		result = append(result, change)
	}
	for _, name := range removed {
		result = append(result, Change{Op: "remove", Table: table, Name: name})
	}
	return result
}

func indexByName[T any](items []T, name func(T) string) map[string]T {
	byName := make(map[string]T, len(items))
	for _, item := range items {
		byName[name(item)] = item
	}
	return byName
}

// changedFields returns the names of the fields in which two structs differ: that of the
// JSON tag, or else that of Go in lower case. Of keys it tells how many come and go.
func changedFields(from, to any) []string {
	var fields []string
	before, after := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range before.NumField() {
		if reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			continue
		}
		field := before.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" {
			name = strings.ToLower(field.Name)
		}
		if keys, ok := before.Field(i).Interface().([]string); ok && field.Name == "Keys" {
			now := after.Field(i).Interface().([]string)
			name = fmt.Sprintf("%s (%d added, %d removed)", name, countMissing(now, keys), countMissing(keys, now))
		}
		fields = append(fields, name)
	}
	return fields
}

// countMissing returns how many texts of one list are not in another.
func countMissing(texts, others []string) int {
	count := 0
	for _, text := range texts {
		if !slices.Contains(others, text) {
			count++
		}
	}
	return count
}
