package zonestatus_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/storerelay"
	"github.com/covelink/covelink/internal/zonestatus"
)

// writer notes what it was asked for.
type writer struct {
	asked []string
	err   error
}

func (w *writer) Evacuate(_ context.Context, zone string) (int64, error) {
	w.asked = append(w.asked, "evacuate "+zone)
	return 12, w.err
}

func (w *writer) Restore(_ context.Context, zone string) error {
	w.asked = append(w.asked, "restore "+zone)
	return w.err
}

// newState returns a state of three zones in two regions, of which one is evacuated, with an engine in a fourth.
func newState() *fleet.State {
	state := fleet.NewState()
	state.SetTopology(fleet.NewTopology(map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "south"}))
	state.SetEngineList([]*fleet.Engine{
		{ID: "1", Zone: "zone-a", Ready: true},
		{ID: "2", Zone: "zone-a", Ready: true, ColdRemaining: time.Second},
		{ID: "3", Zone: "zone-a"},
		{ID: "4", Zone: "elsewhere", Ready: true},
	})
	state.SetEvacuations(fleet.NewEvacuations(12, map[string]int64{"zone-b": 9}))
	return state
}

func ask(server *httptest.Server, method, path string) (status int, content string) {
	request, err := http.NewRequest(method, server.URL+path, nil)
	So(err, ShouldBeNil)
	response, err := http.DefaultClient.Do(request)
	So(err, ShouldBeNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	So(err, ShouldBeNil)
	return response.StatusCode, string(body)
}

func TestList(t *testing.T) {
	Convey("Given a process", t, func() {
		state := newState()
		status := zonestatus.New(zonestatus.Params{Node: "gateway-1", State: state, Logger: log.NewNopLogger()})
		routes := http.NewServeMux()
		status.Handle(routes)
		server := httptest.NewServer(routes)
		Reset(server.Close)
		list := func() (list zonestatus.List) {
			code, content := ask(server, http.MethodGet, zonestatus.ListPath)
			So(code, ShouldEqual, http.StatusOK)
			So(json.Unmarshal([]byte(content), &list), ShouldBeNil)
			return list
		}
		Convey("It lists the zones of the settings, and others that hold engines", func() {
			So(list().Zones, ShouldResemble, []zonestatus.Zone{
				{Name: "elsewhere", Ready: 1},
				{Name: "zone-a", Region: "north", Ready: 2, Cold: 1, Leaving: 1},
				{Name: "zone-b", Region: "north", EvacuatedSince: 9},
				{Name: "zone-c", Region: "south"},
			})
			So(list().Known, ShouldBeTrue)
			So(list().Follows, ShouldBeTrue)
			So(list().Revision, ShouldEqual, 12)
			So(list().Progress, ShouldBeNil)
		})
		Convey("One that does not know the evacuations says so", func() {
			state.MarkEvacuationsUnknown()
			So(list().Known, ShouldBeFalse)
			So(list().Revision, ShouldEqual, 0)
		})
		Convey("One that does not coordinate names who does, and tells nothing of others", func() {
			status.SetSource(zonestatus.Source{
				Follows:     func() bool { return false },
				Coordinator: func() zonestatus.Coordinator { return zonestatus.Coordinator{Name: "c-1", Address: "10.0.0.1:1"} },
				Spread:      func() (storerelay.Propagation, bool) { return storerelay.Propagation{Revision: 1}, false },
			})
			So(list().Coordinator.Name, ShouldEqual, "c-1")
			So(list().Follows, ShouldBeFalse)
			So(list().Progress, ShouldBeNil)
		})
		Convey("The coordinating one tells who is behind, a bounded number by name", func() {
			spread := storerelay.Propagation{Revision: 12}
			for n := range 50 {
				spread.Pollers = append(spread.Pollers, storerelay.Poller{Name: fmt.Sprintf("g-%02d", n), Zone: "zone-a", Known: 10, Age: 40 * time.Millisecond})
			}
			spread.Pollers[0].Known = 12
			status.SetSource(zonestatus.Source{Spread: func() (storerelay.Propagation, bool) { return spread, true }})
			progress := list().Progress
			So(progress.Revision, ShouldEqual, 12)
			So(progress.Holding, ShouldEqual, 1)
			So(progress.Polling, ShouldEqual, 50)
			So(progress.Behind, ShouldHaveLength, 32)
			So(progress.Behind[0], ShouldResemble, zonestatus.Behind{Name: "g-01", Zone: "zone-a", Revision: 10, PolledMillis: 40})
			So(list().InForce(12), ShouldBeFalse)
			spread.Pollers = spread.Pollers[:1]
			So(list().InForce(12), ShouldBeTrue)
			So(list().InForce(13), ShouldBeFalse)
		})
	})
}

func TestInForce(t *testing.T) {
	Convey("Evacuations are in force only if the coordinating process, too, goes by them", t, func() {
		whole := zonestatus.List{Known: true, Revision: 12, Progress: &zonestatus.Progress{Revision: 12, Holding: 2, Polling: 2}}
		So(whole.InForce(12), ShouldBeTrue)
		old, unknown, uncoordinated, unlearnt := whole, whole, whole, whole
		old.Revision = 11
		unknown.Known = false
		uncoordinated.Progress = nil
		unlearnt.Progress = &zonestatus.Progress{Revision: 11, Holding: 2, Polling: 2}
		for _, list := range []zonestatus.List{old, unknown, uncoordinated, unlearnt} {
			So(list.InForce(12), ShouldBeFalse)
		}
	})
}

func TestWrite(t *testing.T) {
	Convey("Given a process where zones may be evacuated", t, func() {
		wishes := &writer{}
		serve := func(params zonestatus.Params) *httptest.Server {
			routes := http.NewServeMux()
			zonestatus.New(params).Handle(routes)
			server := httptest.NewServer(routes)
			Reset(server.Close)
			return server
		}
		server := serve(zonestatus.Params{State: newState(), Writer: wishes, Logger: log.NewNopLogger()})
		Convey("A known zone is evacuated and restored, also one that the settings do not name", func() {
			code, content := ask(server, http.MethodPost, zonestatus.EvacuatePath+"zone-a")
			So(code, ShouldEqual, http.StatusOK)
			So(content, ShouldEqual, `{"zone":"zone-a","revision":12}`)
			code, _ = ask(server, http.MethodPost, zonestatus.RestorePath+"elsewhere")
			So(code, ShouldEqual, http.StatusOK)
			So(wishes.asked, ShouldResemble, []string{"evacuate zone-a", "restore elsewhere"})
		})
		Convey("An unknown one is refused", func() {
			for _, path := range []string{zonestatus.EvacuatePath, zonestatus.RestorePath} {
				code, _ := ask(server, http.MethodPost, path+"zone-x")
				So(code, ShouldEqual, http.StatusNotFound)
			}
			So(wishes.asked, ShouldBeEmpty)
		})
		Convey("What the store does not confirm is told", func() {
			wishes.err = errors.New("store away")
			code, content := ask(server, http.MethodPost, zonestatus.EvacuatePath+"zone-a")
			So(code, ShouldEqual, http.StatusBadGateway)
			So(content, ShouldContainSubstring, "store away")
		})
		Convey("Where the settings name no evacuateTime nothing is written", func() {
			none := serve(zonestatus.Params{State: newState(), Logger: log.NewNopLogger()})
			code, _ := ask(none, http.MethodPost, zonestatus.EvacuatePath+"zone-a")
			So(code, ShouldEqual, http.StatusConflict)
		})
	})
}
