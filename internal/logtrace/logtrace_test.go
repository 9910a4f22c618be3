package logtrace

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const gatewayLog = `level=info ts=2026-12-02T10:00:00.100Z node=gateway-1 part=forward msg="request ended" request=r1 outcome=not_run status=0 reason="engines full" engines=2 config=3
not a line of ours
  12.5 gateway-1 level=debug ts=2026-12-02T10:00:00.300Z node=gateway-1 part=forward msg="request ended" request=r2 outcome=completed status=200 engines=1 config=3
level=info ts=when node=gateway-1 part=forward msg="request ended" request=r3
`

const coordinatorLog = `level=info ts=2026-12-02T10:00:01Z node=coordinator-1 part=batch msg="job submitted" request=job items=2
level=warn ts=2026-12-02T10:00:02Z node=coordinator-1 part=batch msg="store call failed" kind=leases err="no route"
level=info ts=2026-12-02T10:00:05Z node=coordinator-2 part=batch msg=leading token=2
level=info ts=2026-12-02T10:00:05.2Z node=coordinator-2 part=batch msg="item given up" request=item job=job reason="reward call failed too often" call=r1
level=info ts=2026-12-02T10:00:05.5Z node=coordinator-2 part=batch msg="job ended" request=job items=2
level=info ts=2026-12-02T10:00:09Z node=coordinator-2 part=batch msg=leading token=3
`

func TestTrace(t *testing.T) {
	Convey("Given the logs of two processes", t, func() {
		folder := t.TempDir()
		So(os.WriteFile(filepath.Join(folder, "gateway"), []byte(gatewayLog), 0o600), ShouldBeNil)
		So(os.WriteFile(filepath.Join(folder, "coordinator"), []byte(coordinatorLog), 0o600), ShouldBeNil)
		lines, err := ReadFolder(folder)
		So(err, ShouldBeNil)
		So(lines, ShouldHaveLength, 8)
		tell := func(id string) string {
			trace, err := Find(lines, id)
			So(err, ShouldBeNil)
			var told strings.Builder
			So(trace.Write(&told), ShouldBeNil)
			return told.String()
		}

		Convey("a refused request names its cause, one that was served none", func() {
			So(tell("r1"), ShouldContainSubstring, "cause: request r1 ended not_run: engines full (engines asked: 2, configuration 3)")
			So(tell("r2"), ShouldEqual, "  +0.000s gateway-1 forward: request ended request=r2 outcome=completed status=200 engines=1 config=3\n"+
				"cause: none; it ended as it should, or its end is in no log\n")
		})
		Convey("an item leads to its reward call", func() {
			So(tell("item"), ShouldContainSubstring, "request r1 ended not_run")
			So(tell("item"), ShouldContainSubstring, "cause: item item was given up: reward call failed too often")
		})
		Convey("a job is shown with the circumstances of its time, gaps and causes", func() {
			told := tell("job")
			So(told, ShouldContainSubstring, "(no line for 3s)")
			So(told, ShouldContainSubstring, "cause: the store did not answer coordinator-1: no route")
			So(told, ShouldContainSubstring, "cause: the coordinator changed 4s after the job was taken: coordinator-2 leads with token 2")
			So(told, ShouldContainSubstring, "cause: the job ended 4.5s after it was taken")
			So(told, ShouldNotContainSubstring, "token 3")
		})
		Convey("an ID that no line names is not found", func() {
			_, err := Find(lines, "r3")
			So(errors.Is(err, ErrNotFound), ShouldBeTrue)
		})
	})
	Convey("A folder that is not there is an error", t, func() {
		_, err := ReadFolder(filepath.Join(t.TempDir(), "none"))
		So(err, ShouldNotBeNil)
	})
}
