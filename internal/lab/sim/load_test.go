package sim

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLoad(t *testing.T) {
	Convey("Every scenario of the tests is fit", t, func() {
		files, err := filepath.Glob("testdata/*.yaml")
		So(err, ShouldBeNil)
		So(len(files), ShouldEqual, 4)
		for _, file := range files {
			scenario, err := Load(file)
			So(err, ShouldBeNil)
			So(strings.HasPrefix(filepath.Base(file), scenario.Name), ShouldBeTrue)
		}
	})
	Convey("A scenario that is unfit or not there is an error of one line", t, func() {
		unfit := filepath.Join(t.TempDir(), "unfit.yaml")
		content := "name: x\nduration: 1s\npools:\n  - {name: p, permittedZones: [nowhere]}\nzones:\n  - {name: a, nodes: 1}\n"
		So(os.WriteFile(unfit, []byte(content), 0o600), ShouldBeNil)
		for _, file := range []string{unfit, "/nowhere.yaml"} {
			_, err := Load(file)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldNotContainSubstring, "\n")
		}
	})
}
