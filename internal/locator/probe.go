package locator

import (
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
)

// maxAttempts bounds the number of values that findRejectedField tries, and thus
// its time on large documents.
const maxAttempts = 400

// findRejectedField returns the path of the first field whose value the target type
// rejects with the original error, because the YAML library gives no position for
// such errors. It sets one value at a time to null and decodes the document again:
// the error changes or vanishes only if that value caused it.
func findRejectedField(text []byte, into any, original error) (field string, found bool) {
	var document yaml.MapSlice
	if err := yaml.UnmarshalWithOptions(text, &document, yaml.UseOrderedMap()); err != nil {
		return "", false
	}
	attempts := 0
	visitScalars(document, "", func(path string, setNull func() (restore func())) bool {
		attempts++
		if attempts > maxAttempts {
			return false
		}
		restore := setNull()
		remaining, err := yaml.Marshal(document)
		restore()
		if err != nil {
			return true
		}
		target := reflect.New(reflect.TypeOf(into).Elem()).Interface()
		err = decodeStrict(remaining, target)
		if err != nil && firstLine(err.Error()) == firstLine(original.Error()) {
			return true
		}
		field, found = path, true
		return false
	})
	return field, found
}

// visitScalars calls visit for every scalar of a document in order. The function
// setNull replaces the scalar with null and returns a function that restores it.
// visitScalars stops and returns false when visit returns false.
func visitScalars(value any, path string, visit func(path string, setNull func() (restore func())) bool) bool {
	switch value := value.(type) {
	case yaml.MapSlice:
		for i := range value {
			item := &value[i]
			itemPath := joinPath(path, fmt.Sprint(item.Key))
			if isScalar(item.Value) {
				if !visit(itemPath, func() func() { return replaceWithNull(&item.Value) }) {
					return false
				}
				continue
			}
			if !visitScalars(item.Value, itemPath, visit) {
				return false
			}
		}
	case []any:
		for i := range value {
			itemPath := fmt.Sprintf("%s[%d]", path, i)
			if isScalar(value[i]) {
				if !visit(itemPath, func() func() { return replaceWithNull(&value[i]) }) {
					return false
				}
				continue
			}
			if !visitScalars(value[i], itemPath, visit) {
				return false
			}
		}
	}
	return true
}

// replaceWithNull replaces a value with null, which every type accepts, and returns
// a function that restores it.
func replaceWithNull(value *any) (restore func()) {
	original := *value
	*value = nil
	return func() { *value = original }
}

func isScalar(value any) bool {
	switch value.(type) {
	case yaml.MapSlice, []any:
		return false
	}
	return true
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
