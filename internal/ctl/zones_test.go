package ctl_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/storerelay"
	"github.com/covelink/covelink/internal/zonestatus"
)

// zoneStore puts what it is asked for in force at the process at once, and at those that poll it when they are told.
type zoneStore struct {
	state *fleet.State
	away  bool

	mu     sync.Mutex
	asked  int
	spread storerelay.Propagation
}

func (z *zoneStore) Evacuate(_ context.Context, zone string) (int64, error) {
	if z.away {
		return 0, errors.New("store away")
	}
	z.state.SetEvacuations(fleet.NewEvacuations(7, map[string]int64{zone: 7}))
	z.spread.Revision = 7
	return 7, nil
}

func (z *zoneStore) Restore(context.Context, string) error {
	z.state.SetEvacuations(fleet.NewEvacuations(8, nil))
	return nil
}

// progress lets the one process that polls learn what is in force once it was asked for a few times.
func (z *zoneStore) progress() (storerelay.Propagation, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.asked++
	known := storerelay.Poller{Name: "gateway-1", Zone: "zone-b", Known: 6, Age: 300 * time.Millisecond}
	if z.asked > 3 {
		known.Known = 7
	}
	z.spread.Pollers = []storerelay.Poller{known}
	return z.spread, true
}

func TestZones(t *testing.T) {
	Convey("Given a process of a deployment of two zones", t, func() {
		state := fleet.NewState()
		state.SetTopology(fleet.NewTopology(map[string]string{"zone-a": "north", "zone-b": "south"}))
		state.SetEngineList([]*fleet.Engine{{ID: "1", Zone: "zone-a", Ready: true}, {ID: "2", Zone: "zone-a", Ready: true, ColdRemaining: time.Second}, {ID: "3", Zone: "zone-b"}})
		store := &zoneStore{state: state}
		status := zonestatus.New(zonestatus.Params{Node: "node-1", State: state, Writer: store, Logger: log.NewNopLogger()})
		routes := http.NewServeMux()
		status.Handle(routes)
		server := httptest.NewServer(routes)
		Reset(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		zones := func(args ...string) result {
			return runPlain(t.Context(), "", append(append([]string{"zones"}, args...), "--metrics", address)...)
		}
		elsewhere := zonestatus.Source{Coordinator: func() zonestatus.Coordinator {
			return zonestatus.Coordinator{Name: "storage-1", Address: "10.0.0.1:7720"}
		}}

		Convey("list shows the zones as it knows them, and who coordinates if it knows", func() {
			So(zones("list").out, ShouldEqual, strings.Join([]string{
				"ZONE    REGION  READY  COLD  LEAVING  EVACUATED SINCE",
				"zone-a  north   2      1     0        -",
				"zone-b  south   0      0     1        -",
				"node-1 goes by the evacuations of revision 0; who coordinates is not known", ""}, "\n"))
			status.SetSource(elsewhere)
			So(zones("list").out, ShouldContainSubstring, "; storage-1 (10.0.0.1:7720) coordinates\n")
		})
		Convey("list of the coordinating process shows who answers others for it", func() {
			status.SetSource(zonestatus.Source{Spread: store.progress, Relays: func() []storerelay.RelayStatus {
				return []storerelay.RelayStatus{{Name: "storage-2", Processes: 58, UpToDate: 57, Age: 20 * time.Millisecond}}
			}})
			So(zones("list").out, ShouldContainSubstring, "relay storage-2 answers 58 processes, 57 with the newest configuration, polled 20ms ago\n")
		})
		Convey("evacuate and restore say what was written", func() {
			So(zones("evacuate", "zone-b"), ShouldResemble, result{out: "zone zone-b evacuated at revision 7\n"})
			So(zones("list").out, ShouldContainSubstring, "zone-b  south   0      0     1        revision 7\n")
			So(zones("restore", "zone-b"), ShouldResemble, result{out: "zone zone-b restored\n"})
			So(zones("list").out, ShouldContainSubstring, "zone-b  south   0      0     1        -\n")
		})
		Convey("--wait waits until all who poll the coordinating process go by it", func() {
			status.SetSource(zonestatus.Source{Spread: store.progress})
			So(zones("evacuate", "zone-b", "--wait").out, ShouldEqual, "zone zone-b evacuated at revision 7\nin force at all 1 processes that poll\n")
		})
		Convey("--wait ends in vain if one of them does not", func() {
			store.asked = -1000
			status.SetSource(zonestatus.Source{Spread: store.progress})
			done := zones("evacuate", "zone-b", "--wait", "--timeout", "300ms")
			So(done.code, ShouldEqual, commandline.ExitFailed)
			So(done.err, ShouldEqual, "covelinkctl: evacuated, but not in force everywhere after 300ms: revision 7 is in force at 0 of 1 processes that poll "+
				"not yet at gateway-1 in zone-b: revision 6, polled 300ms ago\n")
		})
		Convey("--wait at a process that does not coordinate says who does, after the zone was evacuated", func() {
			status.SetSource(elsewhere)
			done := zones("evacuate", "zone-b", "--wait")
			So(done.code, ShouldEqual, commandline.ExitFailed)
			So(done.out, ShouldEqual, "zone zone-b evacuated at revision 7\n")
			So(done.err, ShouldContainSubstring, "not waited for")
			So(done.err, ShouldContainSubstring, "storage-1 (10.0.0.1:7720) coordinates")
			So(strings.Count(done.err, "\n"), ShouldEqual, 1)
		})
		Convey("An unknown zone and a store that is away are refused in one line with exit 1", func() {
			done := zones("evacuate", "zone-x")
			So(done.code, ShouldEqual, commandline.ExitFailed)
			So(done.err, ShouldContainSubstring, "no zone of that name is known")
			So(strings.Count(done.err, "\n"), ShouldEqual, 1)
			store.away = true
			done = zones("evacuate", "zone-b")
			So(done.code, ShouldEqual, commandline.ExitFailed)
			So(done.err, ShouldContainSubstring, "store away")
		})
		Convey("Bad usage gives one line and exit 2", func() {
			for _, args := range [][]string{{"list", "x"}, {"evacuate"}, {"evacuate", "a", "b"}, {"restore"}} {
				done := zones(args...)
				So(done.code, ShouldEqual, commandline.ExitUsage)
				So(strings.Count(done.err, "\n"), ShouldEqual, 1)
			}
		})
	})
}
