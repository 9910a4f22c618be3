package logtrace

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const firstCoordinatorLog = `level=info ts=2026-12-02T10:00:00Z node=c1 part=batch msg="job submitted" request=job-1 items=2 model=m step=4 min_version=3 took=1ms err=null
level=info ts=2026-12-02T10:00:00.1Z node=c1 part=batch msg="job submitted" request=refused items=2 model=m step=9 min_version=3 took=1ms err="metastore: not done"
level=debug ts=2026-12-02T10:00:01Z node=c1 part=batch msg="attempt ended" request=short job=job-1 engine=e1 verdict=whole version=3 text_events=12 expected_tokens=500 took=900ms err=
level=debug ts=2026-12-02T10:00:02Z node=c1 part=batch msg="attempt ended" request=long job=job-1 engine=e1 verdict=canceled version=3 text_events=40 expected_tokens=8000 took=1.8s err=
level=debug ts=2026-12-02T10:00:02Z node=c1 part=batch msg="attempt ended" request=cut job=job-1 engine=e1 verdict=canc`

const secondCoordinatorLog = `level=info ts=2026-12-02T10:00:03Z node=c2 part=batch msg=leading token=2 jobs=1 took=200ms
level=debug ts=2026-12-02T10:00:06Z node=c2 part=batch msg="attempt ended" request=long job=job-1 engine=e2 verdict=whole version=4 text_events=165 expected_tokens=8000 took=2.5s err=
level=info ts=2026-12-02T10:00:06.5Z node=c2 part=batch msg="job ends" request=job-1 step=4 after=3.5s desired=2 groups=2 came_again=1 whole=2 dead_items=0 spare=0 renewed=0 unfinished=0
level=debug ts=2026-12-02T10:00:07Z node=c2 part=batch msg="attempt ended" request=late job=job-1 engine=e2 verdict=whole version=4 text_events=1 took=2.5s err=
level=info ts=2026-12-02T10:00:08Z node=c2 part=batch msg="job submitted" request=job-2 items=7 model=m step=5 min_version=4 took=1ms err=null
`

func TestSteps(t *testing.T) {
	folder := func(logs map[string]string) string {
		dir := t.TempDir()
		for name, content := range logs {
			So(os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600), ShouldBeNil)
		}
		return dir
	}
	Convey("Steps are told in their order, with what their last item waited for, over a change of coordinator and a log that is cut", t, func() {
		steps, err := ReadSteps(folder(map[string]string{"b": firstCoordinatorLog, "a": secondCoordinatorLog}))
		So(err, ShouldBeNil)
		So(steps, ShouldHaveLength, 2)
		var told strings.Builder
		So(WriteSteps(&told, steps), ShouldBeNil)
		So(told.String(), ShouldEqual, `   +0.00s step 4 of m, job job-1: 2 items, ended after 6.50s; groups: 1 came again, 0 spare, 0 begun anew
           the coordinator changed 3.00s after it was taken
           last whole: item long, estimated at 8000 tokens
             waited 0.20s, ran 1.80s at engine e1 (weights 3): canceled with 40 events
             waited 1.50s, ran 2.50s at engine e2 (weights 4): whole with 165 events
             then 0.50s for its reward call, its listing and the trainer's reading
   +8.00s step 5 of m, job job-2: 7 items, not ended in these logs; groups: 0 came again, 0 spare, 0 begun anew
           no item became whole
`)
	})
	Convey("Logs that tell of no step are an error that says so", t, func() {
		_, err := ReadSteps(folder(map[string]string{"other": "a line of another program\n\x00\xff binary level=debug\n"}))
		So(errors.Is(err, ErrNoSteps), ShouldBeTrue)
		_, err = ReadSteps(filepath.Join(t.TempDir(), "missing"))
		So(errors.Is(err, os.ErrNotExist), ShouldBeTrue)
	})
	Convey("A line that is too long for a log is an error that names the file", t, func() {
		_, err := ReadSteps(folder(map[string]string{"long": "level=info " + strings.Repeat("x", maxLineBytes+1)}))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "long")
	})
}
