package v1

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strings"
	"time"
)

// maxJSONDepth bounds the nesting of a resource; the deepest field of any kind is at depth 4.
const maxJSONDepth = 16

// DecodeStrict decodes one resource from JSON. It refuses with a *DecodeError unknown and repeated fields, names in
// another case, values of another type and anything after the resource. It sets no defaults and validates nothing.
func DecodeStrict(data []byte) (Object, error) {
	var meta TypeMeta
	if err := json.Unmarshal(data, &meta); err != nil {
		return nil, jsonError(err)
	}
	object, fault := newTypedObject(meta)
	if fault != nil {
		return nil, fault
	}
	checker := fieldChecker{decoder: json.NewDecoder(bytes.NewReader(data))}
	if err := checker.value("", reflect.TypeOf(object), 0); err != nil {
		return nil, jsonError(err)
	}
	if err := json.Unmarshal(data, object); err != nil {
		return nil, jsonError(err)
	}
	return object, nil
}

func jsonError(err error) error {
	var fault *DecodeError
	if errors.As(err, &fault) {
		return fault
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &DecodeError{Path: typeError.Field, Message: "must be " + describeType(typeError.Type) + ", is " + firstWord(typeError.Value)}
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &DecodeError{Message: "not valid JSON"}
	}
	return &DecodeError{Message: "not a resource: a value has the wrong form"}
}

// firstWord drops the literal that encoding/json appends to "number".
func firstWord(text string) string {
	word, _, _ := strings.Cut(text, " ")
	return word
}

// describeType names the expected type in JSON's terms.
func describeType(expected reflect.Type) string {
	switch expected.Kind() {
	case reflect.Bool:
		return "a boolean"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	default:
		return "a string"
	}
}

// fieldChecker walks a JSON text beside the Go type that it is to fill. encoding/json can refuse unknown
// fields too, but names no path, accepts names in another case and takes the last of repeated fields.
type fieldChecker struct {
	decoder *json.Decoder
}

// value checks one value; expected is nil where any value may stand.
func (c *fieldChecker) value(path string, expected reflect.Type, depth int) error {
	if depth > maxJSONDepth {
		return &DecodeError{Path: path, Message: "is nested too deeply"}
	}
	for expected != nil && expected.Kind() == reflect.Pointer {
		expected = expected.Elem()
	}
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return c.object(path, expected, depth)
	case json.Delim('['):
		return c.list(path, expected, depth)
	default:
		return nil
	}
}

func (c *fieldChecker) object(path string, expected reflect.Type, depth int) error {
	seen := make(map[string]bool)
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		fieldPath := member(path, name)
		if seen[name] {
			return &DecodeError{Path: fieldPath, Message: "is repeated"}
		}
		seen[name] = true
		fieldType, known := memberType(expected, name)
		if !known {
			return &DecodeError{Path: fieldPath, Message: "unknown field"}
		}
		if err := c.value(fieldPath, fieldType, depth+1); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

func (c *fieldChecker) list(path string, expected reflect.Type, depth int) error {
	var element reflect.Type
	if expected != nil && expected.Kind() == reflect.Slice {
		element = expected.Elem()
	}
	for index := 0; c.decoder.More(); index++ {
		if err := c.value(indexed(path, index), element, depth+1); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// memberType returns the type of the member name of an object that fills expected, and whether there is one.
func memberType(expected reflect.Type, name string) (reflect.Type, bool) {
	if expected == nil || expected == reflect.TypeFor[time.Time]() {
		return nil, true
	}
	switch expected.Kind() {
	case reflect.Map:
		return expected.Elem(), true
	case reflect.Struct:
		return structMember(expected, name)
	default:
		// A wrong type is reported by the decoding itself.
		return nil, true
	}
}

func structMember(structure reflect.Type, name string) (reflect.Type, bool) {
	for _, field := range reflect.VisibleFields(structure) {
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if tag != "" && tag == name {
			return field.Type, true
		}
	}
	return nil, false
}
