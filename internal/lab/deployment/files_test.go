package deployment

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/lab/configfile"
	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/load"
	"github.com/covelink/covelink/internal/lab/trainer"
	"github.com/covelink/covelink/internal/lab/weightstore"
	"github.com/covelink/covelink/internal/settings"
)

func TestWriteFiles(t *testing.T) {
	Convey("Each file read back gives the settings of the plan", t, func() {
		folder := t.TempDir()
		plan, err := NewPlan(exampleDescription("moreton"), FreePorts(), filepath.Join(folder, "data"))
		So(err, ShouldBeNil)
		processes, err := plan.WriteFiles(folder)
		So(err, ShouldBeNil)
		So(len(processes), ShouldEqual, 3+len(plan.Engines)+len(plan.Nodes)+1+len(plan.Loads))
		place := 0
		next := func() string {
			place++
			So(processes[place-1].Command, ShouldEndWith, processes[place-1].File)
			return processes[place-1].File
		}
		objects, machines, weights := ObjectAPI{}, Machines{}, weightstore.Config{}
		So(configfile.Load(next(), &objects), ShouldBeNil)
		So(configfile.Load(next(), &machines), ShouldBeNil)
		So(configfile.Load(next(), &weights), ShouldBeNil)
		So(objects, ShouldResemble, plan.ObjectAPI)
		So(machines, ShouldResemble, plan.Machines)
		So(weights, ShouldResemble, plan.WeightStore)
		for _, want := range plan.Engines {
			config := engine.Config{}
			So(configfile.Load(next(), &config), ShouldBeNil)
			So(config, ShouldResemble, want)
		}
		for _, want := range plan.Nodes {
			node, err := settings.Load(next(), nil, nil)
			So(err, ShouldBeNil)
			So(node, ShouldResemble, want)
			info, err := os.Stat(want.Node.DataDir)
			So(err, ShouldBeNil)
			So(info.IsDir(), ShouldBeTrue)
		}
		wanted := trainer.Config{}
		So(configfile.Load(next(), &wanted), ShouldBeNil)
		So(wanted, ShouldResemble, plan.Trainer)
		for _, want := range plan.Loads {
			config := load.Config{}
			So(configfile.Load(next(), &config), ShouldBeNil)
			So(config, ShouldResemble, want)
		}
	})
	Convey("A folder that can't be made is an error", t, func() {
		file := filepath.Join(t.TempDir(), "file")
		So(os.WriteFile(file, nil, 0o600), ShouldBeNil)
		plan, err := NewPlan(exampleDescription("moreton"), FreePorts(), t.TempDir())
		So(err, ShouldBeNil)
		_, err = plan.WriteFiles(filepath.Join(file, "inner"))
		So(err, ShouldNotBeNil)
	})
}
