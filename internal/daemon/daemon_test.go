package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/commandline"
)

const goodSettings = `
node: {name: node-1, zone: zone-a}
platform: {objectAPI: "http://127.0.0.1:9000", machineList: "http://127.0.0.1:9001"}
cluster: {seeds: [{name: node-1, zone: zone-a, address: "127.0.0.1:7000"}]}
`

func TestCommandLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.yaml")
	run := func(arguments ...string) (code int, out, errOut string) {
		var stdout, stderr bytes.Buffer
		streams := commandline.Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr}
		code = Main(append([]string{"covelinkd"}, arguments...), nil, streams)
		return code, stdout.String(), stderr.String()
	}
	Convey("With good settings", t, func() {
		So(os.WriteFile(file, []byte(goodSettings), 0o600), ShouldBeNil)
		Convey("check-config says so", func() {
			code, out, _ := run("check-config", "--config", file)
			So(code, ShouldEqual, commandline.ExitOK)
			So(out, ShouldContainSubstring, "node-1")
		})
		Convey("A flag goes over the file and is checked like it", func() {
			code, _, errOut := run("check-config", "--config", file, "--set", "limits.maxQueued=-1")
			So(code, ShouldEqual, commandline.ExitUsage)
			So(errOut, ShouldContainSubstring, "limits.maxQueued: must be at least 1")
			So(strings.Count(errOut, "\n"), ShouldEqual, 1)
		})
	})
	Convey("Bad input is one line and exit 2, and starts nothing", t, func() {
		for _, arguments := range [][]string{
			{"run", "--config", filepath.Join(t.TempDir(), "absent.yaml")},
			{"run", "--colour"},
			{"fly"},
			{"run", "--set", "nonsense"},
		} {
			code, _, errOut := run(arguments...)
			So(code, ShouldEqual, commandline.ExitUsage)
			So(strings.Count(errOut, "\n"), ShouldEqual, 1)
			So(errOut, ShouldStartWith, "covelinkd: ")
		}
	})
}
