package machines_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/inventory"
	"github.com/covelink/covelink/internal/lab/machines"
)

const engineBody = `{"zone":"z1","role":"engine","url":"http://127.0.0.1:1","pool":"p","state":"live"}`

func send(client *http.Client, method, url, body string) int {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	So(err, ShouldBeNil)
	response, err := client.Do(request)
	So(err, ShouldBeNil)
	response.Body.Close()
	return response.StatusCode
}

func TestMachineListOverHTTP(t *testing.T) {
	Convey("With a list that lags 60 s", t, func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		clock := func() time.Time { return now }
		server := machines.New(machines.Config{Lag: time.Minute, Now: clock}, log.NewNopLogger())
		So(server.Start(), ShouldBeNil)
		defer server.Stop(context.Background())
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		lister := inventory.NewHTTPMachineLister(server.URL(), client)
		names := func(zone string) []string {
			list, err := lister.List(t.Context(), zone)
			So(err, ShouldBeNil)
			found := []string{}
			for _, machine := range list.Machines {
				found = append(found, machine.Name)
			}
			return found
		}

		So(send(client, http.MethodPut, server.URL()+"/machines/e1", engineBody), ShouldEqual, http.StatusNoContent)
		So(names("z1"), ShouldBeEmpty)
		now = now.Add(time.Minute)
		So(names("z1"), ShouldResemble, []string{"e1"})
		So(names("z2"), ShouldBeEmpty)

		So(send(client, http.MethodDelete, server.URL()+"/machines/e1", ""), ShouldEqual, http.StatusNoContent)
		So(names("z1"), ShouldResemble, []string{"e1"})
		server.SetLag(0)
		So(names("z1"), ShouldBeEmpty)

		So(send(client, http.MethodPut, server.URL()+"/machines/e1", `{"zone":"z1","role":"toaster","state":"live"}`),
			ShouldEqual, http.StatusBadRequest)
		server.SetOutage(true)
		_, err := lister.List(t.Context(), "z1")
		So(err, ShouldWrap, inventory.ErrMachineList)
	})
}
