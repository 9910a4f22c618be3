// Package configfile reads the YAML files of the lab and checks them. A fault is one line that names the file, the line
// and the field.
package configfile

import (
	"errors"
	"os"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/covelink/covelink/internal/settings"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return name
	})
	return v
}

// Load reads a file into config, which holds the defaults. Every error is a *settings.Error.
func Load(file string, config any) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return &settings.Error{Message: oneLine(err.Error())}
	}
	return Decode(file, content, config)
}

// Decode reads the content of a file into config, which holds the defaults. Unknown keys are faults. Every error is a
// *settings.Error.
func Decode(file string, content []byte, config any) error {
	if err := yaml.UnmarshalWithOptions(content, config, yaml.Strict()); err != nil {
		return decodeError(file, content, err)
	}
	return Check(file, config)
}

// Check reports the first unfit field of config as a *settings.Error, or nil.
func Check(file string, config any) error {
	err := validate.Struct(config)
	if err == nil {
		return nil
	}
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) || len(faults) == 0 {
		return &settings.Error{File: file, Message: oneLine(err.Error())}
	}
	_, field, _ := strings.Cut(faults[0].Namespace(), ".")
	rule := faults[0].Tag()
	if faults[0].Param() != "" {
		rule += "=" + faults[0].Param()
	}
	return &settings.Error{File: file, Field: field, Message: "does not meet " + rule}
}

func decodeError(file string, content []byte, err error) error {
	fault := &settings.Error{File: file, Message: oneLine(err.Error())}
	var positioned yaml.Error
	if errors.As(err, &positioned) {
		fault.Message = oneLine(positioned.GetMessage())
		if token := positioned.GetToken(); token != nil && token.Position != nil {
			fault.Line = token.Position.Line
		}
	}
	if fault.Line == 0 {
		fault.Line = lineOfQuoted(content, fault.Message)
	}
	return fault
}

// quoted finds the value that a message of a parser quotes, as in: invalid duration "soon".
var quoted = regexp.MustCompile(`"([^"]+)"`)

// lineOfQuoted returns the first line that holds the value quoted in a message, or 0. The parsers of durations and
// numbers do not tell where a value stands.
func lineOfQuoted(content []byte, message string) int {
	found := quoted.FindStringSubmatch(message)
	if found == nil {
		return 0
	}
	for number, line := range strings.Split(string(content), "\n") {
		if strings.Contains(line, found[1]) {
			return number + 1
		}
	}
	return 0
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
