package v1

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const yamlPool = `# a comment
---
apiVersion: covelink.io/v1
kind: Pool
metadata:
  name: summ-lm
spec:
  model: summ-lm
  permittedZones: [bne-stl]
`

func TestDecodeYAMLAll(t *testing.T) {
	Convey("Every resource of a text is decoded in its order", t, func() {
		text := yamlPool + "---\n---\napiVersion: covelink.io/v1\nkind: Zone\nmetadata: {name: bne-stl}\nspec: {region: bne}\n"
		documents, err := DecodeDocuments([]byte(text))
		So(err, ShouldBeNil)
		So(documents, ShouldHaveLength, 2)
		So(documents[0].Object.ObjectKind(), ShouldEqual, KindPool)
		So(documents[0].LineOf("spec.permittedZones[0]"), ShouldEqual, 9)
		So(documents[0].LineOf("spec.maxTokens"), ShouldEqual, 7)
		So(documents[1].Object.(*Zone).Spec.Region, ShouldEqual, "bne")
		So(documents[1].LineOf("metadata.name"), ShouldEqual, 14)
		objects, err := DecodeYAMLAll([]byte("# nothing\n"))
		So(err, ShouldBeNil)
		So(objects, ShouldBeEmpty)
	})

	Convey("No document after an empty one is lost", t, func() {
		for _, empty := range []string{"---\n---\n", "---\n\n# x\n---\n", "---\n---\n---\n", "...\n---\n", "--- # x\n"} {
			objects, err := DecodeYAMLAll([]byte(yamlPool + empty + yamlPool + empty + yamlPool))
			So(err, ShouldBeNil)
			So(objects, ShouldHaveLength, 3)
		}
	})

	Convey("What is not a resource is refused with line and field", t, func() {
		for text, want := range map[string]string{
			yamlPool + "  maxTokns: 4\n":                    "line 10: spec.maxTokns: unknown field",
			yamlPool + "  MaxTokens: 4\n":                   "line 10: spec.MaxTokens: unknown field",
			yamlPool + "  maxTokens: 4.5\n":                 "line 10: spec.maxTokens: must be a whole number",
			yamlPool + "  maxTokens: \"8\"\n":               "line 10: spec.maxTokens: must be a whole number",
			yamlPool + "  maxTokens: .nan\n":                "line 10: spec.maxTokens: must be a whole number",
			yamlPool + "  maxTokens: 9223372036854775808\n": "line 10: spec.maxTokens: is too large a number",
			yamlPool + "  drainingEngines: summ-lm-0\n":     "line 10: spec.drainingEngines: must be a list",
			yamlPool + "  drainingEngines: [a, 7]\n":        "line 10: spec.drainingEngines[1]: must be a string",
			yamlPool + "  drainingEngines: &x [a]\n":        "line 10: spec.drainingEngines: anchors, aliases and tags are not allowed",
			yamlPool + "  model: other\n":                   "line 10: not valid YAML: mapping key \"model\" already defined at [8:3]",
			yamlPool + "---\nspec: [a\n":                    "line 11: not valid YAML: sequence end token ']' not found",
			"apiVersion: v1\nkind: Pool\n":                  "line 1: apiVersion: must be covelink.io/v1",
			"apiVersion: covelink.io/v1\nkind: Pod\n":       "line 2: kind: must be one of Zone, Pool, Trainer, Application",
			"- a\n":  "line 1: apiVersion: must be covelink.io/v1",
			"text\n": "line 1: apiVersion: must be covelink.io/v1",
			"apiVersion: covelink.io/v1\nkind: Zone\nspec: []\n": "line 3: spec: must be an object",
		} {
			_, err := DecodeYAMLAll([]byte(text))
			var fault *DecodeError
			So(errors.As(err, &fault), ShouldBeTrue)
			So(err.Error(), ShouldEqual, want)
		}
	})
}

const jsonZone = `{"apiVersion":"covelink.io/v1","kind":"Zone","metadata":{"name":"a","labels":{"x":"y"}},"spec":{"region":"bne"}}`

func TestDecodeStrict(t *testing.T) {
	Convey("A resource is decoded, with a status if it has one", t, func() {
		text := strings.Replace(jsonZone, `"spec"`, `"status":{"conditions":[{"type":"InForce","status":"True"}],"versions":{"7":2}},"spec"`, 1)
		object, err := DecodeStrict([]byte(text))
		So(err, ShouldBeNil)
		So(object.Meta().Labels["x"], ShouldEqual, "y")
		So(object.ObjectStatus().Versions[7], ShouldEqual, 2)
		So(object.ObjectStatus().Conditions[0].Type, ShouldEqual, ConditionInForce)
	})

	Convey("What is not a resource is refused with its field", t, func() {
		for text, want := range map[string]string{
			strings.Replace(jsonZone, `"region":"bne"`, `"region":"bne","regoin":""`, 1):                                                             "spec.regoin: unknown field",
			strings.Replace(jsonZone, `"region":"bne"`, `"Region":"bne"`, 1):                                                                         "spec.Region: unknown field",
			strings.Replace(jsonZone, `"region":"bne"`, `"region":"bne","region":"x"`, 1):                                                            "spec.region: is repeated",
			strings.Replace(jsonZone, `"region":"bne"`, `"region":7`, 1):                                                                             "spec.region: must be a string, is number",
			strings.Replace(jsonZone, `{"region":"bne"}`, `["bne"]`, 1):                                                                              "spec: must be an object, is array",
			strings.Replace(jsonZone, `"kind":"Zone"`, `"kind":"Zone","TypeMeta":{}`, 1):                                                             "TypeMeta: unknown field",
			strings.Replace(jsonZone, `"kind":"Zone"`, `"kind":"Zones"`, 1):                                                                          "kind: must be one of Zone, Pool, Trainer, Application",
			strings.Replace(jsonZone, `"name":"a"`, `"name":"a","creationTimestamp":"x"`, 1):                                                         "not a resource: a value has the wrong form",
			strings.Replace(jsonZone, `"region":"bne"`, strings.Repeat(`"region":{"a":[`, 1)+strings.Repeat("[", 20)+strings.Repeat("]", 21)+"}", 1): "spec.region.a[0][0][0][0][0][0][0][0][0][0][0][0][0][0]: is nested too deeply",
			jsonZone + "{}": "not valid JSON",
			jsonZone[1:]:    "not valid JSON",
			"":              "not valid JSON",
			"null":          "apiVersion: must be covelink.io/v1",
		} {
			_, err := DecodeStrict([]byte(text))
			var fault *DecodeError
			So(errors.As(err, &fault), ShouldBeTrue)
			So(err.Error(), ShouldEqual, want)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(yamlPool))
	f.Add([]byte(jsonZone))
	f.Add([]byte("a: &a [*a]\n<<: {}\n? x\n: - y"))
	f.Fuzz(func(t *testing.T, data []byte) {
		object, err := DecodeStrict(data)
		if (object == nil) == (err == nil) {
			t.Fatalf("object %v with error %v", object, err)
		}
		if _, err := DecodeYAMLAll(data); err != nil && strings.Contains(err.Error(), "\n") {
			t.Fatalf("error of several lines: %q", err)
		}
	})
}
