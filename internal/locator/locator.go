// Package locator finds the line of a field in a YAML document, so that an
// error can name the place as well as the field.
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

// Fault is one reason to refuse a document, with the place it was found.
type Fault struct {
	Line  int    `json:"line,omitempty"`
	Field string `json:"field"`
	Text  string `json:"text"`
}

// Faults is an error that names every fault of a document at once.
type Faults struct {
	File   string  `json:"file"`
	Faults []Fault `json:"faults"`
	// Cause is what errors.Is finds.
	Cause error `json:"-"`
}

// Error lists the faults, one a line.
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

// Decode reads a YAML document strictly: unknown fields are refused. The YAML
// library panics on some broken documents; that is a fault of the document.
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
	if field, found := probe(text, into, err); found {
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

// Locate fills in the line of every fault, as far as the document has one. A
// field is written as "pools[2].region".
func Locate(text []byte, faults []Fault) {
	defer func() { _ = recover() }() // as in Decode: a line is only a help
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return
	}
	for i := range faults {
		faults[i].Line = lineOf(file, faults[i].Field)
	}
}

// lineOf finds the line of a field, or of the nearest item that holds it.
func lineOf(file *ast.File, field string) int {
	for field != "" {
		if line := lineAt(file, field); line > 0 {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 0
		}
		field = field[:cut]
	}
	return 0
}

func lineAt(file *ast.File, field string) int {
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
