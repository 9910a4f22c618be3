package v1

import (
	"fmt"
	"strings"
)

// DecodeError is a text that is not a resource. Its text is one line.
type DecodeError struct {
	// Line is the line of the fault, from 1; 0 if it is not known.
	Line int
	// Path is the field of the fault, as in spec.permittedZones[1]; empty if no field is concerned.
	Path    string
	Message string
}

// Error implements error.
func (e *DecodeError) Error() string {
	text := e.Message
	if e.Path != "" {
		text = e.Path + ": " + text
	}
	if e.Line > 0 {
		text = fmt.Sprintf("line %d: %s", e.Line, text)
	}
	return text
}

// newTypedObject returns the empty resource that apiVersion and kind name.
func newTypedObject(meta TypeMeta) (Object, *DecodeError) {
	if meta.APIVersion != APIVersion {
		return nil, &DecodeError{Path: "apiVersion", Message: "must be " + APIVersion}
	}
	object := NewObject(meta.Kind)
	if object == nil {
		return nil, &DecodeError{Path: "kind", Message: "must be one of " + kindNames()}
	}
	return object, nil
}

func kindNames() string {
	names := make([]string, 0, len(Kinds))
	for _, kind := range Kinds {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// member returns the path of a named member of path.
func member(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
