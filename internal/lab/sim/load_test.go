package sim

import (
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestExampleScenarios(t *testing.T) {
	Convey("Every example scenario is fit", t, func() {
		files, err := filepath.Glob("../../../examples/*/compare.yaml")
		So(err, ShouldBeNil)
		So(len(files), ShouldEqual, 3)
		for _, file := range files {
			scenario, err := Load(file)
			So(err, ShouldBeNil)
			So(scenario.Name, ShouldEqual, filepath.Base(filepath.Dir(file)))
		}
	})
}
