package enginescale

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
)

func TestEvacuatedZones(t *testing.T) {
	play(t, "What is lost in an evacuated zone is ordered once the zone is restored", func(w *world) {
		w.run(5)
		stop := w.lead("first", 1)
		defer stop()
		time.Sleep(10 * time.Second)
		So(w.platform.orders(), ShouldResemble, []string{"scale/pool/a 5 by first/1"})
		w.state.SetEvacuations(fleet.NewEvacuations(1, map[string]int64{"a": 1}))
		w.run(3)
		time.Sleep(30 * time.Second)
		So(w.platform.orders(), ShouldBeEmpty)
		w.state.SetEvacuations(fleet.NewEvacuations(2, nil))
		time.Sleep(3 * time.Second)
		So(w.platform.orders(), ShouldResemble, []string{"scale/pool/a 5 by first/1"})
	})
	play(t, "While no evacuations are known nothing that was lost is ordered", func(w *world) {
		w.run(5)
		stop := w.lead("first", 1)
		defer stop()
		time.Sleep(10 * time.Second)
		w.platform.orders()
		w.state.MarkEvacuationsUnknown()
		w.run(3)
		time.Sleep(30 * time.Second)
		So(w.platform.orders(), ShouldBeEmpty)
	})
}
