package controlsim

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/lab/trace"
)

// header declares three zones in one region, and one in another region.
func header(until string) string {
	return `{"type":"trace","format":1,"name":"control","seed":3,"until":"` + until + `",` +
		`"zones":[{"name":"a","region":"r","nodes":3},{"name":"b","region":"r","nodes":3},{"name":"c","region":"r","nodes":1},{"name":"d","region":"far","nodes":1}],` +
		`"latency":{"zone":"1ms","region":"20ms","client":"1ms"},` +
		`"pools":[{"name":"lm","permitted":["a","b"],"engines":{"a":1}},{"name":"wide","permitted":["a","d"],"engines":{"a":1}}]}`
}

func writeLine(id, at, zone, pool, permitted string, rest ...string) string {
	return fmt.Sprintf(`{"type":"write","at":"%s","id":"%s","zone":"%s","action":"update","kind":"Pool","name":"%s","spec":{"model":"lm","permittedZones":[%s]}%s}`,
		at, id, zone, pool, permitted, strings.Join(rest, ""))
}

func run(lines ...string) (*trace.Outcome, *Simulation) {
	read, err := trace.Parse("t", strings.NewReader(strings.Join(lines, "\n")))
	So(err, ShouldBeNil)
	s := newSimulation(read)
	outcome := &trace.Outcome{}
	s.run(outcome)
	return outcome, s
}

func TestWritesComeIntoForce(t *testing.T) {
	Convey("A write on a healthy system is accepted within a second", t, func() {
		outcome, _ := run(header("20s"), writeLine("w", "10s", "a", "lm", `"a","b"`))
		So(outcome.Violations, ShouldBeEmpty)
		So(outcome.Writes["w"].Result, ShouldEqual, trace.ResultAccepted)
		So(outcome.Writes["w"].Elapsed.Seconds(), ShouldBeBetween, 0, 1)
	})
	Convey("Of two operators who have read the same version one is told of the conflict", t, func() {
		outcome, _ := run(header("20s"), writeLine("w1", "10s", "a", "lm", `"a"`), writeLine("w2", "10.005s", "b", "lm", `"b"`, `,"read":"9s"`))
		So(outcome.Violations, ShouldBeEmpty)
		So(outcome.Writes["w1"].Result, ShouldEqual, trace.ResultAccepted)
		So(outcome.Writes["w2"].Result, ShouldEqual, trace.ResultConflict)
	})
	Convey("A write whose scope holds a zone that is cut off stays pending until the cut ends", t, func() {
		cut := `{"type":"fault","at":"5s","fault":"region-cut","target":"far","for":"60s"}`
		outcome, _ := run(header("30s"), cut, writeLine("w", "10s", "a", "wide", `"a","d"`))
		So(outcome.Violations, ShouldBeEmpty)
		So(outcome.Writes["w"].Result, ShouldEqual, trace.ResultPending)
		So(outcome.Writes["w"].Missing, ShouldContain, "d")
		outcome, _ = run(header("120s"), cut, writeLine("w", "10s", "a", "wide", `"a","d"`))
		So(outcome.Writes["w"].Result, ShouldEqual, trace.ResultAccepted)
		So(outcome.Writes["w"].Elapsed.Seconds(), ShouldBeBetween, 55, 60)
	})
	Convey("A write whose reply is lost is found by reading back and stored once", t, func() {
		outcome, _ := run(header("20s"), `{"type":"fault","at":"5s","fault":"store-lost-reply","count":1}`, writeLine("w", "10s", "a", "lm", `"a"`))
		So(outcome.Violations, ShouldBeEmpty)
		So(outcome.Writes["w"].Result, ShouldEqual, trace.ResultAccepted)
	})
	Convey("A write while the store is down for good is refused as not run", t, func() {
		outcome, _ := run(header("90s"), `{"type":"fault","at":"5s","fault":"store-outage"}`, writeLine("w", "10s", "a", "lm", `"a"`))
		So(outcome.Violations, ShouldBeEmpty)
		So(outcome.Writes["w"].Result, ShouldEqual, trace.ResultRefused)
	})
	Convey("Crashes, pauses and loss on the way keep every promise", t, func() {
		outcome, _ := run(header("60s"),
			`{"type":"fault","at":"9s","fault":"coordinator-pause","target":"a","for":"8s"}`,
			writeLine("w1", "9.5s", "b", "lm", `"a","b"`),
			`{"type":"fault","at":"9.6s","fault":"loss","from":"b","to":"a","for":"4s"}`,
			`{"type":"fault","at":"12s","fault":"coordinator-crash","target":"b","for":"5s"}`,
			`{"type":"fault","at":"13s","fault":"zone-loss","target":"c","for":"3s"}`,
			writeLine("w2", "30s", "a", "lm", `"a"`))
		So(outcome.Violations, ShouldBeEmpty)
		So(outcome.Writes["w1"].Result, ShouldEqual, trace.ResultAccepted)
		So(outcome.Writes["w2"].Result, ShouldEqual, trace.ResultAccepted)
	})
}

func TestLapsedCoordinator(t *testing.T) {
	Convey("A coordinator whose lease lapsed while nobody could take it over answers nothing, and leads again later", t, func() {
		outcome, s := run(header("40s"), `{"type":"fault","at":"5s","fault":"coordinator-pause","target":"c","for":"6s"}`,
			`{"type":"fault","at":"5s","fault":"switch-loss","target":"b","for":"6s"}`, writeLine("w", "20s", "a", "lm", `"a","b"`))
		So(outcome.Violations, ShouldBeEmpty)
		So(outcome.Writes["w"].Result, ShouldEqual, trace.ResultAccepted)
		for _, n := range s.nodes {
			So(n.serving(), ShouldBeTrue)
		}
	})
}

func TestTwoVoters(t *testing.T) {
	Convey("A zone of two nodes keeps a coordinator while one is dead, by the vote of a witness in another zone", t, func() {
		two := strings.Replace(header("60s"), `"name":"b","region":"r","nodes":3`, `"name":"b","region":"r","nodes":2`, 1)
		outcome, _ := run(two, `{"type":"fault","at":"5s","fault":"node-crash","target":"b-node-2","for":"20s"}`,
			writeLine("during", "15s", "b", "lm", `"a"`), writeLine("after", "40s", "b", "lm", `"a","b"`))
		So(outcome.Violations, ShouldBeEmpty)
		So(outcome.Writes["during"].Result, ShouldEqual, trace.ResultAccepted)
		So(outcome.Writes["after"].Result, ShouldEqual, trace.ResultAccepted)
	})
}

func TestChecksNoticeABrokenGuard(t *testing.T) {
	Convey("A node that serves without a lease is caught serving by an older revision", t, func() {
		read, err := trace.Parse("t", strings.NewReader(strings.Join([]string{header("40s"),
			`{"type":"fault","at":"5s","fault":"region-cut","target":"far"}`,
			`{"type":"fault","at":"5s","fault":"node-pause","target":"a-node-2","for":"15s"}`,
			writeLine("w", "6s", "a", "lm", `"a","b"`)}, "\n")))
		So(err, ShouldBeNil)
		outcome := &trace.Outcome{}
		Run(read, outcome)
		So(outcome.Violations, ShouldBeEmpty)
		So(outcome.Writes["w"].Result, ShouldEqual, trace.ResultAccepted)

		broken := newSimulation(read)
		broken.ignoreLeases = true
		outcome = &trace.Outcome{}
		broken.run(outcome)
		So(outcome.Count(trace.PromiseInForce), ShouldBeGreaterThan, 0)
	})
}
