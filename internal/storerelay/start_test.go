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

// Guards against a start of many clients exhausting the hub's memory or the store's request rate with full lists.
func TestClientStartup(t *testing.T) {
	runScenario(t, "Starting clients receive one shared encoding of the full list from the hub, without calls to the store", 1, func(w *relayHarness) {
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
		// Allows for the hub's own watches.
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
	runScenario(t, "Clients that start while no hub answers read from the store, with jitter", 1, func(w *relayHarness) {
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
	runScenario(t, "While no hub answers, each client sends a store that is down only its lease request", 20, func(w *relayHarness) {
		w.write("a", `"1"`)
		time.Sleep(5 * time.Second)
		w.unreachable.Store(true)
		w.storeRefuses.Store(true)
		before := w.store.Calls()
		time.Sleep(6 * time.Second)
		// Allows one lease request every 2.5 s per client, and the hub's own watches, which are not refused.
		So(w.store.Calls()-before, ShouldBeLessThan, 20*3+20)
		w.write("a", `"2"`)
		w.storeRefuses.Store(false)
		time.Sleep(2800 * time.Millisecond)
		for _, client := range w.clients {
			So(client.specs(), ShouldResemble, map[string]string{"a": `"2"`})
		}
	})
}
