package v1

import "strings"

// Plural returns the kind as it stands in the path of the resource API, as in zones.
func (k Kind) Plural() string { return strings.ToLower(string(k)) + "s" }

// ParseKind returns the kind that text names: in any case, as a singular or a plural.
func ParseKind(text string) (Kind, bool) {
	for _, kind := range Kinds {
		if strings.EqualFold(text, string(kind)) || strings.EqualFold(text, kind.Plural()) {
			return kind, true
		}
	}
	return "", false
}

// NewObject returns an empty resource of the kind with its type metadata set, or nil for an unknown kind.
func NewObject(kind Kind) Object {
	meta := TypeMeta{APIVersion: APIVersion, Kind: kind}
	switch kind {
	case KindZone:
		return &Zone{TypeMeta: meta}
	case KindPool:
		return &Pool{TypeMeta: meta}
	case KindTrainer:
		return &Trainer{TypeMeta: meta}
	case KindApplication:
		return &Application{TypeMeta: meta}
	default:
		return nil
	}
}

// SetTypeMeta fills apiVersion and kind of a resource.
func SetTypeMeta(object Object) {
	meta := TypeMeta{APIVersion: APIVersion, Kind: object.ObjectKind()}
	switch typed := object.(type) {
	case *Zone:
		typed.TypeMeta = meta
	case *Pool:
		typed.TypeMeta = meta
	case *Trainer:
		typed.TypeMeta = meta
	case *Application:
		typed.TypeMeta = meta
	}
}

// Reference is one place where a resource names another.
type Reference struct {
	// Path is the field that holds the name, as in spec.permittedZones[1].
	Path string
	Kind Kind
	Name string
}

// References returns every reference of a resource in the order of its fields.
func References(object Object) []Reference {
	switch typed := object.(type) {
	case *Pool:
		return listReferences("spec.permittedZones", KindZone, typed.Spec.PermittedZones)
	case *Trainer:
		return []Reference{{Path: "spec.pool", Kind: KindPool, Name: typed.Spec.Pool}}
	case *Application:
		return listReferences("spec.pools", KindPool, typed.Spec.Pools)
	default:
		return nil
	}
}

func listReferences(path string, kind Kind, names []string) []Reference {
	references := make([]Reference, 0, len(names))
	for index, name := range names {
		references = append(references, Reference{Path: indexed(path, index), Kind: kind, Name: name})
	}
	return references
}
