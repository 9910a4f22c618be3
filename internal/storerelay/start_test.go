package storerelay_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/storerelay"
)

// In a trial of 250 gateways of which 138 were started at once, the hub's answers held 130 MB of whole lists, so that clients had to
// list from the store at their start: some 1,000 calls. Now a whole list is encoded once and compressed.
func TestClientsThatStart(t *testing.T) {
	play(t, "Clients that start learn all from the hub, in a form that all of them share, and ask the store nothing", 1, func(w *world) {
		spec := strconv.Quote(strings.Repeat("zone", 250))
		for i := range 20 {
			w.write(fmt.Sprintf("object-%d", i), spec)
		}
		time.Sleep(5 * time.Second)
		before, calls := w.relayed.Load(), w.store.Calls()
		for range 10 {
			w.startClient()
		}
		time.Sleep(5 * time.Second)
		// The hub's own watches, some two a second.
		So(w.store.Calls()-calls, ShouldBeLessThanOrEqualTo, 14)
		So(w.relayed.Load()-before, ShouldBeLessThan, 10*2000)
		for _, client := range w.clients {
			So(client.specs()["object-3"], ShouldEqual, spec)
			So(client.specs(), ShouldHaveLength, 20)
		}
		request := storerelay.PollRequest{Known: map[string]metastore.Revision{kind: 0}, Wait: time.Millisecond}
		first, second := w.hub.Poll(w.ctx, request), w.hub.Poll(w.ctx, request)
		So(&first.Changes[0].Packed[0], ShouldEqual, &second.Changes[0].Packed[0])
	})
	play(t, "Clients that start while no hub answers turn to the store, spread over time", 1, func(w *world) {
		w.write("a", `"1"`)
		w.leading.Store(false)
		time.Sleep(10 * time.Second)
		for range 10 {
			w.startClient()
		}
		time.Sleep(900 * time.Millisecond)
		for _, client := range w.clients[1:] {
			So(client.specs(), ShouldBeEmpty)
		}
		time.Sleep(2 * time.Second)
		for _, client := range w.clients {
			So(client.specs(), ShouldResemble, map[string]string{"a": `"1"`})
		}
	})
	play(t, "A store that is down is asked one question each while no hub answers", 20, func(w *world) {
		w.write("a", `"1"`)
		time.Sleep(5 * time.Second)
		w.cut.Store(true)
		w.refused.Store(true)
		before := w.store.Calls()
		time.Sleep(6 * time.Second)
		// Each client asks for the lease every 2.5 s, after its patience; the hub itself is not refused, and asks some two times a second.
		So(w.store.Calls()-before, ShouldBeLessThan, 20*3+20)
		w.write("a", `"2"`)
		w.refused.Store(false)
		time.Sleep(2800 * time.Millisecond)
		for _, client := range w.clients {
			So(client.specs(), ShouldResemble, map[string]string{"a": `"2"`})
		}
	})
}
