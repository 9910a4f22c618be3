package v1

import (
	"reflect"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// checkTypes refuses values of another type than the field's: the YAML library would cut 4.5 to 4 and
// read the text "8" as a number and the number 7 as a text. Unknown fields are left to the library.
func checkTypes(path string, node ast.Node, expected reflect.Type) error {
	for expected != nil && expected.Kind() == reflect.Pointer {
		expected = expected.Elem()
	}
	if fault := checkShape(path, node, expected); fault != nil {
		return fault
	}
	switch typed := node.(type) {
	case *ast.MappingNode:
		return checkMembers(path, typed.Values, expected)
	case *ast.MappingValueNode:
		return checkMembers(path, []*ast.MappingValueNode{typed}, expected)
	case *ast.SequenceNode:
		return checkElements(path, typed.Values, expected)
	default:
		return nil
	}
}

// checkShape refuses a node of another type than expected; nil expects nothing, and null fits everywhere.
func checkShape(path string, node ast.Node, expected reflect.Type) error {
	if expected == nil || node.Type() == ast.NullType || fits(node, expected) {
		return nil
	}
	return &DecodeError{Line: lineOf(node.GetToken()), Path: path, Message: "must be " + describeType(expected)}
}

func checkMembers(path string, values []*ast.MappingValueNode, expected reflect.Type) error {
	for _, value := range values {
		name := value.Key.GetToken().Value
		fieldType, _ := memberType(expected, name)
		if err := checkTypes(member(path, name), value.Value, fieldType); err != nil {
			return err
		}
	}
	return nil
}

func checkElements(path string, values []ast.Node, expected reflect.Type) error {
	var element reflect.Type
	if expected != nil && expected.Kind() == reflect.Slice {
		element = expected.Elem()
	}
	for index, value := range values {
		if err := checkTypes(indexed(path, index), value, element); err != nil {
			return err
		}
	}
	return nil
}

// fits reports whether a node may fill a field of the type.
func fits(node ast.Node, expected reflect.Type) bool {
	kind := node.Type()
	if expected == reflect.TypeFor[time.Time]() {
		return kind == ast.StringType
	}
	switch expected.Kind() {
	case reflect.String:
		return kind == ast.StringType || kind == ast.LiteralType
	case reflect.Int, reflect.Int64:
		return kind == ast.IntegerType
	case reflect.Float64:
		return kind == ast.IntegerType || kind == ast.FloatType || kind == ast.InfinityType || kind == ast.NanType
	case reflect.Bool:
		return kind == ast.BoolType
	case reflect.Slice:
		return kind == ast.SequenceType
	default:
		return kind == ast.MappingType || kind == ast.MappingValueType
	}
}
