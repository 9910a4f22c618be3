package metastore_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

func TestCell(t *testing.T) {
	Convey("A cell that nobody has written is created once, and then replaced by whoever has read it last", t, func() {
		store := metastoretest.New()
		first := metastore.NewCell(store.Client(), "things", "one", time.Second)
		second := metastore.NewCell(store.Client(), "things", "one", time.Second)
		So(first.Known(), ShouldBeFalse)
		for _, cell := range []*metastore.Cell{first, second} {
			content, err := cell.Read(t.Context())
			So(err, ShouldBeNil)
			So(content, ShouldBeNil)
		}
		So(first.Write(t.Context(), []byte(`1`)), ShouldBeNil)
		So(first.Write(t.Context(), []byte(`2`)), ShouldBeNil)
		var conflict *metastore.ConflictError
		So(errors.As(second.Write(t.Context(), []byte(`3`)), &conflict), ShouldBeTrue)
		So(second.Known(), ShouldBeFalse)
		content, err := second.Read(t.Context())
		So(err, ShouldBeNil)
		So(string(content), ShouldEqual, `2`)
		So(second.Write(t.Context(), []byte(`3`)), ShouldBeNil)
		So(first.Write(t.Context(), []byte(`4`)), ShouldNotBeNil)
	})
}
