package v1

import (
	"errors"
	"io"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Document is one resource of a YAML text, with the lines of its fields.
type Document struct {
	Object Object
	// Line is the line where the resource starts, from 1.
	Line  int
	lines map[string]int
}

// LineOf returns the line of the field at path, or of the nearest field around it that the text states.
func (d *Document) LineOf(path string) int {
	for path != "" {
		if line, found := d.lines[path]; found {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return d.Line
}

// DecodeYAMLAll decodes every resource of a YAML text, as DecodeDocuments.
func DecodeYAMLAll(data []byte) ([]Object, error) {
	documents, err := DecodeDocuments(data)
	if err != nil {
		return nil, err
	}
	objects := make([]Object, 0, len(documents))
	for _, document := range documents {
		objects = append(objects, document.Object)
	}
	return objects, nil
}

// DecodeDocuments decodes every resource of a YAML text; empty documents are skipped. It refuses with a *DecodeError that
// names line and field: unknown and repeated fields, values of another type, anchors and aliases. It sets no defaults
// and validates nothing.
func DecodeDocuments(data []byte) ([]Document, error) {
	var documents []Document
	for _, text := range splitDocuments(string(data)) {
		body, err := parseDocument(text)
		if err != nil {
			return nil, err
		}
		if body == nil {
			continue
		}
		document, err := decodeDocument(body)
		if err != nil {
			return nil, err
		}
		documents = append(documents, *document)
	}
	return documents, nil
}

// splitDocuments cuts a YAML text at its document markers. The YAML library would do so too, but drops without
// an error everything that follows an empty document. Each part starts with as many empty lines as there are
// lines before it, so that the library's line numbers are those of the whole text.
func splitDocuments(text string) []string {
	var parts []string
	var part strings.Builder
	count := 0
	for line := range strings.Lines(text) {
		if isMarker(line) {
			parts = append(parts, part.String())
			part.Reset()
			part.WriteString(strings.Repeat("\n", count))
			line = strings.Repeat(" ", markerLength) + line[markerLength:]
		}
		part.WriteString(line)
		count++
	}
	return append(parts, part.String())
}

const markerLength = len("---")

// isMarker reports whether a line starts or ends a document: it starts with --- or ..., alone or before a space.
func isMarker(line string) bool {
	if !strings.HasPrefix(line, "---") && !strings.HasPrefix(line, "...") {
		return false
	}
	rest := line[markerLength:]
	return rest == "" || strings.ContainsAny(rest[:1], " \t\r\n")
}

// parseDocument returns the root node of the only document of a text, or nil if the text holds none.
func parseDocument(text string) (ast.Node, error) {
	file, err := parser.ParseBytes([]byte(text), 0)
	if err != nil {
		return nil, yamlError(err, nil)
	}
	var body ast.Node
	for _, document := range file.Docs {
		if isEmpty(document.Body) {
			continue
		}
		if body != nil {
			return nil, &DecodeError{Line: lineOf(document.Body.GetToken()), Message: "not valid YAML: text outside of a document"}
		}
		body = document.Body
	}
	return body, nil
}

func isEmpty(body ast.Node) bool {
	if body == nil {
		return true
	}
	kind := body.Type()
	return kind == ast.NullType || kind == ast.CommentType || kind == ast.CommentGroupType
}

func decodeDocument(body ast.Node) (*Document, error) {
	index := newNodeIndex()
	if err := index.add("", body); err != nil {
		return nil, err
	}
	document := &Document{Line: lineOf(body.GetToken()), lines: index.lines}
	object, fault := newTypedObject(index.meta)
	if fault != nil {
		fault.Line = document.LineOf(fault.Path)
		return nil, fault
	}
	if err := checkTypes("", body, reflect.TypeOf(object)); err != nil {
		return nil, err
	}
	decoder := yaml.NewDecoder(strings.NewReader(""), yaml.Strict())
	if err := decoder.DecodeFromNode(body, object); err != nil {
		return nil, yamlError(err, index)
	}
	document.Object = object
	return document, nil
}

// nodeIndex maps the fields of one document to lines and its tokens to fields.
type nodeIndex struct {
	lines map[string]int
	paths map[*token.Token]string
	meta  TypeMeta
}

func newNodeIndex() *nodeIndex {
	return &nodeIndex{lines: make(map[string]int), paths: make(map[*token.Token]string)}
}

func (x *nodeIndex) add(path string, node ast.Node) error {
	x.record(path, node.GetToken())
	switch typed := node.(type) {
	case *ast.MappingNode:
		return x.addMapping(path, typed)
	case *ast.MappingValueNode:
		return x.addMember(path, typed)
	case *ast.SequenceNode:
		return x.addSequence(path, typed)
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		return &DecodeError{Line: lineOf(node.GetToken()), Path: path, Message: "anchors, aliases and tags are not allowed"}
	case *ast.StringNode:
		x.recordType(path, typed.Value)
	}
	return nil
}

func (x *nodeIndex) addMapping(path string, mapping *ast.MappingNode) error {
	for _, value := range mapping.Values {
		if err := x.addMember(path, value); err != nil {
			return err
		}
	}
	return nil
}

func (x *nodeIndex) addMember(path string, value *ast.MappingValueNode) error {
	key := value.Key.GetToken()
	if _, isMerge := value.Key.(*ast.MergeKeyNode); isMerge {
		return &DecodeError{Line: lineOf(key), Path: path, Message: "merge keys are not allowed"}
	}
	fieldPath := member(path, key.Value)
	x.record(fieldPath, key)
	return x.add(fieldPath, value.Value)
}

func (x *nodeIndex) addSequence(path string, sequence *ast.SequenceNode) error {
	for position, value := range sequence.Values {
		if err := x.add(indexed(path, position), value); err != nil {
			return err
		}
	}
	return nil
}

func (x *nodeIndex) record(path string, tk *token.Token) {
	if tk == nil || path == "" {
		return
	}
	if _, found := x.paths[tk]; !found {
		x.paths[tk] = path
	}
	if _, found := x.lines[path]; !found {
		x.lines[path] = lineOf(tk)
	}
}

func (x *nodeIndex) recordType(path, value string) {
	switch path {
	case "apiVersion":
		x.meta.APIVersion = value
	case "kind":
		x.meta.Kind = Kind(value)
	}
}

func lineOf(tk *token.Token) int {
	if tk == nil || tk.Position == nil {
		return 0
	}
	return tk.Position.Line
}

// yamlError turns an error of the YAML library into a DecodeError of one line.
func yamlError(err error, index *nodeIndex) error {
	if errors.Is(err, io.EOF) {
		return &DecodeError{Message: "not valid YAML"}
	}
	var located yaml.Error
	if !errors.As(err, &located) {
		return &DecodeError{Message: "not valid YAML"}
	}
	fault := &DecodeError{Line: lineOf(located.GetToken()), Message: yamlMessage(err)}
	if index != nil {
		fault.Path = index.paths[located.GetToken()]
	}
	return fault
}

func yamlMessage(err error) string {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		return "not valid YAML: " + strings.Join(strings.Fields(syntax.GetMessage()), " ")
	}
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		return "unknown field"
	}
	var repeated *yaml.DuplicateKeyError
	if errors.As(err, &repeated) {
		return "is repeated"
	}
	var overflow *yaml.OverflowError
	if errors.As(err, &overflow) {
		return "is too large a number"
	}
	var wrongType *yaml.TypeError
	if errors.As(err, &wrongType) {
		return "must be " + describeType(wrongType.DstType)
	}
	var wrongNode *yaml.UnexpectedNodeTypeError
	if errors.As(err, &wrongNode) {
		return "has the wrong type"
	}
	return "not valid YAML"
}
