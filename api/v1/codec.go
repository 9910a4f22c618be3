package v1

import (
	"encoding/json"
	"fmt"
	"maps"
)

// specOf returns a pointer to the spec of a resource, or nil for an unknown type.
func specOf(object Object) any {
	switch typed := object.(type) {
	case *Zone:
		return &typed.Spec
	case *Pool:
		return &typed.Spec
	case *Trainer:
		return &typed.Spec
	case *Application:
		return &typed.Spec
	}
	return nil
}

// EncodeRaw returns the stored form of a resource. The status is left out: it is observed, never stored.
func EncodeRaw(object Object) (RawObject, error) {
	spec := specOf(object)
	if spec == nil {
		return RawObject{}, fmt.Errorf("encode resource: unknown type %T", object)
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		return RawObject{}, fmt.Errorf("encode %s %q: %w", object.ObjectKind(), object.Meta().Name, err)
	}
	raw := RawObject{Kind: object.ObjectKind(), Metadata: *object.Meta(), Spec: encoded}
	raw.Metadata.Labels = maps.Clone(raw.Metadata.Labels)
	return raw, nil
}

// DecodeRaw returns the typed resource of a stored form, with an empty status. It shares no memory with raw.
func DecodeRaw(raw RawObject) (Object, error) {
	object := NewObject(raw.Kind)
	if object == nil {
		return nil, fmt.Errorf("decode resource %q: unknown kind %q", raw.Metadata.Name, raw.Kind)
	}
	if err := json.Unmarshal(raw.Spec, specOf(object)); err != nil {
		return nil, fmt.Errorf("decode %s %q: %w", raw.Kind, raw.Metadata.Name, err)
	}
	*object.Meta() = raw.Metadata
	object.Meta().Labels = maps.Clone(raw.Metadata.Labels)
	return object, nil
}
