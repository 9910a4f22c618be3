package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const goodFile = `
node: {name: node-1, zone: zone-a}
listen: {http: "127.0.0.1:0", internal: "127.0.0.1:0"}
platform: {objectAPI: "http://127.0.0.1:9000", machineList: "http://127.0.0.1:9001"}
cluster:
  seeds:
    - {name: node-1, zone: zone-a, address: "127.0.0.1:7000", hasDisk: true}
timing: {leaseLength: 2s}
`

func write(t *testing.T, content string) string {
	file := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestLoad(t *testing.T) {
	Convey("A good file is read over the defaults", t, func() {
		loaded, err := Load(write(t, goodFile), nil, nil)
		So(err, ShouldBeNil)
		So(loaded.Node.Name, ShouldEqual, "node-1")
		So(loaded.Timing.LeaseLength, ShouldEqual, 2*time.Second)
		So(loaded.Timing.NodeLeaseLength, ShouldEqual, 3*time.Second)
		So(loaded.Cluster.Seeds[0].HasDisk, ShouldBeTrue)
	})
	Convey("The environment goes over the file, and flags over the environment", t, func() {
		environment := []string{"COVELINKD_NODE_NAME=from-environment", "COVELINKD_TIMING_LEASELENGTH=1500ms", "COVELINK_SERVER=http://127.0.0.1:1"}
		loaded, err := Load(write(t, goodFile), environment, map[string]any{"node.name": "from-flag"})
		So(err, ShouldBeNil)
		So(loaded.Node.Name, ShouldEqual, "from-flag")
		So(loaded.Timing.LeaseLength, ShouldEqual, 1500*time.Millisecond)
	})
	Convey("A faulty file gives one line that names the field", t, func() {
		cases := []struct{ name, old, new, field string }{
			{"unknown key", "node: {name: node-1,", "node: {colour: red, name: node-1,", "node.colour: unknown key"},
			{"unknown key in a list", "hasDisk: true", "hasDisc: true", "cluster.seeds[0].hasDisc: unknown key"},
			{"bad address", `"127.0.0.1:7000"`, `"nowhere"`, "cluster.seeds[0].address: must be host:port"},
			{"zone not declared", "zone: zone-a}\nlisten", "zone: zone-b}\nlisten", `zone`},
			{"negative limit", "timing: {", "limits: {maxQueued: -1}\ntiming: {", "limits.maxQueued: must be at least 1, is -1"},
			{"bad URL", `"http://127.0.0.1:9000"`, `"ftp://x"`, "platform.objectAPI: must be an http or https URL"},
			{"wrong type", "leaseLength: 2s", "leaseLength: soon", "timing.leaseLength"},
			{"lease order", "leaseLength: 2s", "leaseLength: 4s", "timing.nodeLeaseLength: must be more than"},
			{"syntax", "timing: {leaseLength: 2s}", "timing: {leaseLength: 2s", "node.yaml:"},
			{"two of one key", "timing:", "listen: {}\ntiming:", "node.yaml:"},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				So(goodFile, ShouldContainSubstring, c.old)
				_, err := Load(write(t, strings.Replace(goodFile, c.old, c.new, 1)), nil, nil)
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, c.field)
				So(err.Error(), ShouldContainSubstring, "node.yaml")
				So(err.Error(), ShouldNotContainSubstring, "\n")
			})
		}
	})
	Convey("An unknown variable with the prefix is refused", t, func() {
		_, err := Load(write(t, goodFile), []string{"COVELINKD_NODE_COLOUR=red"}, nil)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "node.colour: unknown key")
	})
	Convey("A missing file is named", t, func() {
		_, err := Load(filepath.Join(t.TempDir(), "absent.yaml"), nil, nil)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "absent.yaml")
	})
}
