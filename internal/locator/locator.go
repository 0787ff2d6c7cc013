// Package locator decodes YAML documents strictly and finds the line of each faulty
// field, so that errors can name both the line and the field.
package locator

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Fault is one reason to reject a document, with its position. Line counts from 1
// and is 0 if the line is not known.
type Fault struct {
	Line  int    `json:"line,omitempty"`
	Field string `json:"field"`
	Text  string `json:"text"`
}

// Faults is an error that lists all faults of a document.
type Faults struct {
	File   string  `json:"file"`
	Faults []Fault `json:"faults"`
	// Cause is the wrapped error, for errors.Is.
	Cause error `json:"-"`
}

// Error lists the faults, one per line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.Faults))
	for _, fault := range f.Faults {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", f.File, fault.Line, fault.Field, fault.Text))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (f *Faults) Unwrap() error {
	return f.Cause
}

// Decode decodes a YAML document into the value that into points to. It rejects
// unknown fields and returns nil on success. The YAML library panics on some
// malformed documents; Decode reports such a panic as a fault of the document.
func Decode(text []byte, into any) (fault *Fault) {
	defer func() {
		if recover() != nil {
			fault = &Fault{Field: "document", Text: "not a YAML document of the expected form"}
		}
	}()
	err := decodeStrict(text, into)
	if err == nil {
		return nil
	}
	fault = &Fault{Field: "document", Text: firstLine(err.Error())}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		fault.Text = syntax.GetMessage()
		if token := syntax.GetToken(); token != nil {
			fault.Line = token.Position.Line
			fault.Field = token.Value
		}
		return fault
	}
	if field, found := findRejectedField(text, into, err); found {
		located := []Fault{{Field: field, Text: fault.Text}}
		Locate(text, located)
		return &located[0]
	}
	return fault
}

func decodeStrict(text []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.DisallowUnknownField())
	return decoder.Decode(into)
}

// Locate sets the line of every fault from its field, which is a path such as
// "pools[2].region". If the document lacks the field, the line is that of the
// nearest enclosing item, or 0 if there is none. Lines stay as they are if the
// document cannot be parsed.
func Locate(text []byte, faults []Fault) {
	// The YAML library can panic as in Decode. Without lines the faults are still
	// useful.
	defer func() { _ = recover() }()
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return
	}
	for i := range faults {
		faults[i].Line = lineOfNearest(file, faults[i].Field)
	}
}

// lineOfNearest returns the line of a field or of the nearest item that encloses
// it, or 0.
func lineOfNearest(file *ast.File, field string) int {
	for field != "" {
		if line := lineOf(file, field); line > 0 {
			return line
		}
		end := strings.LastIndexAny(field, ".[")
		if end < 0 {
			return 0
		}
		field = field[:end]
	}
	return 0
}

// lineOf returns the line of a field, or 0 if the document lacks it.
func lineOf(file *ast.File, field string) int {
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
	return line
}
