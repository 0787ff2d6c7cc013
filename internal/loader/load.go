package loader

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/gravitational/trace"

	"github.com/boragehead/boragehead/internal/locator"
)

// ErrInvalid marks settings that are refused. Test for it with errors.Is.
var ErrInvalid = errors.New("invalid settings")

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// allowed says what each rule of the settings allows.
var allowed = map[string]string{
	"required": "must be set",
	"name":     "use 1 to 63 of a-z, 0-9 and '-'",
	"min":      "needs at least %s",
	"max":      "at most %s are allowed",
	"gt":       "must be more than %s",
	"gtfield":  "must be more than %s",
	"gte":      "must be %s or more",
	"lte":      "must be %s or less",
	"unique":   "each %s may be used once",
}

// Load reads and checks a settings file. File names in it are relative to it.
func Load[T any](path string) (T, error) {
	var settings T
	text, err := os.ReadFile(path)
	if err != nil {
		return settings, trace.ConvertSystemError(err)
	}
	if err := parse(path, text, &settings); err != nil {
		return settings, err
	}
	resolve(filepath.Dir(path), reflect.ValueOf(&settings).Elem())
	return settings, nil
}

func parse(path string, text []byte, settings any) error {
	if fault := locator.Decode(text, settings); fault != nil {
		return &locator.Faults{File: path, Faults: []locator.Fault{*fault}, Cause: ErrInvalid}
	}
	err := newValidator().Struct(settings)
	var failed validator.ValidationErrors
	if !errors.As(err, &failed) {
		return trace.Wrap(err)
	}
	faults := make([]locator.Fault, 0, len(failed))
	for _, failure := range failed {
		faults = append(faults, locator.Fault{Field: fieldOf(failure), Text: textOf(failure)})
	}
	locator.Locate(text, faults)
	return &locator.Faults{File: path, Faults: faults, Cause: ErrInvalid}
}

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return name
	})
	check := func(level validator.FieldLevel) bool { return namePattern.MatchString(level.Field().String()) }
	if err := validate.RegisterValidation("name", check); err != nil {
		panic(err) // the rule above is constant
	}
	validate.RegisterCustomTypeFunc(func(value reflect.Value) any {
		if address, ok := value.Interface().(netip.AddrPort); ok && address.IsValid() {
			return address.String()
		}
		return ""
	}, netip.AddrPort{})
	return validate
}

// fieldOf drops the name of the Go type and of inlined structs.
func fieldOf(failure validator.FieldError) string {
	_, field, _ := strings.Cut(failure.Namespace(), ".")
	return strings.TrimPrefix(field, "Place.")
}

func textOf(failure validator.FieldError) string {
	text, known := allowed[failure.Tag()]
	if !known {
		return "is not allowed"
	}
	if strings.Contains(text, "%s") {
		text = fmt.Sprintf(text, strings.ToLower(failure.Param()))
	}
	if value := fmt.Sprint(failure.Value()); failure.Tag() == "name" || failure.Tag() == "gte" {
		return fmt.Sprintf("%q is not allowed: %s", value, text)
	}
	return text
}

// resolve makes the file names in TLS and folder fields relative to the
// settings file.
func resolve(folder string, value reflect.Value) {
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			resolve(folder, value.Elem())
		}
	case reflect.Struct:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			if isPath(field) {
				resolvePath(folder, value.Field(i))
				continue
			}
			if field.IsExported() {
				resolve(folder, value.Field(i))
			}
		}
	}
}

func isPath(field reflect.StructField) bool {
	switch field.Name {
	case "Authority", "Certificate", "Key", "DataFolder":
		return field.Type.Kind() == reflect.String
	}
	return false
}

func resolvePath(folder string, value reflect.Value) {
	if path := value.String(); path != "" && !filepath.IsAbs(path) {
		value.SetString(filepath.Join(folder, path))
	}
}
