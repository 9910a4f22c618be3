package node_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/settings"
)

// knowsNodes reports whether the node at base lists so many nodes.
func knowsNodes(client *http.Client, base, count string) func() bool {
	return func() bool {
		_, body := get(client, base+"/metrics")
		return strings.Contains(body, "\ncovelink_membership_nodes "+count+"\n")
	}
}

func TestReplacementMachine(t *testing.T) {
	Convey("Given the nodes of a zone that know each other as seeds", t, func() {
		f := newFixture("n1", "n2", "n3")
		Reset(f.stop)
		for _, seed := range f.seeds {
			f.start(seed, settings.TLS{})
		}
		client := newClient(nil)
		base := func(name string) string { return "http://" + f.nodes[name].HTTPAddress() }
		for name := range f.nodes {
			eventually(name+" ready", ready(client, base(name)))
			eventually(name+" knows all", knowsNodes(client, base(name), "3"))
		}

		Convey("a node that none of them names as a seed joins, is known to all, and serves under later configuration", func() {
			f.start(settings.Seed{Name: "n4", Zone: "z", Address: "127.0.0.1:0"}, settings.TLS{})
			eventually("n4 ready", ready(client, base("n4")))
			for name := range f.nodes {
				eventually(name+" knows all", knowsNodes(client, base(name), "4"))
			}
			zone := v1.RawObject{Kind: v1.KindZone, Metadata: v1.ObjectMeta{Name: "later", Generation: 1}, Spec: []byte(`{"region":"r"}`)}
			_, err := f.objects.Store.Create(zone)
			So(err, ShouldBeNil)
			eventually("n4 has the later configuration", func() bool {
				code, _ := get(client, base("n4")+"/apis/covelink.io/v1/zones/later")
				return code == http.StatusOK
			})
		})

		Convey("a planned stop takes a node off the others' lists", func() {
			stopped := f.nodes["n3"]
			delete(f.nodes, "n3")
			So(stopped.Stop(context.Background()), ShouldBeNil)
			for name := range f.nodes {
				eventually(name+" knows the rest", knowsNodes(client, base(name), "2"))
			}
		})
	})
}
