package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gin-gonic/gin"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/auth"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/recorder"
	"github.com/covelink/covelink/internal/scheduler"
	"github.com/covelink/covelink/internal/settings"
)

const traceFolder = "../../../testdata/traces/"

// shortTraces are replayed fast.
var shortTraces = []string{
	traceFolder + "moreton-relay-runs-once.jsonl", traceFolder + "moreton-lookup-runs-again.jsonl",
	traceFolder + "cairnpath-operators-race.jsonl",
}

func TestReplay(t *testing.T) {
	Convey("Traces that show their outcomes give one line each, the same bytes every time, and exit code 0", t, func() {
		arguments := append([]string{"replay", "--outcome"}, shortTraces...)
		code, first, failure := lab(arguments...)
		So(failure, ShouldBeBlank)
		So(code, ShouldEqual, 0)
		So(strings.Count(first, "ok  "), ShouldEqual, len(shortTraces))
		_, second, _ := lab(arguments...)
		So(second, ShouldEqual, first)
	})
	Convey("A wrong expectation gives exit code 1 and is named with its line and what was seen", t, func() {
		content, err := os.ReadFile(shortTraces[0])
		So(err, ShouldBeNil)
		wrong := strings.Replace(string(content), `"outcomes":["unknown"]`, `"outcomes":["completed"]`, 1)
		line := strings.Count(wrong[:strings.Index(wrong, `"outcomes":["completed"]`)], "\n") + 1
		file := writeFile(t.TempDir(), "wrong.jsonl", wrong)
		code, out, failure := lab("replay", shortTraces[1], file)
		So(code, ShouldEqual, 1)
		So(out, ShouldStartWith, "ok ")
		So(out, ShouldContainSubstring, fmt.Sprintf("%s:%d: request minutes-0: outcome completed not met: unknown", file, line))
		So(failure, ShouldContainSubstring, "1 of 2 traces")
	})
	Convey("Malformed input gives exit code 2 and one line, and nothing is replayed", t, func() {
		folder := t.TempDir()
		unfit := writeFile(folder, "unfit.jsonl", `{"type":"trace","format":1,"name":"x","colour":1}`+"\n")
		for _, c := range []struct{ arguments, want string }{
			{"replay", "no trace file given"},
			{"replay " + filepath.Join(folder, "none.jsonl"), "none.jsonl"},
			{"replay " + shortTraces[1] + " " + unfit, unfit + ":1: colour: unknown field"},
			{"generate --shrink " + unfit, unfit + ":1: colour"},
			{"generate --seed one", "seed"},
			{"generate --count -1", "--count: must be above 0"},
			{"generate extra", `unexpected argument "extra"`},
			{"record --url nowhere --out " + filepath.Join(folder, "o"), `--url "nowhere"`},
			{"record --out " + filepath.Join(folder, "o"), "url"},
		} {
			code, out, failure := lab(strings.Fields(c.arguments)...)
			So(code, ShouldEqual, 2)
			So(out, ShouldBeBlank)
			So(failure, ShouldContainSubstring, c.want)
			So(strings.Count(failure, "\n"), ShouldEqual, 1)
		}
	})
}

func TestGenerateCommand(t *testing.T) {
	Convey("A generated trace can be replayed", t, func() {
		code, text, _ := lab("generate", "--seed", "3")
		So(code, ShouldEqual, 0)
		file := writeFile(t.TempDir(), "generated.jsonl", text)
		code, out, failure := lab("replay", file)
		So(failure, ShouldBeBlank)
		So(code, ShouldEqual, 0)
		So(out, ShouldStartWith, "ok    generated-3 ")
		code, out, _ = lab("generate", "--seed", "3", "--count", "2")
		So(code, ShouldEqual, 0)
		So(out, ShouldEqual, "2 seeds from 3, 0 with outcomes that are not met\n")
	})
}

// explainer refuses to place.
type explainer struct{}

func (explainer) Explain(dispatch.Task) scheduler.Decision { return scheduler.Decision{} }

func (explainer) Dispatch(context.Context, dispatch.Task, func(dispatch.Progress) error) dispatch.Result {
	return dispatch.Result{Outcome: v1.OutcomeCompleted}
}

// recordingNode serves /debug/trace of a node that has answered two requests.
func recordingNode() *httptest.Server {
	recorded := recorder.New(nil)
	dispatcher := recorder.NewDispatcher(recorded, explainer{}, explainer{})
	for _, id := range []string{"r1", "r2"} {
		dispatcher.Dispatch(context.Background(), dispatch.Task{
			RequestID: id, Class: dispatch.ClassInteractive, Pool: "lm", Caller: "app", Prompt: "gate", MaxTokens: 8, Repeatable: true,
		}, nil)
	}
	source := cluster.NewHolder()
	source.Update(func(*cluster.View) *cluster.View {
		return &cluster.View{
			Zones:        map[string]*v1.Zone{"a": {Spec: v1.ZoneSpec{Region: "r"}}},
			Pools:        map[string]*v1.Pool{"lm": {Spec: v1.PoolSpec{PermittedZones: []string{"a"}}}},
			Applications: map[string]*v1.Application{"app": {Spec: v1.ApplicationSpec{Pools: []string{"lm"}}}},
			Engines:      []cluster.Engine{{Name: "e1", Pool: "lm", Zone: "a"}},
			Nodes:        []cluster.Node{{Name: "n1", Zone: "a"}},
		}
	})
	checks := auth.New(source, []settings.Operator{{Name: "o", TokenHash: v1.HashToken("secret"), Role: settings.RoleReadOnly}})
	router := gin.New()
	recorder.Handlers{Recorder: recorded, Self: cluster.Node{Name: "n1", Zone: "a"}, Source: source}.
		Routes(router, checks.Authenticate(), auth.RequireOperatorRead())
	return httptest.NewServer(http.Handler(router))
}

func TestRecordCommand(t *testing.T) {
	Convey("A trace taken from a node can be replayed", t, func() {
		gin.SetMode(gin.ReleaseMode)
		node := recordingNode()
		defer node.Close()
		file := filepath.Join(t.TempDir(), "recorded.jsonl")
		code, out, failure := lab("record", "--url", node.URL, "--out", file, "--token", "secret")
		So(failure, ShouldBeBlank)
		So(code, ShouldEqual, 0)
		So(out, ShouldStartWith, "2 events written to ")
		code, out, failure = lab("replay", file)
		So(failure, ShouldBeBlank)
		So(code, ShouldEqual, 0)
		So(out, ShouldStartWith, "ok    recorded-n1 ")
		Convey("and the file is not overwritten", func() {
			before, err := os.ReadFile(file)
			So(err, ShouldBeNil)
			code, _, _ := lab("record", "--url", node.URL, "--out", file, "--token", "secret")
			So(code, ShouldEqual, 2)
			after, err := os.ReadFile(file)
			So(err, ShouldBeNil)
			So(string(after), ShouldEqual, string(before))
		})
	})
	Convey("A node that refuses the token is a failure, and no file is written", t, func() {
		node := recordingNode()
		defer node.Close()
		file := filepath.Join(t.TempDir(), "recorded.jsonl")
		code, _, failure := lab("record", "--url", node.URL, "--out", file, "--token", "other")
		So(code, ShouldEqual, 1)
		So(failure, ShouldContainSubstring, "401")
		_, err := os.Stat(file)
		So(os.IsNotExist(err), ShouldBeTrue)
	})
}
