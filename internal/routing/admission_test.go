package routing

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/tenants"
)

func TestAdmission(t *testing.T) {
	closed := Route{Name: "closed", Host: "a.example", Prefix: "/x/", Priority: 1}
	open := Route{Name: "open", Host: "a.example", Prefix: "/open/", Open: true}
	openJobs := Route{Name: "jobs", Host: "b.example", Prefix: "/jobs/", Kind: KindBatch, Open: true}
	table := NewTable(1, []Route{closed, open, openJobs}, nil, Limits{})
	table.Tenants = tenants.NewDirectory([]tenants.Entry{
		{Tenant: tenants.Tenant{Name: "alpha", Priority: 3}, Keys: []string{"a"}},
		{Tenant: tenants.Tenant{Name: "beta"}, Keys: []string{"b"}},
	})
	Convey("A caller is admitted by its key, or without one by an open route", t, func() {
		for _, c := range []struct {
			route   *Route
			key     string
			tenant  string
			refusal Refusal
		}{
			{&closed, "a", "alpha", Admitted},
			{&closed, "", "", RefusedNoKey},
			{&closed, "c", "", RefusedUnknown},
			{&open, "a", "alpha", Admitted},
			{&open, "", "", Admitted},
			{&open, "c", "", Admitted},
		} {
			tenant, refusal := table.Admit(c.route.Open, c.key)
			So(tenant, ShouldEqual, c.tenant)
			So(refusal, ShouldEqual, c.refusal)
		}
	})
	Convey("Calls about jobs need a key unless a batch route of the host is open", t, func() {
		_, refusal := table.Admit(table.JobsOpen("a.example"), "")
		So(refusal, ShouldEqual, RefusedNoKey)
		_, refusal = table.Admit(table.JobsOpen("a.example"), "c")
		So(refusal, ShouldEqual, RefusedUnknown)
		tenant, refusal := table.Admit(table.JobsOpen("a.example"), "b")
		So(refusal, ShouldEqual, Admitted)
		So(tenant, ShouldEqual, "beta")
		_, refusal = table.Admit(table.JobsOpen("B.example"), "")
		So(refusal, ShouldEqual, Admitted)
	})
	Convey("Without tenants no key is needed", t, func() {
		tenant, refusal := NewTable(1, nil, nil, Limits{}).Admit(closed.Open, "anything")
		So(refusal, ShouldEqual, Admitted)
		So(tenant, ShouldBeEmpty)
	})
	Convey("The tenant's priority precedes the route's", t, func() {
		urgentTenant := table.Rank(&Route{Priority: 9}, "beta")
		urgentRoute := table.Rank(&Route{Priority: 0}, "alpha")
		So(urgentTenant.Compare(urgentRoute), ShouldBeLessThan, 0)
		So(urgentRoute.Compare(urgentTenant), ShouldBeGreaterThan, 0)
		So(table.Rank(&Route{Priority: 1}, "beta").Compare(table.Rank(&Route{Priority: 2}, "nobody")), ShouldBeLessThan, 0)
		So(table.Rank(&closed, "alpha").Compare(table.Rank(&closed, "alpha")), ShouldEqual, 0)
	})
}
