package tabler

import (
	"errors"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/locator"
)

// ErrInvalid means that tables or a change are invalid. Test for it with errors.Is.
var ErrInvalid = errors.New("invalid tables")

// MaxTablesSize limits the size of a tables document, in bytes.
const MaxTablesSize = 16 << 20

// Parse parses a tables document in YAML and checks it. The error is a
// *locator.Faults with all faults and their lines, and wraps ErrInvalid. The file
// name is used only in errors.
func Parse(file string, text []byte) (Tables, error) {
	var tables Tables
	if len(text) > MaxTablesSize {
		return tables, newFaults(file, locator.Fault{Field: "document", Text: "larger than 16 MiB"})
	}
	if fault := locator.Decode(text, &tables); fault != nil {
		return Tables{}, newFaults(file, *fault)
	}
	found := Check(tables)
	if len(found) == 0 {
		return tables, nil
	}
	locator.Locate(text, found)
	return Tables{}, newFaults(file, found...)
}

// Format returns the tables as YAML that Parse accepts.
func Format(tables Tables) ([]byte, error) {
	text, err := yaml.Marshal(tables)
	return text, trace.Wrap(err)
}

func newFaults(file string, found ...locator.Fault) *locator.Faults {
	return &locator.Faults{File: file, Faults: found, Cause: ErrInvalid}
}
