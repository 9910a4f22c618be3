package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/routing"
)

// boundedMemory grants room up to a bound.
type boundedMemory struct{ free int64 }

// Grow implements Memory.
func (m *boundedMemory) Grow(bytes int64) bool {
	if bytes > m.free {
		return false
	}
	m.free -= bytes
	return true
}

// Release implements Memory.
func (m *boundedMemory) Release(bytes int64) { m.free += bytes }

// A large response was buffered as a whole for each caller, however slowly it was read.
func TestResponsesWithoutRoom(t *testing.T) {
	content := strings.Repeat("large ", 10000)
	scripted := func(status int, body io.Reader, notRun bool) action {
		return func(context.Context) (*Answer, error) {
			a := answer(status, "")
			a.Body, a.NotRun = io.NopCloser(body), notRun
			return a, nil
		}
	}
	do := func(respond action, memory Memory) Result {
		state := fleet.NewState()
		route := routing.Route{Host: "h", Prefix: "/", Kind: routing.KindIdempotent, Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 1}
		state.SetRoutes(routing.NewTable(1, []routing.Route{route}, nil, routing.Limits{}))
		state.SetEngineList([]*fleet.Engine{{ID: "a", Service: "s", Slots: 4, Ready: true}})
		forwarder := New(state, &scriptedTransport{actions: map[string]action{"a": respond}}, NewPicker(time.Now), log.NewNopLogger())
		return forwarder.Do(t.Context(), state.View().Routes.Match("h", "/1"), &Request{ID: "r", Memory: memory}, boottime.Now().Add(time.Second))
	}
	Convey("A response with room for it is buffered", t, func() {
		result := do(scripted(http.StatusOK, strings.NewReader(content), false), &boundedMemory{free: 1 << 20})
		So(result.Stream, ShouldBeNil)
		So(string(result.Body), ShouldEqual, content)
	})
	Convey("A response without room is passed on as it arrives, whole", t, func() {
		for _, status := range []int{http.StatusOK, http.StatusNotFound} {
			result := do(scripted(status, strings.NewReader(content), false), &boundedMemory{free: 10 << 10})
			So(result.Status, ShouldEqual, status)
			So(result.Stream, ShouldNotBeNil)
			passed, err := io.ReadAll(result.Stream)
			So(err, ShouldBeNil)
			So(string(passed), ShouldEqual, content)
			So(result.Stream.Close(), ShouldBeNil)
		}
	})
	Convey("One that breaks while it is passed on does not look whole", t, func() {
		result := do(scripted(http.StatusOK, io.MultiReader(strings.NewReader(content), errReader{}), false), &boundedMemory{free: 10 << 10})
		So(result.Stream, ShouldNotBeNil)
		_, err := io.ReadAll(result.Stream)
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
	})
	Convey("A refusal without room for its text stays a refusal", t, func() {
		result := do(scripted(http.StatusServiceUnavailable, strings.NewReader(content), true), &boundedMemory{})
		So(result.Outcome, ShouldEqual, NotRun)
		So(result.Stream, ShouldBeNil)
	})
}
