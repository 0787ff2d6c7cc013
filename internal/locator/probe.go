package locator

import (
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
)

// maxProbes bounds the values that are tried.
const maxProbes = 400

// probe finds the field whose value a type refuses: the library tells no place
// for it. Each value is left out in turn; without the refused one the error is
// another.
func probe(text []byte, into any, first error) (field string, found bool) {
	var document yaml.MapSlice
	if err := yaml.UnmarshalWithOptions(text, &document, yaml.UseOrderedMap()); err != nil {
		return "", false
	}
	tries := 0
	walk(document, "", func(path string, without func() (restore func())) bool {
		tries++
		if tries > maxProbes {
			return false
		}
		restore := without()
		left, err := yaml.Marshal(document)
		restore()
		if err != nil {
			return true
		}
		fresh := reflect.New(reflect.TypeOf(into).Elem()).Interface()
		err = decodeStrict(left, fresh)
		if err != nil && firstLine(err.Error()) == firstLine(first.Error()) {
			return true
		}
		field, found = path, true
		return false
	})
	return field, found
}

// walk visits every scalar of a document, in order, with a function that takes
// it out and returns one that puts it back. It ends when visit returns false.
func walk(value any, path string, visit func(path string, without func() (restore func())) bool) bool {
	switch value := value.(type) {
	case yaml.MapSlice:
		for i := range value {
			item := &value[i]
			at := join(path, fmt.Sprint(item.Key))
			if isScalar(item.Value) {
				if !visit(at, func() func() { return blank(&item.Value) }) {
					return false
				}
				continue
			}
			if !walk(item.Value, at, visit) {
				return false
			}
		}
	case []any:
		for i := range value {
			at := fmt.Sprintf("%s[%d]", path, i)
			if isScalar(value[i]) {
				if !visit(at, func() func() { return blank(&value[i]) }) {
					return false
				}
				continue
			}
			if !walk(value[i], at, visit) {
				return false
			}
		}
	}
	return true
}

// blank sets a value to null, which every type takes, and returns what puts
// it back.
func blank(value *any) (restore func()) {
	old := *value
	*value = nil
	return func() { *value = old }
}

func isScalar(value any) bool {
	switch value.(type) {
	case yaml.MapSlice, []any:
		return false
	}
	return true
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
