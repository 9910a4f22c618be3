package v1_test

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
)

func TestCodec(t *testing.T) {
	Convey("Every kind of resource comes back as it was, without its status and sharing nothing", t, func() {
		for _, kind := range v1.Kinds {
			object := v1.NewObject(kind)
			*object.Meta() = v1.ObjectMeta{Name: "n", ResourceVersion: "7", Labels: map[string]string{"k": "v"}}
			object.ObjectStatus().Nodes = 3
			raw, err := v1.EncodeRaw(object)
			So(err, ShouldBeNil)
			So(raw.Kind, ShouldEqual, kind)
			decoded, err := v1.DecodeRaw(raw)
			So(err, ShouldBeNil)
			decoded.Meta().Labels["k"] = "changed"
			So(raw.Metadata.Labels["k"], ShouldEqual, "v")
			decoded.Meta().Labels["k"] = "v"
			object.ObjectStatus().Nodes = 0
			So(decoded, ShouldResemble, object)
		}
	})

	Convey("Unknown kinds and specs that don't fit are errors", t, func() {
		_, err := v1.DecodeRaw(v1.RawObject{Kind: "Other", Spec: json.RawMessage(`{}`)})
		So(err, ShouldNotBeNil)
		_, err = v1.DecodeRaw(v1.RawObject{Kind: v1.KindPool, Spec: json.RawMessage(`{"model":1}`)})
		So(err, ShouldNotBeNil)
	})
}
