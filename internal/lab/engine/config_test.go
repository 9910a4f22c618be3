package engine_test

import (
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/lab/engine"
)

func TestConfig(t *testing.T) {
	Convey("A settings file changes what it names and leaves the defaults", t, func() {
		config := engine.DefaultConfig()
		So(config.Validate(), ShouldNotBeNil)
		file := "name: engine-1\nzone: zone-b\npool: pool\nloadLag: 1s\nsimulation:\n  stepBase: 9ms\n"
		So(yaml.UnmarshalWithOptions([]byte(file), &config, yaml.Strict()), ShouldBeNil)
		So(config.Validate(), ShouldBeNil)
		So(config.LoadLag, ShouldEqual, time.Second)
		So(config.Simulation.StepBase, ShouldEqual, 9*time.Millisecond)
		So(config.Simulation.MaxRunning, ShouldEqual, engine.DefaultConfig().Simulation.MaxRunning)
		config.Simulation.MaxRunning = 0
		So(config.Validate().Error(), ShouldContainSubstring, "MaxRunning")
	})
}
