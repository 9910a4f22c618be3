package tenants

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/secretindex"
)

func TestDirectory(t *testing.T) {
	directory := NewDirectory([]Entry{
		{Tenant: Tenant{Name: "alpha", Priority: 2}, Keys: []string{"a1", "a2", "shared"}},
		{Tenant: Tenant{Name: "beta"}, Keys: []string{"b1", "shared", ""}},
		{Tenant: Tenant{Name: "alpha", Priority: 9}, Keys: []string{"a3"}},
		{Tenant: Tenant{Name: "gone", Priority: 1}},
	})
	Convey("Each key leads to its tenant, and a key of two to the first", t, func() {
		for key, name := range map[string]string{"a1": "alpha", "a2": "alpha", "a3": "alpha", "b1": "beta", "shared": "alpha"} {
			So(directory.Holder(key).Name, ShouldEqual, name)
		}
	})
	Convey("Nothing else leads to a tenant", t, func() {
		for _, key := range []string{"", "A1", "a1 ", "alpha", "a1\x00"} {
			So(directory.Holder(key), ShouldBeNil)
		}
	})
	Convey("Priorities are found by name", t, func() {
		So(directory.Priority("alpha"), ShouldEqual, 2)
		So(directory.Priority("gone"), ShouldEqual, 1)
		So(directory.Priority("nobody"), ShouldEqual, 0)
		So(directory.Count(), ShouldEqual, 3)
	})
	Convey("Operators are told the names and the beginnings of the keys' hashes", t, func() {
		listings := directory.Listings()
		So(listings, ShouldHaveLength, 3)
		So(listings[0].Name, ShouldEqual, "alpha")
		So(listings[0].KeyHashes, ShouldContain, secretindex.HashOf("a2").Short())
		So(listings[0].KeyHashes, ShouldHaveLength, 4)
		So(listings[2], ShouldResemble, Listing{Name: "gone", Priority: 1})
	})
	Convey("A deployment without tenants has none", t, func() {
		var none *Directory
		So(none.Holder("a1"), ShouldBeNil)
		So(none.Priority("alpha"), ShouldEqual, 0)
		So(none.Count(), ShouldEqual, 0)
		So(none.Listings(), ShouldBeEmpty)
	})
}
