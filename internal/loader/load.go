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

// ErrInvalid means that settings were rejected. The errors of Load wrap it; test
// with errors.Is.
var ErrInvalid = errors.New("invalid settings")

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ruleTexts holds, by validator tag, what a rule allows. %s stands for the tag's
// parameter.
var ruleTexts = map[string]string{
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

// Load reads a settings file, decodes it strictly and validates it. Relative file
// names in it are resolved against the folder of the settings file. The error is
// a *locator.Faults that wraps ErrInvalid if the settings are rejected, and a
// trace error, such as trace.NotFound, if the file cannot be read.
func Load[T any](path string) (T, error) {
	var settings T
	content, err := os.ReadFile(path)
	if err != nil {
		return settings, trace.ConvertSystemError(err)
	}
	if err := parse(path, content, &settings); err != nil {
		return settings, err
	}
	resolvePaths(filepath.Dir(path), reflect.ValueOf(&settings).Elem())
	return settings, nil
}

func parse(path string, content []byte, settings any) error {
	if fault := locator.Decode(content, settings); fault != nil {
		return &locator.Faults{File: path, Faults: []locator.Fault{*fault}, Cause: ErrInvalid}
	}
	err := newValidator().Struct(settings)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return trace.Wrap(err)
	}
	faults := make([]locator.Fault, 0, len(failures))
	for _, failure := range failures {
		faults = append(faults, locator.Fault{Field: fieldPath(failure), Text: failureText(failure)})
	}
	locator.Locate(content, faults)
	return &locator.Faults{File: path, Faults: faults, Cause: ErrInvalid}
}

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return name
	})
	isName := func(level validator.FieldLevel) bool { return namePattern.MatchString(level.Field().String()) }
	if err := validate.RegisterValidation("name", isName); err != nil {
		panic(err) // cannot happen: the tag and the function are constant
	}
	validate.RegisterCustomTypeFunc(func(value reflect.Value) any {
		if address, ok := value.Interface().(netip.AddrPort); ok && address.IsValid() {
			return address.String()
		}
		return ""
	}, netip.AddrPort{})
	return validate
}

// fieldPath returns the path of a field in the settings file: the validator's
// namespace without the name of the Go type and without the inlined Place.
func fieldPath(failure validator.FieldError) string {
	_, field, _ := strings.Cut(failure.Namespace(), ".")
	return strings.TrimPrefix(field, "Place.")
}

func failureText(failure validator.FieldError) string {
	text, known := ruleTexts[failure.Tag()]
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

// resolvePaths resolves the relative file names in the fields for which
// isPathField is true against a folder.
func resolvePaths(folder string, value reflect.Value) {
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			resolvePaths(folder, value.Elem())
		}
	case reflect.Struct:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			if isPathField(field) {
				resolvePath(folder, value.Field(i))
				continue
			}
			if field.IsExported() {
				resolvePaths(folder, value.Field(i))
			}
		}
	}
}

func isPathField(field reflect.StructField) bool {
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
