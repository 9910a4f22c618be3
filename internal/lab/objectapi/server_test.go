package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/objectapi"
)

func rawZone(name string) v1.RawObject {
	return v1.RawObject{Kind: v1.KindZone, Metadata: v1.ObjectMeta{Name: name}, Spec: json.RawMessage(`{}`)}
}

func TestStore(t *testing.T) {
	Convey("Given a store that keeps two events", t, func() {
		store := NewStore(2, func() time.Time { return time.Unix(1, 0) })
		created, err := store.Create(rawZone("a"))
		So(err, ShouldBeNil)
		updated, err := store.Update(created)
		So(err, ShouldBeNil)
		So(store.Delete(v1.KindZone, "a", updated.Metadata.ResourceVersion), ShouldBeNil)

		Convey("every write has a revision of its own and older events are gone", func() {
			So(updated.Metadata.ResourceVersion, ShouldEqual, "2")
			events, err := store.Since(1)
			So(err, ShouldBeNil)
			So(events, ShouldHaveLength, 2)
			So(events[1].Type, ShouldEqual, objectapi.EventDeleted)
			_, err = store.Since(0)
			So(errors.Is(err, objectapi.ErrGone), ShouldBeTrue)
		})

		Convey("an older list is the state that was", func() {
			So(store.List(0).Items, ShouldBeEmpty)
			older := store.List(1)
			So(older.Revision, ShouldEqual, 2)
			So(older.Items, ShouldResemble, []v1.RawObject{updated})
			So(store.List(9).Revision, ShouldEqual, 1)
		})
	})
}

func TestServer(t *testing.T) {
	Convey("Given a served store", t, func() {
		server := New(Config{Listen: "127.0.0.1:0", BookmarkInterval: time.Millisecond}, log.NewLogfmtLogger(io.Discard))
		So(server.Start(), ShouldBeNil)
		Reset(server.Stop)
		setFaults := func(body string) int {
			answer, err := http.Post(server.URL()+PathFaults, "application/json", strings.NewReader(body))
			So(err, ShouldBeNil)
			answer.Body.Close()
			return answer.StatusCode
		}

		Convey("faults are set over HTTP, and unknown ones are refused", func() {
			So(setFaults(`{"unavailable":true}`), ShouldEqual, http.StatusNoContent)
			answer, err := http.Get(server.URL() + objectapi.PathObjects)
			So(err, ShouldBeNil)
			answer.Body.Close()
			So(answer.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			So(setFaults(`{"unheard":1}`), ShouldEqual, http.StatusBadRequest)
			So(setFaults(`{}`), ShouldEqual, http.StatusNoContent)
		})

		Convey("a quiet watch sends bookmarks, and requests are counted", func() {
			_, err := server.Store.Create(rawZone("a"))
			So(err, ShouldBeNil)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			client := objectapi.NewClient(objectapi.Config{BaseURL: server.URL()})
			var bookmark objectapi.Event
			client.Watch(ctx, 1, func(event objectapi.Event) {
				bookmark = event
				cancel()
			})
			So(bookmark.Type, ShouldEqual, objectapi.EventBookmark)
			So(bookmark.Revision, ShouldEqual, 1)
			So(server.Counts().Watches, ShouldEqual, 1)
		})
	})
}
