package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("koanf")
	})
	return v
}

// Check reports the first fault of the settings as an *Error, or nil.
func (s Settings) Check() error {
	if err := checkStruct(s, "Settings."); err != nil {
		return err
	}
	return s.checkSeeds()
}

// checkStruct checks the rules of a structure's tags. root is what the paths of its fields begin with.
func checkStruct(structure any, root string) error {
	err := validate.Struct(structure)
	var faults validator.ValidationErrors
	if errors.As(err, &faults) && len(faults) > 0 {
		return fieldError(faults[0], root)
	}
	if err != nil {
		return &Error{Message: oneLine(err)}
	}
	return nil
}

// checkSeeds makes sure that the node stands in its own cluster.
func (s Settings) checkSeeds() error {
	zoneDeclared := false
	for i, seed := range s.Cluster.Seeds {
		if seed.Zone == s.Node.Zone {
			zoneDeclared = true
		}
		if seed.Name == s.Node.Name && seed.Zone != s.Node.Zone {
			return &Error{
				Field:   fmt.Sprintf("cluster.seeds[%d].zone", i),
				Message: fmt.Sprintf("%q is this node, whose zone is %q", seed.Name, s.Node.Zone),
			}
		}
	}
	if !zoneDeclared {
		return &Error{Field: "node.zone", Message: fmt.Sprintf("zone %q is not declared by any of cluster.seeds", s.Node.Zone)}
	}
	return nil
}

func fieldError(fault validator.FieldError, root string) *Error {
	path := strings.TrimPrefix(fault.Namespace(), root)
	return &Error{Field: path, Message: describe(fault)}
}

// describe says in words what the rule asks.
func describe(fault validator.FieldError) string {
	rule := fault.Tag()
	switch rule {
	case "required", "required_with":
		return "must be set"
	case "gte", "min":
		return fmt.Sprintf("must be at least %s, is %v", fault.Param(), fault.Value())
	case "lte", "max":
		return fmt.Sprintf("must be at most %s, is %v", fault.Param(), fault.Value())
	case "gt":
		return fmt.Sprintf("must be more than %s, is %v", fault.Param(), fault.Value())
	case "gtfield":
		return fmt.Sprintf("must be more than %s, is %v", fault.Param(), fault.Value())
	case "oneof":
		return fmt.Sprintf("must be one of %s, is %q", fault.Param(), fault.Value())
	case "hostname_port|tcp_addr":
		return fmt.Sprintf("must be host:port, is %q", fault.Value())
	case "http_url":
		return fmt.Sprintf("must be an http or https URL, is %q", fault.Value())
	case "hostname_rfc1123":
		return fmt.Sprintf("must be a host name, is %q", fault.Value())
	case "file":
		return fmt.Sprintf("must be a readable file, is %q", fault.Value())
	case "unique":
		return "must not name the same one twice"
	}
	return fmt.Sprintf("breaks the rule %s %s", rule, fault.Param())
}

// knownKeys maps the lower-case form of every scalar key path of the settings T to the path.
func knownKeys[T any]() map[string]string {
	known := make(map[string]string)
	collectKeys(reflect.TypeFor[T](), "", known)
	return known
}

func collectKeys(structure reflect.Type, prefix string, known map[string]string) {
	for field := range structure.Fields() {
		path := prefix + field.Tag.Get("koanf")
		if field.Type.Kind() == reflect.Struct {
			collectKeys(field.Type, path+keyDelimiter, known)
			continue
		}
		known[strings.ToLower(path)] = path
	}
}
