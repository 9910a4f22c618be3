package enginescale

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
)

func TestEvacuatedZones(t *testing.T) {
	runTest(t, "Engines lost in an evacuated zone are ordered once the zone is restored", func(f *fixture) {
		f.setRunning(5)
		stop := f.lead("first", 1)
		defer stop()
		time.Sleep(10 * time.Second)
		So(f.platform.orders(), ShouldResemble, []string{"scale/pool/a 5 by first/1"})
		f.state.SetEvacuations(fleet.NewEvacuations(1, map[string]int64{"a": 1}))
		f.setRunning(3)
		time.Sleep(30 * time.Second)
		So(f.platform.orders(), ShouldBeEmpty)
		f.state.SetEvacuations(fleet.NewEvacuations(2, nil))
		time.Sleep(3 * time.Second)
		So(f.platform.orders(), ShouldResemble, []string{"scale/pool/a 5 by first/1"})
	})
	runTest(t, "Lost engines are not replaced while evacuations are unknown", func(f *fixture) {
		f.setRunning(5)
		stop := f.lead("first", 1)
		defer stop()
		time.Sleep(10 * time.Second)
		f.platform.orders()
		f.state.MarkEvacuationsUnknown()
		f.setRunning(3)
		time.Sleep(30 * time.Second)
		So(f.platform.orders(), ShouldBeEmpty)
	})
}
