package tabler

import (
	"errors"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/locator"
)

// ErrInvalid marks tables that are refused. Test for it with errors.Is.
var ErrInvalid = errors.New("invalid tables")

// MaxTablesSize bounds a tables document, in bytes.
const MaxTablesSize = 16 << 20

// Parse reads a tables document and checks it whole. The file name is used
// in errors only. The error is a *locator.Faults that wraps ErrInvalid.
func Parse(file string, text []byte) (Tables, error) {
	var tables Tables
	if len(text) > MaxTablesSize {
		return tables, faults(file, locator.Fault{Field: "document", Text: "larger than 16 MiB"})
	}
	if fault := locator.Decode(text, &tables); fault != nil {
		return Tables{}, faults(file, *fault)
	}
	found := Check(tables)
	if len(found) == 0 {
		return tables, nil
	}
	locator.Locate(text, found)
	return Tables{}, faults(file, found...)
}

// Format writes tables as the YAML that Parse reads.
func Format(tables Tables) ([]byte, error) {
	text, err := yaml.Marshal(tables)
	return text, trace.Wrap(err)
}

func faults(file string, found ...locator.Fault) *locator.Faults {
	return &locator.Faults{File: file, Faults: found, Cause: ErrInvalid}
}
